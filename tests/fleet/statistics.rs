//! How evenly calls fell on backends.

use super::backends::Backend;
use std::sync::atomic::Ordering::SeqCst;

/// The spread of calls over some backends.
#[derive(Clone, Debug)]
pub struct Spread {
    pub calls: usize,
    /// `sum((c - m)^2) / (m * (n - 1))` over the calls `c` of `n` backends with mean `m`: the variance of calls over
    /// what a fair die for each call would give, whose expected value here is exactly 1.
    pub variance: f64,
    /// Most calls of a backend over the mean.
    pub max: f64,
    /// Fewest.
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

/// Calls so far.
pub fn call_counts(backends: &[Backend]) -> Vec<usize> {
    backends.iter().map(Backend::calls).collect()
}

/// Connections open now, all backends'.
pub fn open_connections(backends: &[Backend]) -> usize {
    backends.iter().map(|b| b.state.open_connections.load(SeqCst)).sum()
}

/// Most calls at one backend in a span.
pub fn peak_interval_calls(backends: &[Backend]) -> usize {
    let most = |b: &Backend| b.state.interval_calls.lock().expect("sound").iter().copied().max();
    backends.iter().filter_map(most).max().unwrap_or(0)
}

/// The worst span of a backend: its calls over `m + 6 sqrt(m) + 6`, where `m` is the mean of all in that span. Calls
/// that fall by chance stay well under 1, however many come at once; a worst_herd_ratio on one backend does not.
pub fn worst_herd_ratio(backends: &[Backend]) -> f64 {
    let spans: Vec<_> =
        backends.iter().map(|b| b.state.interval_calls.lock().expect("sound").clone()).collect();
    let in_span = |n: usize| spans.iter().map(move |s| s.get(n).copied().unwrap_or(0));
    let worst = |n: usize| {
        let mean = in_span(n).sum::<usize>() as f64 / spans.len() as f64;
        in_span(n).max().unwrap_or(0) as f64 / (mean + 6.0 * mean.sqrt() + 6.0)
    };
    (0..spans.iter().map(Vec::len).max().unwrap_or(0)).map(worst).fold(0.0, f64::max)
}

/// Calls to some backends over the even relative_share of as many.
pub fn relative_share(counts: &[usize], of: std::ops::Range<usize>) -> f64 {
    let even = counts.iter().sum::<usize>() as f64 / counts.len() as f64 * of.len() as f64;
    counts[of].iter().sum::<usize>() as f64 / even
}
