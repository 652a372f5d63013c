//! The reasons for refusing a proposal, with the text for the proposer and the HTTP status.

use super::super::{MAX_WEIGHTS, Revision};

/// Why a proposal was not accepted, and what to do.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
pub enum ProposalError {
    /// No listed backend would receive calls.
    #[error("every listed backend would have weight 0: give at least one a weight above 0")]
    AllZero,
    /// A weight is negative, not finite or too large.
    #[error("{kind} {name:?}: weight {weight} must be a number from 0 to 1000000: correct it")]
    Weight {
        /// Kind of the name: `backend`, `class` or `zone`.
        kind: &'static str,
        /// Name of the backend, class or zone.
        name: String,
        /// Proposed weight.
        weight: f64,
    },
    /// No listed backend has the given name, class or zone.
    #[error(
        "{kind} {name:?} is not in the list of backends: correct the name, leave it out, or register it first"
    )]
    Unknown {
        /// Kind of the name: `backend`, `class` or `zone`.
        kind: &'static str,
        /// Name that is not listed.
        name: String,
    },
    /// The proposal has more than [`MAX_WEIGHTS`] weights.
    #[error("{count} weights, of which a table has at most {MAX_WEIGHTS}: say it by class or zone")]
    TooMany {
        /// Number of weights in the proposal.
        count: usize,
    },
    /// A name or text is empty, too long or has control characters.
    #[error("{what}: must be 1 to {max} printable bytes: shorten or correct it")]
    Text {
        /// Name of the text.
        what: &'static str,
        /// Maximum length in bytes.
        max: usize,
    },
    /// The list of backends is empty.
    #[error("no backend is listed, so that no weight can be checked: register backends first")]
    NoBackends,
    /// A backend's weight relative to the mean would change by more than the configured factor.
    #[error(
        "backend {backend:?} would go from {from:.3} to {to:.3} of the mean, by more than the factor {max}: \
         propose a smaller step, then the next"
    )]
    Step {
        /// Name of the first such backend.
        backend: String,
        /// Weight of the backend over the mean weight, by the table in force.
        from: f64,
        /// Weight of the backend over the mean weight, by the proposal.
        to: f64,
        /// Maximum factor, as configured.
        max: f64,
    },
    /// The proposal was made from another table than the newest.
    #[error(
        "made from revision {from}, but {newest} is the newest: read that one, make the proposal anew from it"
    )]
    Conflict {
        /// Revision that the proposal was made from.
        from: Revision,
        /// Newest revision, which a proposal must be made from.
        newest: Revision,
    },
    /// A rollout is in progress; there is one at a time.
    #[error("revision {revision} is being rolled out: wait for its end, see the state of the routes")]
    RollingOut {
        /// Revision that is being rolled out.
        revision: Revision,
    },
    /// Proxies have revisions that this registry never issued, so that it has lost state.
    #[error(
        "{proxies} proxies have a revision that this registry never gave, so that it lost state: bring back its \
         directory, or propose with an override and the whole weights that the fleet should have"
    )]
    Ahead {
        /// Number of proxies with such a revision.
        proxies: usize,
    },
    /// An earlier change is still being written to disk.
    #[error("another change of the routes is being written: ask again in a second")]
    Writing,
}

impl ProposalError {
    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            ProposalError::Conflict { .. }
            | ProposalError::RollingOut { .. }
            | ProposalError::Ahead { .. } => 409,
            ProposalError::TooMany { .. } => 413,
            ProposalError::Writing | ProposalError::NoBackends => 503,
            _ => 400,
        }
    }
}
