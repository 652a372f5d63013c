//! The whole program beside its callers, backends and discovery on real sockets, in one thread and on a clock that the
//! test moves: bounds of time are judged by the program's own clock, which a busy machine cannot make late.

mod clock;
mod program;
mod rig;
mod stops;
