//! Unit tests of `src/bin/proxy/lifecycle.rs`, which names this file.

use super::*;
use std::pin::pin;
use tokio::time::timeout;

#[tokio::test(start_paused = true)]
async fn a_resume_during_the_drain_delay_restarts_the_delay() {
    let lifecycle = Lifecycle::new();
    lifecycle.begin();
    let mut drain_delay_over = pin!(lifecycle.drain_delay_over());
    for _ in 0..3 {
        assert!(lifecycle.quiesce() && lifecycle.phase() == Phase::Draining);
        assert!(timeout(DRAIN_DELAY / 2, drain_delay_over.as_mut()).await.is_err());
        assert!(lifecycle.resume() && lifecycle.phase() == Phase::Serving);
        assert!(timeout(DRAIN_DELAY * 4, drain_delay_over.as_mut()).await.is_err());
    }
    let drain_began = Instant::now();
    assert!(lifecycle.quiesce());
    drain_delay_over.await;
    assert_eq!(drain_began.elapsed(), DRAIN_DELAY);
}

#[tokio::test]
async fn a_stop_during_a_drain_cannot_be_undone() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.quiesce() && !lifecycle.resume() && lifecycle.phase() == Phase::Starting);
    lifecycle.begin();
    assert!(lifecycle.quiesce());
    lifecycle.stop();
    assert!(!lifecycle.resume() && !lifecycle.quiesce());
    assert_eq!(lifecycle.phase(), Phase::Stopping);
    lifecycle.stopped().await;
}

/// The platform's SIGKILL comes 0.7 s after the longest client timeout, of which at most 3 s count.
#[test]
fn the_last_answer_is_after_the_longest_timeout_and_before_the_kill() {
    let ms = Duration::from_millis;
    for (longest, counted) in [(0, 3000), (1, 1), (300, 300), (2999, 2999), (3000, 3000), (6000, 3000)] {
        let last = time_to_last_answer(ms(longest));
        assert!(
            last >= ms(counted) && last < ms(counted + 700),
            "timeout {longest} ms: last answer after {last:?}"
        );
    }
}
