//! Unit tests of `src/client/backoff.rs`, which names this file.

use super::*;

#[test]
fn retries_are_spread_about_their_delay() {
    let bounds = BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(667) };
    let nth = |n, mut backoff: Backoff| std::iter::repeat_with(move || backoff.next_delay()).nth(n);
    let longest: Vec<Duration> = (0..1000).filter_map(|_| nth(9, Backoff::new(bounds))).collect();
    assert!(longest.iter().all(|delay| *delay >= bounds.max && *delay <= bounds.max * 2));
    let early = longest.iter().filter(|delay| **delay < bounds.max * 3 / 2).count();
    assert!((300..700).contains(&early), "{early} of 1000 come early");
    let mut backoff = Backoff::new(bounds);
    assert!((0..10_000).map(|_| backoff.next_delay()).all(|delay| delay >= bounds.min), "it never gives up");
    assert!(backoff.next_delay() >= bounds.max);
    backoff.reset();
    assert!(backoff.next_delay() <= bounds.min * 2);
}
