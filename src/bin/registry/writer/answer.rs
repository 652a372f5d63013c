//! Step "answer" of the writer: sends each caller of a batch its reply.

use super::Writer;
use super::commit::CommitResult;
use super::decide::{Decision, PendingReply};
use super::request::{WriteError, WriteOutcome};

impl Writer {
    /// Sends the replies of a batch. If the batch is not on disk, its accepted requests get the disk's error. Rejected
    /// requests get the reason of their rejection in either case.
    pub(super) fn answer(&self, replies: Vec<PendingReply>, result: &CommitResult) {
        for PendingReply { decision, sender } in replies {
            let reply = decision.and_then(|decision| match result {
                Ok(()) => Ok(self.outcome(decision)),
                Err(e) => Err(WriteError::Storage(e.clone())),
            });
            // Sending fails if the caller has disconnected; it needs no reply.
            let _ = sender.send(reply);
        }
    }

    fn outcome(&self, decision: Decision) -> WriteOutcome {
        match decision {
            Decision::Entries(service) => WriteOutcome::Entries { seq: self.shared.version(&service) },
            Decision::Outcome(outcome) => outcome,
        }
    }
}
