//! The route table on a simulated fleet: checks of proposals, verdicts, rollouts and their ends, with kills of the
//! registry in between.

mod proposals;
mod rollouts;
#[path = "../route_fleet/mod.rs"]
mod route_fleet;
