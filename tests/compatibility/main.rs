//! Contracts that must not change: what other processes, other builds, the platform and operators' scripts read and
//! write. Each test holds them against golden files that were recorded from build c1e1c1e.

mod contract_names;
mod log_lines;
mod membership_frame;
mod operations;
mod outer_names;
mod platform_settings;
mod proxy_config;
mod proxy_golden;
mod proxy_program;
mod proxy_traffic;
mod registry_calls;
mod registry_golden;
mod registry_pages;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
mod registry_settings;
mod registry_store;
#[path = "../replay_rig/mod.rs"]
mod replay_rig;
#[path = "../rig/mod.rs"]
mod rig;
mod route_records;
#[path = "../routes_rig/mod.rs"]
mod routes_rig;
#[path = "../scripted/mod.rs"]
mod scripted;
mod segments;
mod simulator_wire;
#[path = "../table_rig/mod.rs"]
mod table_rig;
#[path = "../waits/mod.rs"]
mod waits;
