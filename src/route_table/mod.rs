//! The route table of a tier: the weights that operators propose, how a new table reaches the proxies, and
//! which proxies deviate from it. `docs/routes.md` describes it for on-call staff.
//!
//! This module only makes decisions; it has no I/O, clock or socket. The registry hosts [`Control`]: it
//! passes in proposals, verdicts, reports and the time, and carries out the [`Effect`]s.
//!
//! - `proposal`: the checks of a proposal, and its lifecycle until it is admitted.
//! - `rollout`: the stages of an admitted proposal; the checks that advance, end or roll back a rollout.
//! - `drift`: the findings about proxies, from their reports; when a proxy is reported as lost.
//! - `record`: the durable state. `report` and `table`: the data that proxies and operators send.

mod backend_list;
mod config;
mod control;
mod drift;
mod effect;
mod outcome_counts;
mod pages;
mod proposal;
mod record;
mod report;
mod report_check;
mod rollout;
mod table;

pub use config::{Config, ConfigError};
pub use control::Control;
pub use drift::{Finding, FindingKind};
pub use effect::{AcceptedProposal, Effect, StaleVerdict};
pub use outcome_counts::OutcomeCounts;
pub use pages::{DriftPage, StatePage};
pub use proposal::{
    Backend, MAX_NAME_BYTES, MAX_OVERRIDE_REASON, MAX_WEIGHT, ProposalError, check_proposal, list_digest,
};
pub use record::{
    ActiveProposal, Admission, EndedProposal, IssuedRevision, ProposalOutcome, Rollout, RouteRecord, Stage,
};
pub use report::{ExclusionReason, MAX_REPORTED, MAX_WITNESSED, Report, Witness};
pub use report_check::{MAX_COUNT, ReportError};
pub use rollout::{proxy_rank, stage_size};
pub use table::{MAX_WEIGHTS, Proposal, Revision, Table, Weights};
