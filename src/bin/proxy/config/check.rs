//! What is wrong with settings that can be read: each key by its name in the file, and what it may be.

use load_balancer::platform_settings::PlatformSettings;
use std::collections::HashSet;

/// Fewer descriptors than this leave no room for work.
const MIN_SOCKETS: usize = 64;
/// Shorter aims cannot be told from none, ms.
const MIN_AIM: f64 = 1e-3;

/// What is wrong first.
pub(super) fn wrong(sockets: usize, facts: &PlatformSettings) -> Option<String> {
    let (site, s) = (&facts.site, &facts.settings);
    let caps = [
        (sockets < MIN_SOCKETS, "limits.sockets: too few to work with, from 64 on"),
        (s.instance_count == 0, "settings: peersTotal: is 0, and this proxy is one; from 1 on"),
        (
            s.instance_index >= s.instance_count,
            "settings: slotNo: out of range, from 0 to one less than peersTotal",
        ),
        (s.classes.is_empty(), "settings: classes: is empty, at least one is served"),
        (s.caps.max_attempts == 0, "settings: caps.tryLimit: is 0, and nothing would be sent; from 1 on"),
        (site.max_open_requests == 0, "settings: caps.openCap: is missing or 0"),
        (site.connection_idle_ms <= 0.0, "settings: caps.connIdle: is missing or 0"),
        (site.connect_timeout_ms <= 0.0, "settings: caps.connectTimeout: is missing or 0"),
        (site.drain_grace_ms <= 0.0, "settings: guarantees.stopSendingWithin: is missing or 0"),
    ];
    let cap = || caps.iter().find(|(bad, _)| *bad).map(|(_, what)| (*what).to_string());
    cap().or_else(|| names(facts)).or_else(|| aims(facts))
}

/// Names are what requests and lists are told apart by.
fn names(facts: &PlatformSettings) -> Option<String> {
    let site = &facts.site;
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
    // Without zones every place is alike.
    let (own, zones) = (usize::from(facts.settings.zone), site.zones.len());
    (zones > 0 && own >= zones)
        .then(|| format!("settings: locality: {own} is no place in localities, from 0 to {}", zones - 1))
}

fn aims(facts: &PlatformSettings) -> Option<String> {
    let none = facts.settings.classes.iter().position(|c| c.latency_objective_ms < MIN_AIM)?;
    Some(format!("settings: classes[{none}].aim: is 0; give the time to answer in, ms"))
}
