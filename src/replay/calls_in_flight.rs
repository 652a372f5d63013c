//! The whole fleet's calls in flight at a backend, from every proxy's records.
//!
//! At each call the own proxy's calls are known exactly, as recorded. Of the other proxies' calls some were recorded; the
//! others, left out by the sampling, are taken at their mean around that time. Scaling up the recorded ones instead would
//! be far off at any one moment, and hide the effect of the load.

use super::recorded_traffic::{RecordedCall, RecordedTraffic};

/// Length (ms) of a bucket, over which calls in flight are averaged.
const BUCKET_MS: f64 = 1000.0;
/// Buckets before and after one that its mean includes.
const SMOOTHING_BUCKETS: usize = 2;

/// The start or the end of a call.
struct CallEvent {
    at_ms: f64,
    starts: bool,
    /// Index of the call in the records.
    call: usize,
}

/// Counts of recorded calls in flight.
struct Counts {
    by_backend: Vec<u32>,
    /// Counts by proxy, then by backend.
    by_proxy: Vec<u32>,
}

/// For each recorded call, the fleet's calls in flight at its backend when it was sent, itself included.
pub(super) fn calls_in_flight(records: &RecordedTraffic) -> Vec<f64> {
    let backends = records.backends.len();
    let unsampled_share = unsampled_share(records);
    let mean_by_backend = mean_by_backend(records);
    let mean_by_proxy = mean_by_proxy(records);
    let mut counts = Counts { by_backend: vec![0; backends], by_proxy: vec![0; mean_by_proxy.len()] };
    let mut is_counted = vec![false; records.calls.len()];
    let mut in_flight = vec![1.0; records.calls.len()];
    for event in events(records) {
        let call = &records.calls[event.call];
        let backend = call.backend as usize;
        let proxy = proxy_and_backend(records, call);
        if event.starts {
            let others = f64::from(counts.by_backend[backend] - counts.by_proxy[proxy]);
            let buckets = &mean_by_backend[backend];
            let mean_of_others = (buckets[bucket(call.at_ms, buckets.len())] - mean_by_proxy[proxy]).max(0.0);
            in_flight[event.call] =
                1.0 + f64::from(call.proxy_in_flight) + others + unsampled_share * mean_of_others;
            // The end of a call that took no time was sorted before its start.
            if call.wait_ms > 0.0 {
                is_counted[event.call] = true;
                counts.by_backend[backend] += 1;
                counts.by_proxy[proxy] += 1;
            }
        } else if is_counted[event.call] {
            counts.by_backend[backend] -= 1;
            counts.by_proxy[proxy] -= 1;
        }
    }
    in_flight
}

/// Starts and ends of all calls in the order of time; at one time, ends come first.
fn events(records: &RecordedTraffic) -> Vec<CallEvent> {
    let mut events = Vec::with_capacity(2 * records.calls.len());
    for (index, call) in records.calls.iter().enumerate() {
        events.push(CallEvent { at_ms: call.at_ms, starts: true, call: index });
        events.push(CallEvent { at_ms: call.at_ms + call.wait_ms, starts: false, call: index });
    }
    events.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms).then((a.starts, a.call).cmp(&(b.starts, b.call))));
    events
}

/// Mean share of the requests of a proxy that the sampling leaves out.
fn unsampled_share(records: &RecordedTraffic) -> f64 {
    let sampled = records.proxies.iter().map(|proxy| 1.0 / proxy.scale).sum::<f64>();
    1.0 - sampled / records.proxies.len().max(1) as f64
}

/// The bucket that a time (ms) falls into.
fn bucket(at_ms: f64, buckets: usize) -> usize {
    ((at_ms / BUCKET_MS).max(0.0) as usize).min(buckets - 1)
}

/// Index of a call's proxy and backend in figures by proxy, then by backend.
fn proxy_and_backend(records: &RecordedTraffic, call: &RecordedCall) -> usize {
    call.proxy as usize * records.backends.len() + call.backend as usize
}

/// Mean calls in flight over the whole window, scaled up for the sampling, by proxy, then by backend.
fn mean_by_proxy(records: &RecordedTraffic) -> Vec<f64> {
    let mut means = vec![0.0; records.backends.len() * records.proxies.len()];
    for call in &records.calls {
        let scale = records.proxies[call.proxy as usize].scale;
        means[proxy_and_backend(records, call)] += scale * call.wait_ms / records.length_ms.max(BUCKET_MS);
    }
    means
}

/// Mean calls in flight around each bucket, scaled up for the sampling, by backend, then by bucket.
fn mean_by_backend(records: &RecordedTraffic) -> Vec<Vec<f64>> {
    let buckets = (records.length_ms / BUCKET_MS) as usize + 1;
    let mut means = vec![vec![0.0; buckets]; records.backends.len()];
    for call in &records.calls {
        let scale = records.proxies[call.proxy as usize].scale;
        let end_ms = call.at_ms + call.wait_ms;
        let first = bucket(call.at_ms, buckets);
        let last = bucket(end_ms, buckets);
        let of_call = &mut means[call.backend as usize][first..=last];
        for (index, mean) in (first..).zip(of_call) {
            let bucket_start_ms = index as f64 * BUCKET_MS;
            let bucket_end_ms = (index + 1) as f64 * BUCKET_MS;
            let overlap_ms = (end_ms.min(bucket_end_ms) - call.at_ms.max(bucket_start_ms)).max(0.0);
            *mean += scale * overlap_ms / BUCKET_MS;
        }
    }
    means.iter().map(|buckets| moving_average(buckets)).collect()
}

/// The mean of each bucket and those around it.
fn moving_average(buckets: &[f64]) -> Vec<f64> {
    let mean = |index: usize| {
        let first = index.saturating_sub(SMOOTHING_BUCKETS);
        let end = (index + SMOOTHING_BUCKETS + 1).min(buckets.len());
        let near = &buckets[first..end];
        near.iter().sum::<f64>() / near.len() as f64
    };
    (0..buckets.len()).map(mean).collect()
}
