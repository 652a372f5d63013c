//! What-if replay: what the proxies recorded, played again through the decision module under a proposed route table.
//! No I/O, no clock, no socket. The registry hosts it; `docs/replay.md` is for on-call staff.

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
mod tally;
mod trace;
mod verdict;

pub use evaluate::judge;
pub use job::{Bounds, Job, Listed};
pub use recorder::{About, Recorder};
pub use segment::{BadSegment, MAX_BACKENDS, MAX_ENCODED, MAX_TRACES, SAMPLED_OF};
pub use trace::{Ending, Peers, Reply, Segment, Trace, Try};
pub use verdict::{BackendFigures, Breach, ClassFigures, Decision, Prediction, Range, Unsure, Verdict};
