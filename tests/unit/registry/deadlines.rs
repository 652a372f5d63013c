//! Unit tests of `src/bin/registry/writer/deadlines.rs`, which names this file.

use super::*;
use load_balancer::catalog::{Entry, ServiceName};

fn registration(service: &str, ttl_ms: u64, health: Health) -> Registration {
    let (dial, site, class) = (None, String::new(), String::new());
    let entry = Entry { host: "h".into(), dial, site, class, block: 0, health, share: 1.0, born_ms: 0.0 };
    Registration {
        service: ServiceName::new(service).expect("a name"),
        entry,
        ttl: Duration::from_millis(ttl_ms),
    }
}

fn expired(deadlines: &mut Deadlines, now: Instant) -> Vec<String> {
    let mut services: Vec<_> = deadlines.take_expired(now).iter().map(|id| id.service.to_string()).collect();
    services.sort();
    services
}

#[test]
fn each_entry_lapses_at_its_own_deadline_whatever_came_between() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut deadlines = Deadlines { by_id: HashMap::new(), earliest: None };
    assert!(expired(&mut deadlines, at(0)).is_empty());
    for (service, ttl_ms) in [("a", 100), ("b", 200), ("c", 300), ("d", 150)] {
        deadlines.take(&registration(service, ttl_ms, Health::Serving), start);
    }
    // The earliest is renewed, then made shorter than all; one is deleted.
    deadlines.take(&registration("a", 500, Health::Serving), start);
    deadlines.take(&registration("d", 1, Health::Deleted), start);
    assert!(expired(&mut deadlines, at(199)).is_empty());
    deadlines.take(&registration("a", 50, Health::Draining), at(199));
    assert_eq!(expired(&mut deadlines, at(200)), ["b"]);
    assert!(expired(&mut deadlines, at(248)).is_empty());
    // The registry stood still for 100 ms.
    deadlines.extend(Duration::from_millis(100));
    assert!(expired(&mut deadlines, at(348)).is_empty());
    assert_eq!(expired(&mut deadlines, at(349)), ["a"]);
    assert_eq!(expired(&mut deadlines, at(1000)), ["c"]);
    // One that could not be written is due again.
    deadlines.retry(vec![registration("c", 1, Health::Serving).id()], at(2000));
    assert!(expired(&mut deadlines, at(1999)).is_empty());
    assert_eq!(expired(&mut deadlines, at(2000)), ["c"]);
    assert!(expired(&mut deadlines, at(9000)).is_empty() && deadlines.earliest.is_none());
}
