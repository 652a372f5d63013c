//! The scale run's own parts, and a small fleet played by the very code of the large run: `benches/scale`.

#[path = "../fault_relay/mod.rs"]
mod fault_relay;
mod fleet;
mod parts;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
#[path = "../../benches/scale/run/mod.rs"]
mod run;
#[path = "../waits/mod.rs"]
mod waits;
