//! The whole program beside its callers, backends and discovery on real sockets, in one thread and on a clock that the
//! test moves: bounds of time are judged by the program's own clock, which a busy machine cannot make late.

#[path = "../../../agent_rig/mod.rs"]
mod agent_rig;
mod answers;
mod clock;
mod program;
mod returns;
pub(crate) mod rig;
mod stops;
