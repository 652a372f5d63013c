//! Unit tests of `src/bin/registry/writer/deadlines.rs`, which includes this file as its module `tests`.

use super::*;
use load_balancer::catalog::{Entry, ServiceName};

fn registration(service: &str, ttl_ms: u64, health: Health) -> Registration {
    let (dial, site, class) = (None, String::new(), String::new());
    let entry = Entry { host: "h".into(), dial, site, class, block: 0, health, share: 1.0, born_ms: 0.0 };
    Registration {
        service: ServiceName::new(service).expect("the text is a valid service name"),
        entry,
        ttl: Duration::from_millis(ttl_ms),
    }
}

/// Removes the expired entries, and returns their services in alphabetical order.
fn take_expired_services(deadlines: &mut Deadlines, now: Instant) -> Vec<String> {
    let mut services: Vec<_> = deadlines.take_expired(now).iter().map(|id| id.service.to_string()).collect();
    services.sort();
    services
}

#[test]
fn each_entry_expires_at_its_deadline_after_renewals_deletions_a_stall_and_a_retry() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut deadlines = Deadlines { by_id: HashMap::new(), earliest: None };
    assert!(take_expired_services(&mut deadlines, at(0)).is_empty());
    for (service, ttl_ms) in [("a", 100), ("b", 200), ("c", 300), ("d", 150)] {
        deadlines.update(&registration(service, ttl_ms, Health::Serving), start);
    }
    // The entry with the earliest deadline is renewed with a longer TTL, later with the shortest of all. One entry is
    // deleted.
    deadlines.update(&registration("a", 500, Health::Serving), start);
    deadlines.update(&registration("d", 1, Health::Deleted), start);
    assert!(take_expired_services(&mut deadlines, at(199)).is_empty());
    deadlines.update(&registration("a", 50, Health::Draining), at(199));
    assert_eq!(take_expired_services(&mut deadlines, at(200)), ["b"]);
    assert!(take_expired_services(&mut deadlines, at(248)).is_empty());
    // The registry was stalled for 100 ms.
    deadlines.extend(Duration::from_millis(100));
    assert!(take_expired_services(&mut deadlines, at(348)).is_empty());
    assert_eq!(take_expired_services(&mut deadlines, at(349)), ["a"]);
    assert_eq!(take_expired_services(&mut deadlines, at(1000)), ["c"]);
    // An entry whose deletion could not be written expires again at the given time.
    deadlines.reschedule(vec![registration("c", 1, Health::Serving).id()], at(2000));
    assert!(take_expired_services(&mut deadlines, at(1999)).is_empty());
    assert_eq!(take_expired_services(&mut deadlines, at(2000)), ["c"]);
    assert!(take_expired_services(&mut deadlines, at(9000)).is_empty() && deadlines.earliest.is_none());
}
