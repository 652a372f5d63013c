//! The lifecycle of a proposal outside of its rollout: it is checked, accepted, evaluated by a replay, and
//! admitted or ended.
//!
//! Phases, by their names on the state page: `awaited` (accepted, its evaluation runs); `verdict`, `override`
//! or `unjudged` (admitted: the rollout begins in the same change); then the stages `few`, `tenth`, `half`,
//! `all` of [`rollout`](super::rollout); last one of `done`, `stopped`, `refused`, `cannot_tell`, `lapsed`.
//!
//! `check` validates a proposal without state. `lifecycle` accepts a proposal, and ends it while it is
//! `awaited`. The only state is the active proposal of the [`RouteRecord`](super::RouteRecord).

mod check;
mod error;
mod lifecycle;

pub(super) use check::is_printable;
pub use check::{Backend, MAX_NAME_BYTES, MAX_OVERRIDE_REASON, MAX_WEIGHT, check_proposal, list_digest};
pub use error::ProposalError;
