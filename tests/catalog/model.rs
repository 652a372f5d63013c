//! Random changes, compactions and restarts beside a model: a map of (service, host) and the list of all changes.

use super::{change, name};
use load_balancer::catalog::{Catalog, Health, Page, ServiceName};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SERVICES: [&str; 4] = ["", "a", "b", "c"];
const HOSTS: [&str; 4] = ["h0", "h1", "h2", "h3"];
/// Fewer than there can be deletions at once, so that services and horizons go.
const MAX_TOMBSTONES: usize = 3;

/// What may happen to a catalog.
#[derive(Clone, Debug)]
enum Step {
    Change {
        service: usize,
        host: usize,
        health: Health,
    },
    /// Saved, read back and started again, as by a compaction and a restart; versions between may be lost.
    Restart {
        lost: u64,
    },
    /// A watch takes its list, and holds its version.
    Ask {
        service: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let health = prop_oneof![Just(Health::Serving), Just(Health::Draining), Just(Health::Deleted)];
    let change = (0..SERVICES.len(), 0..HOSTS.len(), health)
        .prop_map(|(service, host, health)| Step::Change { service, host, health });
    prop_oneof![
        6 => change,
        1 => (0..5u64).prop_map(|lost| Step::Restart { lost }),
        2 => (0..SERVICES.len()).prop_map(|service| Step::Ask { service }),
    ]
}

/// A client's list: what it got, with changes taken in as a proxy does.
#[derive(Clone, Default)]
struct Client {
    version: u64,
    hosts: BTreeMap<String, (Health, u64)>,
}

impl Client {
    fn take(&mut self, page: &Page) {
        if page.is_full_list {
            self.hosts.clear();
        }
        for entry in &page.hosts {
            if entry.health == Health::Deleted {
                self.hosts.remove(&entry.host);
            } else {
                self.hosts.insert(entry.host.clone(), (entry.health, entry.share as u64));
            }
        }
        self.version = page.seq;
    }
}

/// What is true: each entry's health and version, and the newest version of each service.
#[derive(Default)]
struct Model {
    entries: BTreeMap<(usize, String), (Health, u64)>,
    newest: BTreeMap<usize, u64>,
}

impl Model {
    fn listed(&self, service: usize) -> BTreeMap<String, (Health, u64)> {
        let of_service = self.entries.iter().filter(|((of, _), _)| *of == service);
        of_service.map(|((_, host), state)| (host.clone(), *state)).collect()
    }

    fn apply(&mut self, service: usize, host: &str, health: Health, seq: u64) {
        let key = (service, host.to_string());
        if health == Health::Deleted {
            self.entries.remove(&key);
        } else {
            self.entries.insert(key, (health, seq));
        }
        self.newest.insert(service, seq);
    }
}

/// Deletes and restarts as the registry does: a deletion of nothing is no change, a start goes above all versions.
fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let (mut catalog, mut model) = (Catalog::new(MAX_TOMBSTONES), Model::default());
    let mut clients: Vec<Vec<Client>> = vec![vec![Client::default()]; SERVICES.len()];
    let mut given: BTreeSet<u64> = BTreeSet::new();
    let mut start = 100;
    catalog.start(start);
    for step in steps {
        match *step {
            Step::Change { service, host, health } => {
                let held = model.entries.contains_key(&(service, HOSTS[host].to_string()));
                if health == Health::Deleted && !held {
                    continue;
                }
                let seq = change(&mut catalog, SERVICES[service], HOSTS[host], health);
                prop_assert!(given.insert(seq), "version {} was given twice", seq);
                model.apply(service, HOSTS[host], health, seq);
            }
            Step::Restart { lost } => {
                let saved = catalog.snapshot();
                catalog = Catalog::restore(saved.clone(), MAX_TOMBSTONES);
                prop_assert_eq!(&catalog.snapshot(), &saved, "a snapshot is read back as it was");
                start = catalog.newest() + 1 + lost;
                catalog.start(start);
            }
            Step::Ask { service } => {
                let mut client = Client::default();
                client.take(&catalog.full_list(&name(SERVICES[service])));
                clients[service].push(client);
            }
        }
        check(&catalog, &model, &mut clients, start)?;
    }
    Ok(())
}

fn check(
    catalog: &Catalog,
    model: &Model,
    clients: &mut [Vec<Client>],
    start: u64,
) -> Result<(), TestCaseError> {
    prop_assert_eq!(catalog.entry_count(), model.entries.len());
    let stored: usize = catalog.snapshot().services.iter().map(|service| service.changes.len()).sum();
    prop_assert!(stored - catalog.entry_count() <= MAX_TOMBSTONES);
    for (service, clients) in clients.iter_mut().enumerate() {
        let (text, truth) = (name(SERVICES[service]), model.listed(service));
        let newest = model.newest.get(&service).copied().unwrap_or(0);
        if catalog.contains(&text) {
            prop_assert_eq!(catalog.version(&text), newest.max(start), "its own newest change or the start");
        } else {
            prop_assert!(truth.is_empty() && catalog.version(&text) >= newest.max(start));
        }
        check_clients(catalog, &text, &truth, clients)?;
    }
    Ok(())
}

/// Whatever version a client holds, its next answer brings it to the truth. Every second one stays behind, to ask later.
fn check_clients(
    catalog: &Catalog,
    service: &ServiceName,
    truth: &BTreeMap<String, (Health, u64)>,
    clients: &mut [Client],
) -> Result<(), TestCaseError> {
    for (index, client) in clients.iter_mut().enumerate() {
        let page = catalog.changes_after(service, client.version);
        let mut next = client.clone();
        next.take(&page);
        prop_assert_eq!(&next.hosts, truth, "after version {}", client.version);
        prop_assert!(next.version >= client.version, "a version goes back");
        prop_assert!(page.is_full_list || catalog.knows_changes_after(service, client.version));
        if index % 2 == 0 {
            *client = next;
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn every_answer_brings_a_client_to_the_truth(steps in prop::collection::vec(step(), 1..80)) {
        play(&steps)?;
    }
}
