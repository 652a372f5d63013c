//! Unit tests of `src/client/registry/rotation.rs`, which names this file.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_silent_registry_is_left_at_once_and_a_failing_one_after_a_while() {
    let addresses = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec();
    let mut source = Rotation::new("test", addresses.clone(), PAUSES);
    let failed = || Fault::Changes;
    let begun = Instant::now();
    while source.at == 0 {
        let pause = source.failed(&failed());
        assert!(begun.elapsed() < LEAVE_AFTER * 3, "it is left in bounded time");
        tokio::time::advance(pause).await;
    }
    assert!(begun.elapsed() >= LEAVE_AFTER, "a restart has time to end");
    source.failed(&Fault::Silent);
    assert_eq!(source.at, 0);
    let mut alone = Rotation::new("test", addresses[..1].to_vec(), PAUSES);
    alone.failed(&Fault::Silent);
    assert_eq!(alone.at, 0, "with one address it stays");
}
