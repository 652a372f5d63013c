//! Unit tests of `src/bin/registry/writer/wake.rs`, which includes this file as its module `tests`.

use super::*;

fn service_name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("the text is a valid service name")
}

#[tokio::test]
async fn a_change_wakes_only_the_watches_of_its_service_and_ended_watches_leave_no_channel() {
    let wakers = Arc::new(Wakers::default());
    let (mut first, mut second) = (wakers.watch(&service_name("a")), wakers.watch(&service_name("a")));
    let other = wakers.watch(&service_name("b"));
    assert_eq!(wakers.services().len(), 2);
    wakers.wake(&service_name("a"), 5);
    wakers.wake(&service_name("nobody"), 6);
    first.wait_for_newer_than(4).await;
    second.wait_for_newer_than(4).await;
    assert!(!other.versions.has_changed().expect("the channel has a sender"), "the watch of b was not woken");
    drop(first);
    assert_eq!(wakers.services().len(), 2, "the second watch of a is still open");
    drop(second);
    drop(other);
    assert_eq!(wakers.services().len(), 0);
}
