//! Unit tests of `src/client/registry/failover.rs`, which names this file.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_silent_registry_is_left_at_once_and_a_failing_one_after_a_while() {
    let addresses = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec();
    let mut failover = EndpointFailover::new("test", addresses.clone(), DEFAULT_BACKOFF);
    let failed = || CallError::UnexpectedUpdate;
    let begun = Instant::now();
    while failover.current == 0 {
        let pause = failover.record_failure(&failed());
        assert!(begun.elapsed() < FAILOVER_AFTER * 3, "it is left in bounded time");
        tokio::time::advance(pause).await;
    }
    assert!(begun.elapsed() >= FAILOVER_AFTER, "a restart has time to end");
    failover.record_failure(&CallError::TimedOut);
    assert_eq!(failover.current, 0);
    let mut alone = EndpointFailover::new("test", addresses[..1].to_vec(), DEFAULT_BACKOFF);
    alone.record_failure(&CallError::TimedOut);
    assert_eq!(alone.current, 0, "with one address it stays");
}
