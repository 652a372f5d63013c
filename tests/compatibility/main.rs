//! Contracts that must not change: what other processes, other builds and operators' scripts read and write. Each test
//! holds them against golden files that were recorded from an earlier build.

mod registry_golden;
mod registry_pages;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
mod registry_settings;
mod registry_store;
#[path = "../replay_rig/mod.rs"]
mod replay_rig;
mod route_records;
#[path = "../routes_rig/mod.rs"]
mod routes_rig;
mod segments;
#[path = "../waits/mod.rs"]
mod waits;
