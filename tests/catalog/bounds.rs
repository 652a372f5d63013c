//! What a service costs, and what is left when it goes.

use super::{change, hosts, name};
use load_balancer::catalog::{Catalog, Health, PageCache, ServiceName};

#[test]
fn a_host_that_moves_is_deleted_there_and_new_here() {
    let mut catalog = Catalog::new(100);
    catalog.start(1000);
    change(&mut catalog, "from", "mover", Health::Serving);
    let stays = change(&mut catalog, "from", "stays", Health::Serving);
    let unmoved = change(&mut catalog, "to", "other", Health::Serving);
    let gone = change(&mut catalog, "from", "mover", Health::Deleted);
    let come = change(&mut catalog, "to", "mover", Health::Serving);
    assert_eq!(hosts(&catalog.full_list(&name("from"))), ["stays"]);
    assert_eq!(hosts(&catalog.full_list(&name("to"))), ["other", "mover"]);
    let (left, joined) =
        (catalog.changes_after(&name("from"), stays), catalog.changes_after(&name("to"), unmoved));
    assert_eq!((left.seq, left.is_full_list, left.hosts[0].health), (gone, false, Health::Deleted));
    assert_eq!((joined.seq, joined.is_full_list, hosts(&joined)), (come, false, vec!["mover".to_string()]));
}

#[test]
fn the_same_host_in_two_services_is_two_entries() {
    let mut catalog = Catalog::new(100);
    for service in ["", "a", "b"] {
        change(&mut catalog, service, "twin", Health::Serving);
    }
    let held = change(&mut catalog, "a", "twin", Health::Deleted);
    assert_eq!(hosts(&catalog.full_list(&name("a"))), [""; 0]);
    for service in ["", "b"] {
        assert_eq!(hosts(&catalog.full_list(&name(service))), ["twin"]);
        assert!(catalog.version(&name(service)) < held, "a change elsewhere is no version here");
    }
    assert_eq!(catalog.entry_count(), 2);
}

#[test]
fn a_service_goes_with_its_last_tombstone_and_old_versions_of_it_get_the_whole_list() {
    let mut catalog = Catalog::new(2);
    catalog.start(1000);
    let first = change(&mut catalog, "brief", "one", Health::Serving);
    let last = change(&mut catalog, "brief", "one", Health::Deleted);
    assert!(catalog.contains(&name("brief")) && !catalog.changes_after(&name("brief"), first).is_full_list);
    for host in ["x", "y"] {
        change(&mut catalog, "other", host, Health::Serving);
        change(&mut catalog, "other", host, Health::Deleted);
    }
    assert!(!catalog.contains(&name("brief")), "its tombstone was the oldest of all services");
    assert_eq!((catalog.service_count(), catalog.dropped_version()), (1, last));
    // Who has heard of the deletion has nothing to hear; who has not gets the whole list, and so does anybody who asks
    // with an old version for a name that never was.
    assert!(!catalog.changes_after(&name("brief"), last).is_full_list);
    let whole = catalog.changes_after(&name("brief"), first);
    assert!(whole.is_full_list && whole.hosts.is_empty() && whole.seq == last);
    assert!(catalog.changes_after(&name("never"), first).is_full_list);
    // It comes back: the one who missed the deletion still gets all of it, the other one the change alone.
    let back = change(&mut catalog, "brief", "two", Health::Serving);
    assert!(catalog.changes_after(&name("brief"), first).is_full_list);
    let delta = catalog.changes_after(&name("brief"), last);
    assert_eq!((delta.is_full_list, delta.seq, hosts(&delta)), (false, back, vec!["two".to_string()]));
}

#[test]
fn tombstones_are_bounded_over_all_services_and_only_the_horizon_of_their_own_moves() {
    let mut catalog = Catalog::new(5);
    let quiet = change(&mut catalog, "quiet", "q", Health::Serving);
    let deleted = change(&mut catalog, "quiet", "gone", Health::Serving);
    for service in 0..50 {
        let service = format!("s{service}");
        change(&mut catalog, &service, "kept", Health::Serving);
        change(&mut catalog, &service, "gone", Health::Serving);
        change(&mut catalog, &service, "gone", Health::Deleted);
    }
    let tombstones: usize = catalog.snapshot().services.iter().flat_map(|service| &service.changes).count()
        - catalog.entry_count();
    assert_eq!(tombstones, 5);
    assert!(
        !catalog.changes_after(&name("quiet"), quiet).is_full_list,
        "nothing of this service was forgotten"
    );
    assert_eq!(hosts(&catalog.changes_after(&name("quiet"), quiet)), ["gone"]);
    assert!(catalog.version(&name("quiet")) == deleted);
    assert!(catalog.horizon(&name("s0")) > 0 && catalog.horizon(&name("s49")) == 0);
}

#[test]
fn names_that_nobody_registers_leave_nothing() {
    let mut catalog = Catalog::new(10);
    catalog.start(1000);
    change(&mut catalog, "known", "h", Health::Serving);
    let mut cache = PageCache::new(1 << 20);
    let known = cache.get(&catalog, &name("known"), None).expect("JSON");
    let held = cache.cached_bytes();
    for k in 0..100_000 {
        let service = name(&format!("nobody-{k}"));
        let page = cache.get(&catalog, &service, Some(k)).expect("JSON");
        // The start's own version is known, those before it were never given out, those after it are another history's.
        let whole = k != 0 && k != 1000;
        assert_eq!(&page[..], format!(r#"{{"seq":1000,"whole":{whole},"hosts":[]}}"#).as_bytes());
    }
    assert_eq!((catalog.service_count(), cache.service_count(), cache.cached_bytes()), (1, 1, held));
    assert_eq!(
        cache.get(&catalog, &name("known"), None).expect("JSON").as_ptr(),
        known.as_ptr(),
        "made once"
    );
}

#[test]
fn lists_that_are_kept_made_stay_within_one_bound_over_all_services() {
    const BOUND: usize = 64 << 10;
    let mut catalog = Catalog::new(10);
    let mut cache = PageCache::new(BOUND);
    let services: Vec<ServiceName> = (0..200).map(|k| name(&format!("s{k}"))).collect();
    for service in 0..200 {
        for host in 0..10 {
            change(&mut catalog, &format!("s{service}"), &format!("h{host}"), Health::Serving);
        }
    }
    for service in services.iter().chain(&services) {
        // Each version that a watch can ask after is another list.
        for after in [None, Some(catalog.version(service) - 1), Some(catalog.version(service))] {
            let page = cache.get(&catalog, service, after).expect("JSON");
            let fresh =
                after.map_or_else(|| catalog.full_list(service), |seq| catalog.changes_after(service, seq));
            assert_eq!(&page[..], serde_json::to_vec(&fresh).expect("JSON"));
            assert!(cache.cached_bytes() <= BOUND, "{} held", cache.cached_bytes());
        }
    }
    assert!(cache.service_count() > 1 && cache.service_count() < 200);
    // A change makes the kept lists of its service void, and those of no other.
    cache.get(&catalog, &name("s0"), None).expect("JSON");
    let other = cache.get(&catalog, &name("s1"), None).expect("JSON");
    change(&mut catalog, "s0", "h0", Health::Draining);
    let page = cache.get(&catalog, &name("s0"), None).expect("JSON");
    assert_eq!(&page[..], serde_json::to_vec(&catalog.full_list(&name("s0"))).expect("JSON"));
    assert_eq!(cache.get(&catalog, &name("s1"), None).expect("JSON").as_ptr(), other.as_ptr());
}

#[test]
fn names_are_dns_labels_and_dots() {
    let longest = "a".repeat(63);
    for good in ["a", "0", "checkout.eu-west", "-", ".", "-.-", &longest] {
        let name: ServiceName = good.parse().expect(good);
        assert_eq!(name.to_string(), good);
    }
    let long = ["a".repeat(64), "ü".repeat(1000)];
    let short = ["", "A", "a b", "a&b", "a=b", "a/b", "a%41", "ü", "a_b", "a\n"];
    for bad in short.into_iter().chain(long.iter().map(String::as_str)) {
        let why = ServiceName::new(bad).expect_err(bad).to_string();
        assert!(why.starts_with("service: ") && why.len() < 400, "{why}");
    }
}
