//! How the agent handles one call.

use std::sync::Arc;
use tokio::sync::Notify;

/// Action of the agent on one call.
#[derive(Debug, Clone)]
pub enum CallAction {
    /// Never answers, and keeps the connection open.
    NoAnswer,
    /// Resets the connection.
    Reset,
    /// Sends the first half of an answer, then closes the connection.
    HalfAnswer,
    /// Sends a valid list, one byte every 100 ms, then closes the connection.
    SlowAnswer,
    /// Sends the list once the notification arrives.
    AnswerAfter(Arc<Notify>),
    /// Sends an answer with this body.
    Body(String),
    /// Closes the connection without an answer once the list changes.
    CloseAtChange,
    /// Sends this HTTP answer one byte at a time without delays; closes the connection if it has `Connection: close`.
    RawAnswer(String),
}
