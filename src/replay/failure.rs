//! The outcomes of calls that count as failures.

use super::AttemptOutcome;

/// The kinds of failure that the model tells apart. Figures by kind of failure are in this order.
pub(super) const FAILURES: [AttemptOutcome; 5] = [
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Timeout,
];
