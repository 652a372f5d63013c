//! Entries in several services, bounds on the catalog's memory, and the removal of services.

use super::{apply_change, hosts, service_name};
use load_balancer::catalog::{Catalog, Health, ListCache, ServiceName};

#[test]
fn moving_a_host_deletes_it_from_one_service_and_adds_it_to_the_other() {
    let mut catalog = Catalog::new(100);
    catalog.start(1000);
    apply_change(&mut catalog, "from", "mover", Health::Serving);
    let from_version = apply_change(&mut catalog, "from", "stays", Health::Serving);
    let to_version = apply_change(&mut catalog, "to", "other", Health::Serving);
    let deleted = apply_change(&mut catalog, "from", "mover", Health::Deleted);
    let added = apply_change(&mut catalog, "to", "mover", Health::Serving);
    assert_eq!(hosts(&catalog.full_list(&service_name("from"))), ["stays"]);
    assert_eq!(hosts(&catalog.full_list(&service_name("to"))), ["other", "mover"]);
    let from_delta = catalog.changes_after(&service_name("from"), from_version);
    let to_delta = catalog.changes_after(&service_name("to"), to_version);
    assert_eq!(
        (from_delta.seq, from_delta.is_full_list, from_delta.hosts[0].health),
        (deleted, false, Health::Deleted)
    );
    assert_eq!(
        (to_delta.seq, to_delta.is_full_list, hosts(&to_delta)),
        (added, false, vec!["mover".to_string()])
    );
}

#[test]
fn one_host_in_two_services_is_two_entries() {
    let mut catalog = Catalog::new(100);
    for service in ["", "a", "b"] {
        apply_change(&mut catalog, service, "twin", Health::Serving);
    }
    let deleted = apply_change(&mut catalog, "a", "twin", Health::Deleted);
    assert_eq!(hosts(&catalog.full_list(&service_name("a"))), [""; 0]);
    for service in ["", "b"] {
        assert_eq!(hosts(&catalog.full_list(&service_name(service))), ["twin"]);
        assert!(
            catalog.version(&service_name(service)) < deleted,
            "a change of another service must not raise this service's version"
        );
    }
    assert_eq!(catalog.entry_count(), 2);
}

#[test]
fn a_service_is_dropped_with_its_last_tombstone_and_watches_from_before_get_the_full_list() {
    let mut catalog = Catalog::new(2);
    catalog.start(1000);
    let first = apply_change(&mut catalog, "brief", "one", Health::Serving);
    let last = apply_change(&mut catalog, "brief", "one", Health::Deleted);
    let brief = service_name("brief");
    assert!(catalog.contains(&brief) && !catalog.changes_after(&brief, first).is_full_list);
    for host in ["x", "y"] {
        apply_change(&mut catalog, "other", host, Health::Serving);
        apply_change(&mut catalog, "other", host, Health::Deleted);
    }
    assert!(!catalog.contains(&brief), "its tombstone was the oldest of all services");
    assert_eq!((catalog.service_count(), catalog.dropped_version()), (1, last));
    // A client with the version of the deletion gets an empty delta. A client with an older version gets the full list,
    // also for a service name that never existed.
    assert!(!catalog.changes_after(&brief, last).is_full_list);
    let full_list = catalog.changes_after(&brief, first);
    assert!(full_list.is_full_list && full_list.hosts.is_empty() && full_list.seq == last);
    assert!(catalog.changes_after(&service_name("never"), first).is_full_list);
    // When the service exists again, a client that missed the deletion still gets the full list, and a client with the
    // version of the deletion gets only the change.
    let added = apply_change(&mut catalog, "brief", "two", Health::Serving);
    assert!(catalog.changes_after(&brief, first).is_full_list);
    let delta = catalog.changes_after(&brief, last);
    assert_eq!((delta.is_full_list, delta.seq, hosts(&delta)), (false, added, vec!["two".to_string()]));
}

#[test]
fn tombstones_are_bounded_over_all_services_and_raise_only_the_horizon_of_their_service() {
    let mut catalog = Catalog::new(5);
    let quiet = service_name("quiet");
    let first = apply_change(&mut catalog, "quiet", "q", Health::Serving);
    let second = apply_change(&mut catalog, "quiet", "gone", Health::Serving);
    for service in 0..50 {
        let service = format!("s{service}");
        apply_change(&mut catalog, &service, "kept", Health::Serving);
        apply_change(&mut catalog, &service, "gone", Health::Serving);
        apply_change(&mut catalog, &service, "gone", Health::Deleted);
    }
    let tombstones: usize = catalog.snapshot().services.iter().flat_map(|service| &service.changes).count()
        - catalog.entry_count();
    assert_eq!(tombstones, 5);
    assert!(!catalog.changes_after(&quiet, first).is_full_list, "no tombstone of this service was discarded");
    assert_eq!(hosts(&catalog.changes_after(&quiet, first)), ["gone"]);
    assert!(catalog.version(&quiet) == second);
    assert!(catalog.horizon(&service_name("s0")) > 0 && catalog.horizon(&service_name("s49")) == 0);
}

#[test]
fn reading_unknown_service_names_takes_no_memory() {
    let mut catalog = Catalog::new(10);
    catalog.start(1000);
    apply_change(&mut catalog, "known", "h", Health::Serving);
    let mut cache = ListCache::new(1 << 20);
    let known = cache.get(&catalog, &service_name("known"), None).expect("the list is encoded");
    let cached_bytes = cache.cached_bytes();
    for k in 0..100_000 {
        let service = service_name(&format!("nobody-{k}"));
        let list = cache.get(&catalog, &service, Some(k)).expect("the list is encoded");
        // Version 0 and the start's own version are known. Those in between were never assigned, and those above the
        // start belong to another history.
        let whole = k != 0 && k != 1000;
        assert_eq!(&list[..], format!(r#"{{"seq":1000,"whole":{whole},"hosts":[]}}"#).as_bytes());
    }
    assert_eq!((catalog.service_count(), cache.service_count(), cache.cached_bytes()), (1, 1, cached_bytes));
    assert_eq!(
        cache.get(&catalog, &service_name("known"), None).expect("the list is encoded").as_ptr(),
        known.as_ptr(),
        "the list of the known service was encoded only once"
    );
}

#[test]
fn cached_lists_stay_within_one_bound_over_all_services() {
    const MAX_BYTES: usize = 64 << 10;
    let mut catalog = Catalog::new(10);
    let mut cache = ListCache::new(MAX_BYTES);
    let services: Vec<ServiceName> = (0..200).map(|k| service_name(&format!("s{k}"))).collect();
    for service in 0..200 {
        for host in 0..10 {
            apply_change(&mut catalog, &format!("s{service}"), &format!("h{host}"), Health::Serving);
        }
    }
    for service in services.iter().chain(&services) {
        // Each version after which a watch can ask for changes has its own cached list.
        for after in [None, Some(catalog.version(service) - 1), Some(catalog.version(service))] {
            let cached = cache.get(&catalog, service, after).expect("the list is encoded");
            let expected =
                after.map_or_else(|| catalog.full_list(service), |seq| catalog.changes_after(service, seq));
            assert_eq!(&cached[..], serde_json::to_vec(&expected).expect("the list is encoded"));
            assert!(cache.cached_bytes() <= MAX_BYTES, "{} bytes are cached", cache.cached_bytes());
        }
    }
    assert!(cache.service_count() > 1 && cache.service_count() < 200);
    // A change invalidates the cached lists of its service, and no others.
    cache.get(&catalog, &service_name("s0"), None).expect("the list is encoded");
    let other = cache.get(&catalog, &service_name("s1"), None).expect("the list is encoded");
    apply_change(&mut catalog, "s0", "h0", Health::Draining);
    let list = cache.get(&catalog, &service_name("s0"), None).expect("the list is encoded");
    let expected = catalog.full_list(&service_name("s0"));
    assert_eq!(&list[..], serde_json::to_vec(&expected).expect("the list is encoded"));
    assert_eq!(
        cache.get(&catalog, &service_name("s1"), None).expect("the list is encoded").as_ptr(),
        other.as_ptr()
    );
}

#[test]
fn service_names_have_only_the_characters_of_dns_labels_and_dots() {
    let longest = "a".repeat(63);
    for valid in ["a", "0", "checkout.eu-west", "-", ".", "-.-", &longest] {
        let name: ServiceName = valid.parse().expect(valid);
        assert_eq!(name.to_string(), valid);
    }
    let too_long = ["a".repeat(64), "ü".repeat(1000)];
    let invalid = ["", "A", "a b", "a&b", "a=b", "a/b", "a%41", "ü", "a_b", "a\n"];
    for text in invalid.into_iter().chain(too_long.iter().map(String::as_str)) {
        let error = ServiceName::new(text).expect_err(text).to_string();
        assert!(error.starts_with("service: ") && error.len() < 400, "{error}");
    }
}
