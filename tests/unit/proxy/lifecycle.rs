//! Unit tests of `src/bin/proxy/lifecycle.rs`, which names this file.

use super::*;
use std::pin::pin;
use tokio::time::timeout;

#[tokio::test(start_paused = true)]
async fn a_resume_straight_after_a_quiesce_releases_nobody() {
    let life = Lifecycle::new();
    life.begin();
    let mut released = pin!(life.released());
    for _ in 0..3 {
        assert!(life.quiesce() && life.phase() == Phase::Draining);
        assert!(timeout(LINGER / 2, released.as_mut()).await.is_err());
        assert!(life.resume() && life.phase() == Phase::Serving);
        assert!(timeout(LINGER * 4, released.as_mut()).await.is_err());
    }
    let called = Instant::now();
    assert!(life.quiesce());
    released.await;
    assert_eq!(called.elapsed(), LINGER);
}

#[tokio::test]
async fn a_stop_during_a_drain_is_for_good() {
    let life = Lifecycle::new();
    assert!(!life.quiesce() && !life.resume() && life.phase() == Phase::Starting);
    life.begin();
    assert!(life.quiesce());
    life.stop();
    assert!(!life.resume() && !life.quiesce());
    assert_eq!(life.phase(), Phase::Stopping);
    life.stopped().await;
}

/// The kill comes 0.7 s after the longest deadline, of which no more than 3 s count: the last answer lies before it.
#[test]
fn the_last_answer_follows_the_longest_deadline() {
    let ms = Duration::from_millis;
    for (longest, counts) in [(0, 3000), (1, 1), (300, 300), (2999, 2999), (3000, 3000), (6000, 3000)] {
        let last = last_answer(ms(longest));
        assert!(last >= ms(counts) && last < ms(counts + 700), "{longest}: {last:?}");
    }
}
