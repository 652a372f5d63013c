//! The catalog of the list service: every answer compared to that of a simple model, and the bounds on its memory.

mod bounds;
mod model;

use load_balancer::catalog::{Catalog, Change, Entry, Health, ListResponse, ServiceName, Update};

fn service_name(text: &str) -> ServiceName {
    if text.is_empty() {
        ServiceName::default()
    } else {
        ServiceName::new(text).expect("the text is a valid service name")
    }
}

fn entry(host: &str, health: Health, share: f64) -> Entry {
    let dial = Some("127.0.0.1:9".parse().expect("a valid socket address"));
    let (site, class) = ("a".into(), String::new());
    Entry { host: host.into(), dial, site, class, block: 0, health, share, born_ms: 0.0 }
}

/// Applies a change with the next version, and returns that version.
fn apply_change(catalog: &mut Catalog, service: &str, host: &str, health: Health) -> u64 {
    let seq = catalog.newest() + 1;
    let entry = entry(host, health, seq as f64);
    catalog.apply(&service_name(service), Update::Change(Change { seq, entry, ttl_ms: 1000 }));
    seq
}

fn hosts(list: &ListResponse) -> Vec<String> {
    list.hosts.iter().map(|entry| entry.host.clone()).collect()
}
