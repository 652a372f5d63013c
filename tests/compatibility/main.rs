//! Golden files of the contracts that other programs read: no renaming within the project may change them.

mod contract_names;
mod log_lines;
mod membership_frame;
mod operations;
mod platform_settings;
mod proxy_config;
mod proxy_golden;
mod proxy_program;
mod proxy_traffic;
mod registry_calls;
#[path = "../rig/mod.rs"]
mod rig;
#[path = "../scripted/mod.rs"]
mod scripted;
mod simulator_wire;
#[path = "../table_rig/mod.rs"]
mod table_rig;
#[path = "../waits/mod.rs"]
mod waits;
