//! Tests of the whole proxy with its clients, backends and discovery on real sockets, in one thread and with a
//! clock that the test advances. Time limits are checked on the proxy's own clock, so that a busy machine cannot
//! make the proxy late.

#[path = "../../../agent_rig/mod.rs"]
mod agent_rig;
mod answers;
mod clock;
mod program;
mod returns;
pub(crate) mod rig;
mod slow_discovery;
mod stops;
