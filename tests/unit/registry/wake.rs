//! Unit tests of `src/bin/registry/writer/wake.rs`, which names this file.

use super::*;

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a name")
}

#[tokio::test]
async fn only_the_watches_of_a_service_wake_and_none_is_remembered_after_it() {
    let wakers = Arc::new(Wakers::default());
    let (mut first, mut second) = (wakers.wait(&name("a")), wakers.wait(&name("a")));
    let other = wakers.wait(&name("b"));
    assert_eq!(wakers.services().len(), 2);
    wakers.wake(&name("a"), 5);
    wakers.wake(&name("nobody"), 6);
    first.newer_than(4).await;
    second.newer_than(4).await;
    assert!(!other.versions.has_changed().expect("it has a sender"), "the watch of b is not woken");
    drop(first);
    assert_eq!(wakers.services().len(), 2, "one still waits for a");
    drop(second);
    drop(other);
    assert_eq!(wakers.services().len(), 0);
}
