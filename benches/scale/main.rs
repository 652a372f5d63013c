//! What a fleet's control traffic costs, at several sizes: `cargo bench --bench scale -- --help`. A release registry on
//! loopback, hollow proxies in worker processes and a few real ones beside them; docs/CAPACITY.md uses the slopes.

#[path = "../../tests/fault_relay/mod.rs"]
mod fault_relay;
#[path = "../../tests/registry_rig/mod.rs"]
mod registry_rig;
mod run;
#[path = "../../tests/waits/mod.rs"]
mod waits;

use std::process::ExitCode;

fn main() -> ExitCode {
    run::main()
}
