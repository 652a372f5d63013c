//! What a test has the agent do with a call.

use std::sync::Arc;
use tokio::sync::Notify;

/// What becomes of one call.
#[derive(Debug, Clone)]
pub enum Say {
    /// Nothing comes, and the connection stays.
    Nothing,
    /// The connection is reset.
    Reset,
    /// Half of an answer, then the connection ends.
    Half,
    /// A proper list, a byte at a time.
    Trickle,
    /// The list, once told to.
    Late(Arc<Notify>),
    /// An answer with this text.
    Text(String),
    /// The connection ends in order, with no answer, once there is news.
    EndAtNews,
    /// An HTTP answer as it stands, a byte at a time without pauses; the connection ends if it says so.
    Bytes(String),
}
