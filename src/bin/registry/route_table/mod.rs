//! Hosts the route table: its proposals, their evaluation and rollout, and the drift of the fleet.
//!
//! The decisions are made by `load_balancer::route_table::Control`, which has no clock, socket or disk.
//! [`RouteTableService`] gives it the time, the list of backends and the proxies' reports, and carries out its effects.
//! Only the writer thread requests decisions, in its step "decide", and it reports in its step "commit" whether their
//! records are on disk; so a decision is never based on one that was not written. Reports and reads come from the
//! serving threads at any time.
//!
//! The service has two threads of its own: "traces" (`traces.rs`) stores recorded segments in a ring on disk
//! (`trace_ring.rs`), "judge" (`evaluation.rs`) replays them to evaluate a proposal.

mod clock;
mod config;
mod decisions;
mod evaluation;
mod page_cache;
mod pages;
mod segment_error;
mod service;
mod trace_index;
mod trace_ring;
mod traces;

pub(crate) use config::RoutesConfig;
pub(crate) use segment_error::SegmentError;
pub(crate) use service::{RouteTableService, TooLong};
