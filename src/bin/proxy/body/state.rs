//! The state of a streamed request body.

use tokio::time::Instant;

/// The state of a streamed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// The last byte has not arrived.
    InProgress,
    /// The last byte has arrived, at this time. It may still wait in the system's buffers.
    Complete(Instant),
    /// The last byte may have been written so long ago that the client's time is over, and no attempt has taken it.
    Overdue,
    /// No more will be received: the client stopped or left, or the body is too long or was withdrawn.
    Broken,
}

impl BodyState {
    /// Returns whether an attempt may take the body.
    pub fn can_be_sent(self) -> bool {
        matches!(self, BodyState::InProgress | BodyState::Complete(_))
    }
}
