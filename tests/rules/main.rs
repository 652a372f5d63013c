//! Tests of the four rules over seeded random event sequences, checked against the proxy's record of
//! attempts.

mod cold_backends;
#[path = "../common/mod.rs"]
mod common;
mod idle;
mod keys;
mod random_runs;
