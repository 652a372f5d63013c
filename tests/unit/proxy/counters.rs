//! Unit tests of `src/bin/proxy/counters.rs`, which names this file.

use super::*;

#[test]
fn each_request_ends_in_one_count_and_leaves_nothing_in_flight() {
    let counters = Counters::new(vec!["look".into(), "once".into()]);
    let page = || counters.page(Census { listed: 3, excluded: 1, unlisted: 0 });
    let (mut served, mut refused, mut left) = (counters.record(0), counters.record(1), counters.record(1));
    served.complete();
    left.complete();
    left.complete();
    assert_eq!(page()["in_flight"], 2, "one that has not come whole is not in flight");
    served.count_as(CountedAs::Served);
    refused.count_as(CountedAs::Rejected);
    drop((served, refused, left, counters.record(0)));
    counters.attempts().set(7);
    let zero = json!({"look": 0, "once": 0});
    let expected = json!({
        "served": {"look": 1, "once": 0}, "refused": {"look": 0, "once": 1}, "failed": {"look": 0, "once": 1},
        "attempts": 7, "in_flight": 0, "backends_known": 3, "backends_excluded": 1,
    });
    assert_eq!(page(), expected);
    assert_eq!(Counters::new(vec!["look".into(), "once".into()]).page(Census::default())["served"], zero);
}
