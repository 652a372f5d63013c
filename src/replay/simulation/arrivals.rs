//! The arrivals of a simulation: the recorded requests, and for each as many more as the sampling left out.

use crate::replay::common_random_numbers::CommonRandomNumbers;
use crate::replay::recorded_traffic::RecordedTraffic;

/// Mean gaps between a proxy's recorded requests over which the requests that one of them stands for are spread to
/// each side: spread over less, they would make bursts that did not happen.
const SPREAD_GAPS: f64 = 25.0;
/// Minimum time (ms) to each side over which the requests that a recorded one stands for are spread.
const MIN_SPREAD_MS: f64 = 500.0;
/// Maximum time (ms) to each side over which the requests that a recorded one stands for are spread.
const MAX_SPREAD_MS: f64 = 10_000.0;

/// An arrival: a recorded request, or one that it stands for.
#[derive(Clone, Copy)]
pub(super) struct SimulatedArrival {
    /// Time (ms) from the start of the window.
    pub(super) at_ms: f64,
    /// Index of the recorded request.
    pub(super) recorded: u32,
    /// 0 for the recorded request itself, else the number, from 1, of a request that it stands for.
    pub(super) replica: u32,
}

/// All arrivals in the order of time.
pub(super) fn arrivals(records: &RecordedTraffic, seed: u64) -> Vec<SimulatedArrival> {
    let spread_ms = spread_by_proxy(records);
    let mut arrivals = Vec::with_capacity(records.requests.len());
    for (recorded, request) in (0..).zip(&records.requests) {
        let proxy = request.proxy as usize;
        let mut random = CommonRandomNumbers::new(seed, request.id, u64::MAX);
        // Rounded up or down at random, so that the mean is the scale.
        let count = (records.proxies[proxy].scale + random.next_uniform()) as u32;
        arrivals.push(SimulatedArrival { at_ms: request.at_ms, recorded, replica: 0 });
        for replica in 1..count {
            let at_ms = request.at_ms + spread_ms[proxy] * (2.0 * random.next_uniform() - 1.0);
            let at_ms = at_ms.clamp(0.0, records.length_ms);
            arrivals.push(SimulatedArrival { at_ms, recorded, replica });
        }
    }
    arrivals.sort_by(|a, b| {
        let by_time = a.at_ms.total_cmp(&b.at_ms);
        by_time.then((a.recorded, a.replica).cmp(&(b.recorded, b.replica)))
    });
    arrivals
}

/// Time (ms) to each side over which the requests that a recorded one stands for are spread, by proxy.
fn spread_by_proxy(records: &RecordedTraffic) -> Vec<f64> {
    let mut requests = vec![0.0; records.proxies.len()];
    for request in &records.requests {
        requests[request.proxy as usize] += 1.0;
    }
    let spread = |count: f64| (SPREAD_GAPS * records.length_ms / count).clamp(MIN_SPREAD_MS, MAX_SPREAD_MS);
    requests.into_iter().map(spread).collect()
}
