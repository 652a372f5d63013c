//! Unit tests of `src/client/registry/failover.rs`, which includes this file as a module.

use super::*;

#[tokio::test(start_paused = true)]
async fn failover_follows_one_timeout_at_once_and_other_errors_after_a_delay() {
    let addresses = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec();
    let mut failover = EndpointFailover::new("test", addresses.clone(), DEFAULT_BACKOFF);
    let error = || CallError::UnexpectedUpdate;
    let started = Instant::now();
    while failover.current == 0 {
        let delay = failover.record_failure(&error());
        assert!(started.elapsed() < FAILOVER_AFTER * 3, "failover in bounded time");
        tokio::time::advance(delay).await;
    }
    assert!(started.elapsed() >= FAILOVER_AFTER, "a registry has time to restart");
    failover.record_failure(&CallError::TimedOut);
    assert_eq!(failover.current, 0);
    let mut single = EndpointFailover::new("test", addresses[..1].to_vec(), DEFAULT_BACKOFF);
    single.record_failure(&CallError::TimedOut);
    assert_eq!(single.current, 0, "a single address has no failover");
}
