//! Unit tests of `src/client/discovery/watch_state.rs`, which names this file.

use super::*;

fn page(version: u64, is_full: bool) -> ListPage {
    ListPage { version, is_full, entries: Vec::new() }
}

fn addresses() -> Vec<SocketAddr> {
    [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec()
}

#[test]
fn a_version_is_used_only_where_it_came_from_and_never_across_histories() {
    let backoff = BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(133) };
    let mut state = WatchState::new(addresses(), backoff);
    assert!(state.accept(&page(7, false)).is_err(), "changes to a list that is not held");
    state.accept(&page(7, true)).expect("a whole list");
    assert_eq!(state.resume_version(), Some(7));
    assert!(state.accept(&page(6, false)).is_err(), "changes of another history");
    assert_eq!(state.resume_version(), None, "the whole list is asked for next");
    state.accept(&page(6, true)).expect("the other history's whole list");
    state.accept(&page(5, true)).expect("one more history, told at once as a whole");
    assert_eq!(state.resume_version(), Some(5));
    state.record_failure(&CallError::TimedOut);
    assert_eq!(state.resume_version(), None, "at another registry the version means nothing");
    state.record_failure(&CallError::TimedOut);
    assert_eq!(state.resume_version(), Some(5), "back where it came from it does");
}
