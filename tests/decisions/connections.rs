//! A limited number of connections to backends.

use crate::common::*;
use load_balancer::interface::*;
use rstest::rstest;

/// Each send takes a connection. While long responses hold half of them, a part of the others is left for higher classes:
/// both sides of each bound.
#[rstest]
#[case::none_is_free(0, 0, [0, 0])]
#[case::all_are_free(8, 0, [8, 8])]
#[case::one_less_than_half_is_taken_by_responses(5, 3, [5, 5])]
#[case::half_is_taken_by_responses(4, 4, [4, 3])]
#[case::only_the_reserved_one_is_left(1, 7, [1, 0])]
fn no_more_requests_are_sent_than_connections_are_left(
    #[case] free: u32,
    #[case] responses: u32,
    #[case] sent: [usize; 2],
) {
    for (class, sent) in sent.into_iter().enumerate() {
        let mut p = Proxy::new(two_classes(), 1, entries(20));
        p.balancer.set_connection_use(ConnectionUse { most: 8, free, responses });
        let requests: Vec<_> = (0..10).map(|_| p.request(class, 0, 4000.0)).collect();
        let sends: usize = requests.iter().map(|id| p.requests[id].sends.len()).sum();
        assert_eq!(sends, sent, "of class {class}");
    }
}

fn two_classes() -> Settings {
    settings(1, [10.0, 1.0].map(|weight| class(400.0, weight, Idempotency::NonIdempotent)).to_vec())
}

/// A full queue gives a place to a request of a higher class, and the latest of the lowest class is rejected.
#[test]
fn a_higher_class_takes_the_place_of_a_lower_one_in_a_full_queue() {
    let mut p = Proxy::new(two_classes(), 1, entries(4));
    p.balancer.set_connection_use(ConnectionUse { most: 8, free: 0, responses: 8 });
    let mut waiting = Vec::new();
    let refused = loop {
        let id = p.request(1, 0, 4000.0);
        if p.requests[&id].ended.is_some() {
            break id;
        }
        waiting.push(id);
    };
    let high = p.request(0, 0, 4000.0);
    let ended = |p: &Proxy, id| p.requests[&id].ended.map(|(_, end)| end);
    let last = *waiting.last().expect("the queue holds requests");
    assert_eq!(
        [ended(&p, refused), ended(&p, last), ended(&p, high)],
        [Some(RequestEnd::Rejected), Some(RequestEnd::Rejected), None]
    );
    assert_eq!(p.balancer.shed_for_connections(), 2);
    p.balancer.set_connection_use(ConnectionUse { most: 8, free: 1, responses: 7 });
    p.notify(Event::ConnectionsFreed);
    assert_eq!(p.requests[&high].sends.len(), 1, "the higher class is first");
    assert!(waiting.iter().all(|id| p.requests[id].sends.is_empty()));
}
