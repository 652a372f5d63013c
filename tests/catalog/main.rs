//! The catalog of the list service: every answer beside that of a plain model, and its bounds.

mod bounds;
mod model;

use load_balancer::catalog::{Catalog, Change, Entry, Health, Page, ServiceName, Update};

fn name(text: &str) -> ServiceName {
    if text.is_empty() { ServiceName::default() } else { ServiceName::new(text).expect("a name") }
}

fn entry(host: &str, health: Health, share: f64) -> Entry {
    let dial = Some("127.0.0.1:9".parse().expect("address"));
    let (site, class) = ("a".into(), String::new());
    Entry { host: host.into(), dial, site, class, block: 0, health, share, born_ms: 0.0 }
}

/// One more change; its version.
fn change(catalog: &mut Catalog, service: &str, host: &str, health: Health) -> u64 {
    let seq = catalog.newest() + 1;
    let entry = entry(host, health, seq as f64);
    catalog.apply(&name(service), Update::Change(Change { seq, entry, ttl_ms: 1000 }));
    seq
}

fn hosts(page: &Page) -> Vec<String> {
    page.hosts.iter().map(|entry| entry.host.clone()).collect()
}
