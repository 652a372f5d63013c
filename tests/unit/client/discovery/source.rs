//! Unit tests of `src/client/discovery/source.rs`, which names this file.

use super::*;

fn page(seq: u64, whole: bool) -> Page {
    Page { seq, whole, hosts: Vec::new() }
}

fn addresses() -> Vec<SocketAddr> {
    [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec()
}

#[test]
fn a_version_is_used_only_where_it_came_from_and_never_across_histories() {
    let mut source = Source::new(addresses(), [Duration::from_millis(33), Duration::from_millis(133)]);
    assert!(source.accept(&page(7, false)).is_err(), "changes to a list that is not held");
    source.accept(&page(7, true)).expect("a whole list");
    assert_eq!(source.after(), Some(7));
    assert!(source.accept(&page(6, false)).is_err(), "changes of another history");
    assert_eq!(source.after(), None, "the whole list is asked for next");
    source.accept(&page(6, true)).expect("the other history's whole list");
    source.accept(&page(5, true)).expect("one more history, told at once as a whole");
    assert_eq!(source.after(), Some(5));
    source.failed(&Fault::Silent);
    assert_eq!(source.after(), None, "at another registry the version means nothing");
    source.failed(&Fault::Silent);
    assert_eq!(source.after(), Some(5), "back where it came from it does");
}
