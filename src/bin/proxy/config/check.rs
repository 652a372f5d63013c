//! Checks settings that could be read. Each error names the key as it is in the file, and what it may be.

use load_balancer::platform_settings::PlatformSettings;
use std::collections::HashSet;

/// Fewer descriptors than this leave too few for connections.
const MIN_SOCKETS: usize = 64;
/// A shorter latency objective counts as missing, ms.
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1e-3;

/// The first error.
pub(super) fn first_error(sockets: usize, platform: &PlatformSettings) -> Option<String> {
    let site = &platform.site;
    let settings = &platform.settings;
    let caps = [
        (sockets < MIN_SOCKETS, "limits.sockets: too few to work with, from 64 on"),
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
    let cap_error = || caps.iter().find(|(bad, _)| *bad).map(|(_, what)| (*what).to_string());
    cap_error().or_else(|| name_error(platform)).or_else(|| objective_error(platform))
}

/// Names must be unique: requests and lists refer to classes, tenants and zones by them.
fn name_error(platform: &PlatformSettings) -> Option<String> {
    let site = &platform.site;
    let lists = [("classes", &site.classes), ("tenants", &site.tenants), ("localities", &site.zones)];
    for (key, names) in lists {
        let mut seen = HashSet::new();
        if let Some(twice) = names.iter().find(|name| !seen.insert(name.as_str())) {
            return Some(match twice.as_str() {
                "" => format!("settings: {key}: more than one has no name"),
                _ => format!("settings: {key}: {twice} stands there twice, give each a name of its own"),
            });
        }
        if names.iter().any(String::is_empty) {
            return Some(format!("settings: {key}: one has no name"));
        }
    }
    // Without zones every backend is in this proxy's own.
    let own = usize::from(platform.settings.zone);
    let zones = site.zones.len();
    (zones > 0 && own >= zones)
        .then(|| format!("settings: locality: {own} is no place in localities, from 0 to {}", zones - 1))
}

fn objective_error(platform: &PlatformSettings) -> Option<String> {
    let missing =
        platform.settings.classes.iter().position(|c| c.latency_objective_ms < MIN_LATENCY_OBJECTIVE_MS)?;
    Some(format!("settings: classes[{missing}].aim: is 0; give the time to answer in, ms"))
}
