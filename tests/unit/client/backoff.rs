//! Unit tests of `src/client/backoff.rs`, which includes this file as a module.

use super::*;

#[test]
fn delays_are_spread_by_jitter_and_stay_between_the_bounds_plus_jitter() {
    let bounds = BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(667) };
    let nth_delay = |n, mut backoff: Backoff| std::iter::repeat_with(move || backoff.next_delay()).nth(n);
    let longest: Vec<Duration> = (0..1000).filter_map(|_| nth_delay(9, Backoff::new(bounds))).collect();
    assert!(longest.iter().all(|delay| *delay >= bounds.max && *delay <= bounds.max * 2));
    let in_lower_half = longest.iter().filter(|delay| **delay < bounds.max * 3 / 2).count();
    assert!((300..700).contains(&in_lower_half), "{in_lower_half} of 1000 delays are in the lower half");
    let mut backoff = Backoff::new(bounds);
    assert!(
        (0..10_000).map(|_| backoff.next_delay()).all(|delay| delay >= bounds.min),
        "a delay is below the minimum"
    );
    assert!(backoff.next_delay() >= bounds.max);
    backoff.reset();
    assert!(backoff.next_delay() <= bounds.min * 2);
}
