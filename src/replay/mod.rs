//! What-if replay: simulates recorded traffic with the decision module under a proposed route table and predicts the
//! effect of the proposal.
//!
//! It does no I/O and reads no clock. The registry hosts it; `docs/replay.md` describes it for on-call staff.

mod backtest;
mod calls_in_flight;
mod clock_offsets;
mod columns;
mod common_random_numbers;
mod conditions;
mod evaluate;
mod failure;
mod job;
mod load_curve;
mod model;
mod predict;
mod quantiles;
mod recorded_traffic;
mod recorder;
mod runs;
mod segment;
mod simulation;
mod statistics;
mod trace;
mod verdict;

pub use evaluate::judge;
pub use job::{Bounds, Job, Listed};
pub use recorder::{Recorder, RecorderConfig};
pub use segment::{BadSegment, MAX_BACKENDS, MAX_ENCODED, MAX_TRACES, SAMPLED_OF};
pub use trace::{AttemptOutcome, AttemptTrace, Ending, Peers, Segment, Trace};
pub use verdict::{
    BackendFigures, Breach, CannotTellReason, ClassFigures, Decision, Prediction, Range, Verdict,
};
