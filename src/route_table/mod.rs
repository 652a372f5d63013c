//! The route table of a tier: what operators want of the weights, how it goes out, and who does not do what it says.
//! Decisions only: no I/O, no clock, no socket. The registry hosts them; `docs/routes.md` is for on-call staff.

mod check;
mod config;
mod control;
mod decide;
mod drift;
mod effect;
mod finding;
mod group;
mod hearing;
mod judge;
mod listing;
mod member;
mod pages;
mod record;
mod report;
mod reports;
mod rollout;
mod shares;
mod spread;
mod table;

pub use check::{Backend, MAX_NAME, MAX_OVERRIDE_REASON, MAX_WEIGHT, ProposalError, check, list_digest};
pub use config::{Config, ConfigError};
pub use control::Control;
pub use effect::{AcceptedProposal, Effect, StaleVerdict};
pub use finding::{Finding, FindingKind};
use listing::Backends;
pub use pages::{DriftPage, StatePage};
pub use record::{
    ActiveProposal, Admission, EndedProposal, IssuedRevision, ProposalOutcome, Rollout, RouteRecord, Stage,
};
pub use report::{ExclusionReason, MAX_REPORTED, MAX_WITNESSED, Report, Witness};
pub use reports::{MAX_COUNT, ReportError};
pub use rollout::{rank, target};
pub use shares::OutcomeCounts;
pub use table::{MAX_WEIGHTS, Proposal, Revision, Table, Weights};
