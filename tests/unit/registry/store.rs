use super::recovery::MIN_CHANGE_BYTES;
use super::*;
use crate::lease::Lease;
use load_balancer::catalog::{Change, Entry, Health, MAX_GAPS, Page, ServiceName, Update};
use load_balancer::route_table::RouteRecord;

fn entry(host: &str, health: Health) -> Entry {
    let dial = Some("127.0.0.1:9".parse().expect("address"));
    Entry {
        host: host.into(),
        dial,
        site: "a".into(),
        class: String::new(),
        block: 0,
        health,
        share: 1.0,
        born_ms: 0.0,
    }
}

fn change(seq: u64, host: &str, health: Health) -> Record {
    unnamed(Update::Change(Change { seq, entry: entry(host, health), ttl_ms: 1000 }))
}

fn unnamed(update: Update) -> Record {
    Record::Update { service: ServiceName::default(), update }
}

fn since(state: &State, after: u64) -> Page<'_> {
    state.catalog.changes_after(&ServiceName::default(), after)
}

fn horizon(state: &State) -> u64 {
    state.catalog.horizon(&ServiceName::default())
}

#[test]
fn a_version_from_a_gap_between_two_starts_gets_the_whole_list() {
    let mut state = State::new(1);
    state.apply(change(1, "a", Health::Serving));
    for start in [10, 20] {
        state.apply(Record::Start(start));
        state.apply(Record::Start(start - 1));
        assert_eq!(state.catalog.newest(), start, "a start never goes back");
    }
    state.apply(change(21, "b", Health::Serving));
    let whole: Vec<u64> = (0..23).filter(|&after| since(&state, after).is_full_list).collect();
    assert_eq!(whole, (2..10).chain(11..20).chain([22]).collect::<Vec<_>>());
    for start in 0..MAX_GAPS as u64 {
        state.apply(Record::Start(100 + start * 10));
    }
    assert_eq!(
        (state.catalog.gap_count(), horizon(&state)),
        (MAX_GAPS, 20),
        "old gaps go, the horizon follows"
    );
    assert!(since(&state, 1).is_full_list && !since(&state, 21).is_full_list);
}

#[test]
fn each_kind_of_record_is_read_as_it_was_written() {
    let renewal = unnamed(Update::Renewal { host: "a".into(), ttl_ms: 7 });
    let lease = Lease { duty: "d".into(), holder: "a".into(), token: 5, ttl_ms: 100 };
    let routes = Box::new(RouteRecord::empty());
    let others = [
        Record::Routes(routes),
        renewal,
        Record::Start(9),
        Record::Lease(lease),
        Record::Release("d".into()),
    ];
    for record in [change(3, "a", Health::Serving)].into_iter().chain(others) {
        let text = record.encode().expect("JSON");
        let again = Record::decode(&text).expect("a record").encode().expect("JSON");
        assert_eq!(text, again);
        assert!(
            text.len() as u64 + 8 >= MIN_CHANGE_BYTES
                || !matches!(record, Record::Update { update: Update::Change(_), .. })
        );
    }
    let least = Change {
        seq: 1,
        entry: Entry { site: String::new(), dial: None, ..entry("a", Health::Deleted) },
        ttl_ms: 1,
    };
    assert!(unnamed(Update::Change(least)).encode().expect("JSON").len() as u64 + 8 >= MIN_CHANGE_BYTES);
    assert!(Record::decode(b"{}").is_none());
}

#[test]
fn deltas_hold_what_changed_and_old_ones_get_the_whole_list() {
    let mut state = State::new(1);
    state.apply(change(1, "a", Health::Serving));
    state.apply(change(2, "b", Health::Serving));
    state.apply(change(3, "a", Health::Deleted));
    let delta = since(&state, 1);
    assert!(!delta.is_full_list);
    assert_eq!(delta.hosts.iter().map(|e| e.host.as_str()).collect::<Vec<_>>(), ["b", "a"]);
    assert_eq!(state.catalog.full_list(&ServiceName::default()).hosts.len(), 1);
    state.apply(change(4, "b", Health::Deleted));
    assert_eq!(horizon(&state), 3, "the oldest tombstone went");
    assert!(since(&state, 2).is_full_list, "a delta from before the horizon would miss a deletion");
    assert!(!since(&state, 3).is_full_list);
    assert!(since(&state, 9).is_full_list, "a version from another history");
}
