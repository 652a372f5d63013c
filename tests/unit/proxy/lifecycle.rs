//! Unit tests of `src/bin/proxy/lifecycle.rs`, which names this file.

use super::*;
use std::pin::pin;
use tokio::time::timeout;

#[tokio::test(start_paused = true)]
async fn a_resume_straight_after_a_quiesce_releases_nobody() {
    let lifecycle = Lifecycle::new();
    lifecycle.begin();
    let mut drain_delay_over = pin!(lifecycle.drain_delay_over());
    for _ in 0..3 {
        assert!(lifecycle.quiesce() && lifecycle.phase() == Phase::Draining);
        assert!(timeout(DRAIN_DELAY / 2, drain_delay_over.as_mut()).await.is_err());
        assert!(lifecycle.resume() && lifecycle.phase() == Phase::Serving);
        assert!(timeout(DRAIN_DELAY * 4, drain_delay_over.as_mut()).await.is_err());
    }
    let called = Instant::now();
    assert!(lifecycle.quiesce());
    drain_delay_over.await;
    assert_eq!(called.elapsed(), DRAIN_DELAY);
}

#[tokio::test]
async fn a_stop_during_a_drain_is_for_good() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.quiesce() && !lifecycle.resume() && lifecycle.phase() == Phase::Starting);
    lifecycle.begin();
    assert!(lifecycle.quiesce());
    lifecycle.stop();
    assert!(!lifecycle.resume() && !lifecycle.quiesce());
    assert_eq!(lifecycle.phase(), Phase::Stopping);
    lifecycle.stopped().await;
}

/// The kill comes 0.7 s after the longest deadline, of which no more than 3 s count: the last answer lies before it.
#[test]
fn the_last_answer_follows_the_longest_deadline() {
    let ms = Duration::from_millis;
    for (longest, counts) in [(0, 3000), (1, 1), (300, 300), (2999, 2999), (3000, 3000), (6000, 3000)] {
        let last = time_to_last_answer(ms(longest));
        assert!(last >= ms(counts) && last < ms(counts + 700), "{longest}: {last:?}");
    }
}
