//! Clock offsets between proxies, from requests that proxies of two tiers recorded.
//!
//! Such a request ran, at the proxy behind, within an attempt of the proxy in front. Each one bounds the difference of
//! their clocks from both sides. Proxies that are connected by such pairs form a group; its median clock is taken as the
//! right one.

use super::quantiles::median;
use super::{Segment, Trace};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Minimum number of shared requests for an offset between two proxies, as two requests' ids may be equal by chance.
const MIN_SHARED_REQUESTS: usize = 8;
/// Maximum number of traces of one id that are taken for one request.
const MAX_TRACES_OF_REQUEST: usize = 4;

/// A request as one proxy recorded it.
struct ProxyTrace<'a> {
    /// Index of the proxy among the names in ascending order.
    proxy: usize,
    trace: &'a Trace,
}

/// Bounds (ms) of the time that one clock is behind another one, from one shared request.
struct OffsetBounds {
    low_ms: f64,
    high_ms: f64,
}

/// Bounds by pair of proxies, the lower index first: by how much the second clock is behind the first one.
type PairBounds = BTreeMap<(usize, usize), Vec<OffsetBounds>>;

/// The correction (ms) to add to the times of each proxy, by name, given the tiers. Proxies that share no
/// requests with another tier's have no entry and keep their clocks.
pub(super) fn offsets<'a>(segments: &'a [Segment], tiers: &BTreeMap<&'a str, u32>) -> BTreeMap<&'a str, f64> {
    if tiers.values().all(|tier| Some(tier) == tiers.values().next()) {
        return BTreeMap::new();
    }
    let names: Vec<&str> = tiers.keys().copied().collect();
    let tiers: Vec<u32> = tiers.values().copied().collect();
    let mut traces: HashMap<u64, Vec<ProxyTrace>> = HashMap::new();
    for segment in segments {
        let Ok(proxy) = names.binary_search(&segment.name.as_str()) else { continue };
        for trace in &segment.traces {
            traces.entry(trace.id).or_default().push(ProxyTrace { proxy, trace });
        }
    }
    let neighbours = neighbours(pair_bounds(&traces, &tiers), names.len());
    let offsets = offsets_within_groups(&neighbours);
    names.into_iter().zip(offsets).filter_map(|(name, offset)| Some((name, offset?))).collect()
}

fn pair_bounds(traces: &HashMap<u64, Vec<ProxyTrace>>, tiers: &[u32]) -> PairBounds {
    let mut pairs = PairBounds::new();
    for shared in traces.values().filter(|shared| (2..=MAX_TRACES_OF_REQUEST).contains(&shared.len())) {
        for outer in shared {
            for inner in shared.iter().filter(|inner| tiers[outer.proxy] < tiers[inner.proxy]) {
                let Some(bounds) = bounds(outer.trace, inner.trace) else { continue };
                if outer.proxy < inner.proxy {
                    pairs.entry((outer.proxy, inner.proxy)).or_default().push(bounds);
                } else {
                    let bounds = OffsetBounds { low_ms: -bounds.high_ms, high_ms: -bounds.low_ms };
                    pairs.entry((inner.proxy, outer.proxy)).or_default().push(bounds);
                }
            }
        }
    }
    pairs
}

/// Bounds of the time that the clock of `inner` is behind that of `outer`. The inner request is taken to have
/// run within the shortest attempt that is long enough.
fn bounds(outer: &Trace, inner: &Trace) -> Option<OffsetBounds> {
    let long_enough = outer.attempts.iter().filter(|attempt| attempt.wait_ms >= inner.took_ms);
    let attempt = long_enough.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))?;
    let sent_ms = outer.at_ms + attempt.after_ms;
    Some(OffsetBounds {
        low_ms: sent_ms - inner.at_ms,
        high_ms: sent_ms + attempt.wait_ms - inner.at_ms - inner.took_ms,
    })
}

/// For each proxy, the proxies that it shares enough requests with, and the time (ms) to add to their clocks to get its
/// own.
fn neighbours(pairs: PairBounds, proxies: usize) -> Vec<Vec<(usize, f64)>> {
    let mut neighbours = vec![Vec::new(); proxies];
    for ((first, second), bounds) in pairs {
        if bounds.len() >= MIN_SHARED_REQUESTS {
            let offset_ms = offset(&bounds);
            neighbours[first].push((second, offset_ms));
            neighbours[second].push((first, -offset_ms));
        }
    }
    neighbours
}

/// The middle of the interval that all bounds leave. Bounds that contradict each other include ids that are equal by
/// chance: then it is the median of their middles.
fn offset(bounds: &[OffsetBounds]) -> f64 {
    let low_ms = bounds.iter().map(|bounds| bounds.low_ms).fold(f64::MIN, f64::max);
    let high_ms = bounds.iter().map(|bounds| bounds.high_ms).fold(f64::MAX, f64::min);
    if low_ms <= high_ms {
        return (low_ms + high_ms) / 2.0;
    }
    median(bounds.iter().map(|bounds| (bounds.low_ms + bounds.high_ms) / 2.0).collect())
}

/// The offset (ms) of each proxy that has neighbours, from the median clock of its group.
fn offsets_within_groups(neighbours: &[Vec<(usize, f64)>]) -> Vec<Option<f64>> {
    let mut offsets: Vec<Option<f64>> = vec![None; neighbours.len()];
    for root in 0..neighbours.len() {
        if offsets[root].is_some() || neighbours[root].is_empty() {
            continue;
        }
        offsets[root] = Some(0.0);
        let mut group = vec![root];
        let mut unvisited = VecDeque::from([root]);
        while let Some(proxy) = unvisited.pop_front() {
            for &(neighbour, offset_ms) in &neighbours[proxy] {
                if offsets[neighbour].is_none() {
                    offsets[neighbour] = offsets[proxy].map(|of_proxy| of_proxy + offset_ms);
                    group.push(neighbour);
                    unvisited.push_back(neighbour);
                }
            }
        }
        let median_ms = median(group.iter().filter_map(|&proxy| offsets[proxy]).collect());
        for proxy in group {
            offsets[proxy] = offsets[proxy].map(|offset_ms| offset_ms - median_ms);
        }
    }
    offsets
}
