//! The rollout of an admitted proposal: its table goes to the proxies in four stages (`few`, `tenth`, `half`,
//! `all`).
//!
//! A rollout is reviewed at every tick of [`Control`](super::Control) while the active proposal has a
//! [`Rollout`](super::Rollout), unless an earlier decision is still being written to disk. `review` decides
//! without side effects what the stage does next; `transition` turns the decision into the next record. The
//! durable state is `Rollout` in the record; the counts of the stage ([`StageProgress`]) are kept in memory
//! and restart from zero with the registry.
//!
//! A stage advances once it passes the checks that [`next_step`] lists in order. A check that stops the
//! rollout rolls it back.
//!
//! Only this module ends a rollout, for one of the causes below. No request of an operator ends it; a
//! proposal that arrives meanwhile is answered 409.
//!
//! | end | cause | function |
//! | --- | --- | --- |
//! | `done` | the stage `all` has passed every check | `StageReview::advance` |
//! | `stopped` | proxies with the table do significantly worse than those without | `StageReview::stop_if_worse` |
//! | `stopped` | a greater share of the proxies with the table drifts than of those without | `StageReview::stop_if_drifting` |
//! | `stopped` | a check still waits `stage_timeout_ms` after the counts of the stage started ([`StageProgress::since_ms`]) | `StageReview::wait_or_time_out` |
//! | `stopped` | the fleet has revisions that this registry never issued, before any proxy got the table, and no operator overrode that | `Control::decide_rollout` |

mod review;
mod stage;
mod state;
mod transition;

use review::next_step;
pub use stage::{proxy_rank, stage_size};
use state::RolloutStep;
pub(super) use state::{FleetView, LiveProxy, StageProgress};
