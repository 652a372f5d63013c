//! Unit tests of `src/client/pauses.rs`, which names this file.

use super::*;

#[test]
fn retries_are_spread_about_their_pause() {
    let bounds = [Duration::from_millis(33), Duration::from_millis(667)];
    let nth = |n, mut pauses: Pauses| std::iter::repeat_with(move || pauses.next_pause()).nth(n);
    let longest: Vec<Duration> = (0..1000).filter_map(|_| nth(9, Pauses::new(bounds))).collect();
    assert!(longest.iter().all(|p| *p >= bounds[1] && *p <= bounds[1] * 2));
    let early = longest.iter().filter(|p| **p < bounds[1] * 3 / 2).count();
    assert!((300..700).contains(&early), "{early} of 1000 come early");
    let mut pauses = Pauses::new(bounds);
    assert!((0..10_000).map(|_| pauses.next_pause()).all(|p| p >= bounds[0]), "it never gives up");
    assert!(pauses.next_pause() >= bounds[1]);
    pauses.reset();
    assert!(pauses.next_pause() <= bounds[0] * 2);
}
