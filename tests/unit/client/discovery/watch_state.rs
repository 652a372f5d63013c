//! Unit tests of `src/client/discovery/watch_state.rs`, which includes this file as a module.

use super::*;

fn page(version: u64, is_full: bool) -> ListPage {
    ListPage { version, is_full, entries: Vec::new() }
}

fn addresses() -> Vec<SocketAddr> {
    [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec()
}

#[test]
fn a_version_is_resumed_only_at_the_registry_that_sent_it_and_within_its_history() {
    let backoff = BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(133) };
    let mut state = WatchState::new(addresses(), backoff);
    let accept = |state: &mut WatchState, page: ListPage| state.accept(&page, state.next_request());
    assert!(accept(&mut state, page(7, false)).is_err(), "an update to a list that is not held");
    accept(&mut state, page(7, true)).expect("a full list is accepted");
    assert_eq!(state.resume_version(), Some(7));
    assert!(accept(&mut state, page(6, false)).is_err(), "an update of another history");
    assert_eq!(state.resume_version(), None, "the full list is polled next");
    accept(&mut state, page(6, true)).expect("a full list of the other history is accepted");
    accept(&mut state, page(5, true)).expect("a full list at a lower version is accepted");
    assert_eq!(state.resume_version(), Some(5));
    state.record_failure(&CallError::TimedOut);
    assert_eq!(state.resume_version(), None, "the version is not valid at another registry");
    state.record_failure(&CallError::TimedOut);
    assert_eq!(state.resume_version(), Some(5), "the version is valid at the registry that sent it");
}

#[test]
fn a_late_answer_after_a_failover_is_held_for_the_registry_that_sent_it() {
    let backoff = BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(133) };
    let mut state = WatchState::new(addresses(), backoff);
    let first = state.next_request();
    state.record_failure(&CallError::TimedOut);
    assert_ne!(state.next_request().registry, first.registry, "the next registry is called");
    state.accept(&page(7, true), first).expect("the late full list is accepted");
    let next = state.next_request();
    assert_eq!((next.registry, next.after), (first.registry, Some(7)));
    assert_eq!(next.wait, WATCH_WAIT);
}
