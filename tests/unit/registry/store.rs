//! Unit tests of `src/bin/registry/store/mod.rs`, which includes this file as its module `tests`.

use super::recovery::MIN_CHANGE_BYTES;
use super::*;
use crate::lease::Lease;
use load_balancer::catalog::{Change, Entry, Health, ListResponse, MAX_GAPS, ServiceName, Update};
use load_balancer::route_table::RouteRecord;

/// Length of a frame's header on disk, in bytes.
const FRAME_HEADER_BYTES: u64 = 8;

fn entry(host: &str, health: Health) -> Entry {
    let dial = Some("127.0.0.1:9".parse().expect("a valid socket address"));
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
    unnamed_service(Update::Change(Change { seq, entry: entry(host, health), ttl_ms: 1000 }))
}

/// Returns the record of an update of the unnamed service.
fn unnamed_service(update: Update) -> Record {
    Record::Update { service: ServiceName::default(), update }
}

/// Returns the answer to a watch of the unnamed service that has this version.
fn changes_after(state: &State, after: u64) -> ListResponse<'_> {
    state.catalog.changes_after(&ServiceName::default(), after)
}

fn horizon(state: &State) -> u64 {
    state.catalog.horizon(&ServiceName::default())
}

#[test]
fn a_version_in_a_gap_between_two_starts_gets_the_full_list() {
    let mut state = State::new(1);
    state.apply(change(1, "a", Health::Serving));
    for start in [10, 20] {
        state.apply(Record::Start(start));
        state.apply(Record::Start(start - 1));
        assert_eq!(state.catalog.newest(), start, "a start below the newest version has no effect");
    }
    state.apply(change(21, "b", Health::Serving));
    let full_list_after: Vec<u64> =
        (0..23).filter(|&after| changes_after(&state, after).is_full_list).collect();
    assert_eq!(full_list_after, (2..10).chain(11..20).chain([22]).collect::<Vec<_>>());
    for start in 0..MAX_GAPS as u64 {
        state.apply(Record::Start(100 + start * 10));
    }
    assert_eq!(
        (state.catalog.gap_count(), horizon(&state)),
        (MAX_GAPS, 20),
        "old gaps are discarded and the horizon rises to their end"
    );
    assert!(changes_after(&state, 1).is_full_list && !changes_after(&state, 21).is_full_list);
}

#[test]
fn each_kind_of_record_decodes_to_what_was_encoded() {
    let renewal = unnamed_service(Update::Renewal { host: "a".into(), ttl_ms: 7 });
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
        let payload = record.encode().expect("the record is encoded");
        let decoded = Record::decode(&payload).expect("the payload is decoded");
        assert_eq!(payload, decoded.encode().expect("the record is encoded"));
        assert!(
            payload.len() as u64 + FRAME_HEADER_BYTES >= MIN_CHANGE_BYTES
                || !matches!(record, Record::Update { update: Update::Change(_), .. })
        );
    }
    let shortest = Change {
        seq: 1,
        entry: Entry { site: String::new(), dial: None, ..entry("a", Health::Deleted) },
        ttl_ms: 1,
    };
    let payload = unnamed_service(Update::Change(shortest)).encode().expect("the record is encoded");
    assert!(payload.len() as u64 + FRAME_HEADER_BYTES >= MIN_CHANGE_BYTES);
    assert!(Record::decode(b"{}").is_none());
}

#[test]
fn a_delta_has_the_changes_and_a_version_before_the_horizon_gets_the_full_list() {
    let mut state = State::new(1);
    state.apply(change(1, "a", Health::Serving));
    state.apply(change(2, "b", Health::Serving));
    state.apply(change(3, "a", Health::Deleted));
    let delta = changes_after(&state, 1);
    assert!(!delta.is_full_list);
    assert_eq!(delta.hosts.iter().map(|e| e.host.as_str()).collect::<Vec<_>>(), ["b", "a"]);
    assert_eq!(state.catalog.full_list(&ServiceName::default()).hosts.len(), 1);
    state.apply(change(4, "b", Health::Deleted));
    assert_eq!(horizon(&state), 3, "the oldest tombstone was discarded");
    assert!(changes_after(&state, 2).is_full_list, "a delta from before the horizon would lack a deletion");
    assert!(!changes_after(&state, 3).is_full_list);
    assert!(changes_after(&state, 9).is_full_list, "the version belongs to another history");
}
