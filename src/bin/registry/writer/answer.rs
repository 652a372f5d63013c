//! Step "answer" of the writer: each caller of a batch gets its reply.

use super::Writer;
use super::commit::CommitResult;
use super::decide::{Decision, PendingReply};
use super::request::{WriteError, WriteOutcome};

impl Writer {
    /// Sends the replies of a batch. An accepted request of a batch that is not on disk gets the disk's error; one that
    /// was rejected gets the reason for that in either case.
    pub(super) fn answer(&self, replies: Vec<PendingReply>, result: &CommitResult) {
        for PendingReply { decision, sender } in replies {
            let reply = decision.and_then(|decision| match result {
                Ok(()) => Ok(self.outcome(decision)),
                Err(e) => Err(WriteError::Storage(e.clone())),
            });
            // Sending fails where the caller has gone away; it needs no reply.
            let _ = sender.send(reply);
        }
    }

    fn outcome(&self, decision: Decision) -> WriteOutcome {
        match decision {
            Decision::Entries(service) => WriteOutcome::Entries { seq: self.shared.version(&service) },
            Decision::Known(outcome) => outcome,
        }
    }
}
