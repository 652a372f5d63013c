//! The configuration files of the processes of a run.

use super::plan::ZONES;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// What operators start from.
const LOCAL: &str = include_str!("../../../deploy/local.toml");
/// Connections that a registry must take here: three of a proxy, and a registration now and then.
pub const CONNECTIONS: usize = 19_000;

/// The platform's settings of a real proxy, by its zone and how many proxies send to its backends.
pub fn settings(zone: usize, peers: usize) -> Value {
    let mut file: Value = toml::from_str(LOCAL).unwrap_or_default();
    let mut settings = file["settings"].take();
    settings["localities"] = (0..ZONES).map(super::plan::zone).collect();
    settings["locality"] = zone.into();
    settings["peersTotal"] = peers.into();
    settings
}

/// The configuration of a real proxy.
pub fn proxy(
    name: &str,
    registry: SocketAddr,
    service: Option<&str>,
    report_ms: u64,
    settings: Value,
) -> String {
    let mut file: Value = toml::from_str(LOCAL).unwrap_or_default();
    file["listen"] = "127.0.0.1:0".into();
    file["ops"] = "127.0.0.1:0".into();
    file["discovery"] = json!([registry.to_string()]);
    file["settings"] = settings;
    file["routes"] = json!({"report_ms": report_ms, "name": name});
    if let Some(map) = file.as_object_mut() {
        map.remove("record");
        map.extend(service.map(|service| ("service".to_string(), Value::from(service))));
    }
    toml::to_string(&file).unwrap_or_default()
}

/// The configuration of the registry: it hosts the route table, judges nothing, and has room for the reports of the
/// largest fleet.
pub fn registry(report_ms: u64, stand_ms: u64) -> String {
    format!(
        "max_connections = {CONNECTIONS}\n[routes]\nenabled = true\njudge = false\nnames = 8192\ncounts = 16777216\n\
         report_ms = {report_ms}\ngrace_ms = {}\nstand_ms = {stand_ms}\nleast_requests = 1\n",
        3 * report_ms
    )
}
