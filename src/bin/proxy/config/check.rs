//! Validates settings after they were parsed. Each error names the key as in the file, and its accepted values.

use load_balancer::platform_settings::PlatformSettings;
use std::collections::HashSet;

/// Minimum of `limits.sockets`; fewer file descriptors leave too few for connections.
const MIN_DESCRIPTORS: usize = 64;
/// Minimum latency objective (ms); a shorter one counts as missing.
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1e-3;

/// Returns the text of the first error, if the settings have one.
pub(super) fn first_error(max_descriptors: usize, platform: &PlatformSettings) -> Option<String> {
    let site = &platform.site;
    let settings = &platform.settings;
    let checks = [
        (max_descriptors < MIN_DESCRIPTORS, "limits.sockets: too few to work with, from 64 on"),
        (settings.instance_count == 0, "settings: peersTotal: is 0, and this proxy is one; from 1 on"),
        (
            settings.instance_index >= settings.instance_count,
            "settings: slotNo: out of range, from 0 to one less than peersTotal",
        ),
        (settings.classes.is_empty(), "settings: classes: is empty, at least one is served"),
        (
            settings.caps.max_attempts == 0,
            "settings: caps.tryLimit: is 0, and nothing would be sent; from 1 on",
        ),
        (site.max_open_requests == 0, "settings: caps.openCap: is missing or 0"),
        (site.connection_idle_ms <= 0.0, "settings: caps.connIdle: is missing or 0"),
        (site.connect_timeout_ms <= 0.0, "settings: caps.connectTimeout: is missing or 0"),
        (site.drain_grace_ms <= 0.0, "settings: guarantees.stopSendingWithin: is missing or 0"),
    ];
    let value_error = || checks.iter().find(|(failed, _)| *failed).map(|(_, text)| (*text).to_string());
    value_error().or_else(|| name_error(platform)).or_else(|| objective_error(platform))
}

/// Returns the first error in the names of classes, tenants and zones. Names must be unique, as requests and endpoint
/// lists refer to classes, tenants and zones by name.
fn name_error(platform: &PlatformSettings) -> Option<String> {
    let site = &platform.site;
    let lists = [("classes", &site.classes), ("tenants", &site.tenants), ("localities", &site.zones)];
    for (key, names) in lists {
        let mut seen = HashSet::new();
        if let Some(repeated) = names.iter().find(|name| !seen.insert(name.as_str())) {
            return Some(match repeated.as_str() {
                "" => format!("settings: {key}: more than one has no name"),
                _ => format!("settings: {key}: {repeated} stands there twice, give each a name of its own"),
            });
        }
        if names.iter().any(String::is_empty) {
            return Some(format!("settings: {key}: one has no name"));
        }
    }
    // If no zones are configured, every backend is in the proxy's own zone.
    let own = usize::from(platform.settings.zone);
    let zones = site.zones.len();
    (zones > 0 && own >= zones)
        .then(|| format!("settings: locality: {own} is no place in localities, from 0 to {}", zones - 1))
}

/// Returns the error for the first class without a latency objective.
fn objective_error(platform: &PlatformSettings) -> Option<String> {
    let missing =
        platform.settings.classes.iter().position(|c| c.latency_objective_ms < MIN_LATENCY_OBJECTIVE_MS)?;
    Some(format!("settings: classes[{missing}].aim: is 0; give the time to answer in, ms"))
}
