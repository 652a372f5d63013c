//! The rollout of an admitted proposal: its table goes to the proxies in four stages (`few`, `tenth`, `half`,
//! `all`).
//!
//! It acts at every tick of [`Control`](super::Control) while the active proposal has a
//! [`Rollout`](super::Rollout), unless an earlier decision is still being written to disk. `review` decides
//! without side effects what the stage does next; `transition` turns the decision into the next record. The
//! durable state is `Rollout` in the record; the counts of the stage ([`StageProgress`]) live in memory and
//! start again from zero after a restart.
//!
//! What makes a stage advance: [`next_step`] lists the checks in order. What rolls it back: a check that
//! stops the rollout, see below.
//!
//! Who may end a rollout, and when: only this module, by one of these. No request of an operator ends it; a
//! proposal that arrives meanwhile is answered 409.
//!
//! | end | cause | function |
//! | --- | --- | --- |
//! | `done` | the stage `all` has passed every check | `StageReview::advance` |
//! | `stopped` | proxies with the table do significantly worse than those without | `StageReview::stop_if_worse` |
//! | `stopped` | a greater share of them drifts | `StageReview::stop_if_drifting` |
//! | `stopped` | a check still waits `stage_timeout_ms` after the counts of the stage began ([`StageProgress::since_ms`]) | `StageReview::wait_or_time_out` |
//! | `stopped` | the fleet has revisions that this registry never issued, before any proxy got the table | `Control::decide_rollout` |

mod review;
mod stage;
mod state;
mod transition;

use review::next_step;
pub use stage::{proxy_rank, stage_size};
use state::RolloutStep;
pub(super) use state::{FleetView, LiveProxy, StageProgress};
