//! The latency between zones: the additional latency of a call from another zone over one from the backend's own zone.
//!
//! For each backend and class, the 10th percentile of the latencies of answers to one zone is compared with that of the
//! answers to the backend's own zone; the median of the differences over backends and classes is taken.

use crate::replay::quantiles::Quantiles;
use crate::replay::recorded_traffic::RecordedTraffic;
use std::collections::BTreeMap;

/// Answers to one zone, of one backend and class, from which their 10th percentile is used.
const MIN_ANSWERS: usize = 30;

/// The latency (ms) between the zones of each proxy and each backend, by proxy, then by backend; 0 where it is unknown.
pub(super) fn zone_latency_ms(records: &RecordedTraffic) -> Vec<f64> {
    let tenth_percentiles = tenth_percentiles_ms(records);
    let mut differences: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
    for (&(zone, backend, class), &remote_ms) in &tenth_percentiles {
        let home = records.backends[backend as usize].zone.as_str();
        if home != zone
            && let Some(local_ms) = tenth_percentiles.get(&(home, backend, class))
        {
            differences.entry((zone, home)).or_default().push(remote_ms - local_ms);
        }
    }
    let added_ms: BTreeMap<(&str, &str), f64> = differences
        .into_iter()
        .map(|(zones, differences)| (zones, Quantiles::of(differences).at(0.5).max(0.0)))
        .collect();
    let mut latencies = Vec::with_capacity(records.proxies.len() * records.backends.len());
    for proxy in &records.proxies {
        for backend in &records.backends {
            let zones = (proxy.zone.as_str(), backend.zone.as_str());
            latencies.push(added_ms.get(&zones).copied().unwrap_or(0.0));
        }
    }
    latencies
}

/// The 10th percentile (ms) of the waits for answers, by the proxy's zone, backend and class.
fn tenth_percentiles_ms(records: &RecordedTraffic) -> BTreeMap<(&str, u32, u16), f64> {
    let mut waits: BTreeMap<(&str, u32, u16), Vec<f64>> = BTreeMap::new();
    for call in records.calls.iter().filter(|call| call.is_answered()) {
        let zone = records.proxies[call.proxy as usize].zone.as_str();
        waits.entry((zone, call.backend, call.class)).or_default().push(call.wait_ms);
    }
    let enough = waits.into_iter().filter(|(_, waits)| waits.len() >= MIN_ANSWERS);
    enough.map(|(key, waits)| (key, Quantiles::of(waits).at(0.1))).collect()
}
