//! Unit tests of `src/bin/proxy/counters.rs`, which names this file.

use super::*;

#[test]
fn each_ended_request_is_counted_once_and_is_no_longer_in_flight() {
    let counters = Counters::new(vec!["look".into(), "once".into()]);
    let page = || counters.page(Census { listed: 3, excluded: 1, unlisted: 0 });
    let (mut served, mut rejected, mut abandoned) =
        (counters.record(0), counters.record(1), counters.record(1));
    served.complete();
    abandoned.complete();
    abandoned.complete();
    assert_eq!(page()["in_flight"], 2, "a request whose body is incomplete is not in flight");
    served.count_as(CountedAs::Served);
    rejected.count_as(CountedAs::Rejected);
    drop((served, rejected, abandoned, counters.record(0)));
    counters.attempts().set(7);
    let refusals = [(Shortage::Slots, 1), (Shortage::Memory, 2), (Shortage::Descriptors, 3)];
    refusals.into_iter().for_each(|(shortage, requests)| counters.refusals().add(shortage, requests));
    let zero = json!({"look": 0, "once": 0});
    let expected = json!({
        "served": {"look": 1, "once": 0}, "refused": {"look": 0, "once": 1}, "failed": {"look": 0, "once": 1},
        "attempts": 7, "in_flight": 0, "backends_known": 3, "backends_excluded": 1,
        "refused_no_slot": 1, "refused_no_memory": 2, "refused_no_descriptor": 3,
    });
    assert_eq!(page(), expected);
    assert_eq!(Counters::new(vec!["look".into(), "once".into()]).page(Census::default())["served"], zero);
}
