//! Statistics of how evenly calls spread over backends.

use super::backends::Backend;
use std::sync::atomic::Ordering::SeqCst;

/// Spread of calls over some backends.
#[derive(Clone, Debug)]
pub struct Spread {
    pub calls: usize,
    /// `sum((c - m)^2) / (m * (n - 1))` over the calls `c` of `n` backends with mean `m`: the variance of calls
    /// relative to that of an independent uniform choice for each call, for which the expected value is exactly 1.
    pub variance: f64,
    /// Largest count of a backend divided by the mean.
    pub max: f64,
    /// Smallest count of a backend divided by the mean.
    pub min: f64,
}

pub fn spread(counts: &[usize]) -> Spread {
    let (calls, n) = (counts.iter().sum::<usize>(), counts.len() as f64);
    let mean = calls as f64 / n;
    let squares: f64 = counts.iter().map(|c| (*c as f64 - mean).powi(2)).sum();
    let over = |c: Option<&usize>| c.map_or(0.0, |c| *c as f64 / mean);
    let variance = squares / (mean * (n - 1.0));
    Spread { calls, variance, max: over(counts.iter().max()), min: over(counts.iter().min()) }
}

/// Returns the calls so far of each backend.
pub fn call_counts(backends: &[Backend]) -> Vec<usize> {
    backends.iter().map(Backend::calls).collect()
}

/// Returns the number of connections open to all backends.
pub fn open_connections(backends: &[Backend]) -> usize {
    backends.iter().map(|b| b.state.open_connections.load(SeqCst)).sum()
}

/// Returns the largest number of calls to one backend in one interval.
pub fn peak_interval_calls(backends: &[Backend]) -> usize {
    let most =
        |b: &Backend| b.state.interval_calls.lock().expect("lock is not poisoned").iter().copied().max();
    backends.iter().filter_map(most).max().unwrap_or(0)
}

/// Returns the worst interval of any backend: its calls divided by `m + 6 sqrt(m) + 6`, where `m` is the mean over all
/// backends in that interval. Independent calls stay well below 1 at any rate; a herd on one backend does not.
pub fn worst_herd_ratio(backends: &[Backend]) -> f64 {
    let intervals: Vec<_> = backends
        .iter()
        .map(|b| b.state.interval_calls.lock().expect("lock is not poisoned").clone())
        .collect();
    let in_interval = |n: usize| intervals.iter().map(move |s| s.get(n).copied().unwrap_or(0));
    let worst = |n: usize| {
        let mean = in_interval(n).sum::<usize>() as f64 / intervals.len() as f64;
        in_interval(n).max().unwrap_or(0) as f64 / (mean + 6.0 * mean.sqrt() + 6.0)
    };
    (0..intervals.iter().map(Vec::len).max().unwrap_or(0)).map(worst).fold(0.0, f64::max)
}

/// Returns the calls to some backends divided by their even share.
pub fn relative_share(counts: &[usize], of: std::ops::Range<usize>) -> f64 {
    let even = counts.iter().sum::<usize>() as f64 / counts.len() as f64 * of.len() as f64;
    counts[of].iter().sum::<usize>() as f64 / even
}
