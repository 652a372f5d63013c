//! Random changes, compactions and restarts, compared to a model: a map of (service, host) and the newest version of
//! each service.

use super::{apply_change, service_name};
use load_balancer::catalog::{Catalog, Health, ListResponse, ServiceName};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SERVICES: [&str; 4] = ["", "a", "b", "c"];
const HOSTS: [&str; 4] = ["h0", "h1", "h2", "h3"];
/// Maximum number of tombstones: fewer than there can be deletions, so that horizons rise and services are dropped.
const MAX_TOMBSTONES: usize = 3;

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    /// Changes an entry.
    Change { service: usize, host: usize, health: Health },
    /// Takes a snapshot, restores it and starts again, as after a compaction and a restart. The start skips `lost`
    /// versions, as if they had been lost.
    Restart { lost: u64 },
    /// Adds a client that reads the full list and keeps its version.
    ReadList { service: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let health = prop_oneof![Just(Health::Serving), Just(Health::Draining), Just(Health::Deleted)];
    let change = (0..SERVICES.len(), 0..HOSTS.len(), health)
        .prop_map(|(service, host, health)| Step::Change { service, host, health });
    prop_oneof![
        6 => change,
        1 => (0..5u64).prop_map(|lost| Step::Restart { lost }),
        2 => (0..SERVICES.len()).prop_map(|service| Step::ReadList { service }),
    ]
}

/// A client's copy of a list, to which it applies lists and deltas as a proxy does.
#[derive(Clone, Default)]
struct Client {
    version: u64,
    hosts: BTreeMap<String, (Health, u64)>,
}

impl Client {
    fn apply(&mut self, list: &ListResponse) {
        if list.is_full_list {
            self.hosts.clear();
        }
        for entry in &list.hosts {
            if entry.health == Health::Deleted {
                self.hosts.remove(&entry.host);
            } else {
                self.hosts.insert(entry.host.clone(), (entry.health, entry.share as u64));
            }
        }
        self.version = list.seq;
    }
}

/// The expected state: the health and version of each listed entry, and the newest version of each service.
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

/// Runs the steps and compares catalog and model after each. Deletions and restarts follow the registry: the deletion
/// of an entry that is not listed is no change, and a start continues above all versions.
fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let (mut catalog, mut model) = (Catalog::new(MAX_TOMBSTONES), Model::default());
    let mut clients: Vec<Vec<Client>> = vec![vec![Client::default()]; SERVICES.len()];
    let mut assigned: BTreeSet<u64> = BTreeSet::new();
    let mut start = 100;
    catalog.start(start);
    for step in steps {
        match *step {
            Step::Change { service, host, health } => {
                let is_listed = model.entries.contains_key(&(service, HOSTS[host].to_string()));
                if health == Health::Deleted && !is_listed {
                    continue;
                }
                let seq = apply_change(&mut catalog, SERVICES[service], HOSTS[host], health);
                prop_assert!(assigned.insert(seq), "version {} was assigned twice", seq);
                model.apply(service, HOSTS[host], health, seq);
            }
            Step::Restart { lost } => {
                let snapshot = catalog.snapshot();
                catalog = Catalog::restore(snapshot.clone(), MAX_TOMBSTONES);
                prop_assert_eq!(&catalog.snapshot(), &snapshot, "the restored catalog has another snapshot");
                start = catalog.newest() + 1 + lost;
                catalog.start(start);
            }
            Step::ReadList { service } => {
                let mut client = Client::default();
                client.apply(&catalog.full_list(&service_name(SERVICES[service])));
                clients[service].push(client);
            }
        }
        check_catalog(&catalog, &model, &mut clients, start)?;
    }
    Ok(())
}

fn check_catalog(
    catalog: &Catalog,
    model: &Model,
    clients: &mut [Vec<Client>],
    start: u64,
) -> Result<(), TestCaseError> {
    prop_assert_eq!(catalog.entry_count(), model.entries.len());
    let stored: usize = catalog.snapshot().services.iter().map(|service| service.changes.len()).sum();
    prop_assert!(stored - catalog.entry_count() <= MAX_TOMBSTONES);
    for (service, clients) in clients.iter_mut().enumerate() {
        let (name, expected) = (service_name(SERVICES[service]), model.listed(service));
        let newest = model.newest.get(&service).copied().unwrap_or(0);
        if catalog.contains(&name) {
            prop_assert_eq!(
                catalog.version(&name),
                newest.max(start),
                "the version is that of the service's newest change or of the start"
            );
        } else {
            prop_assert!(expected.is_empty() && catalog.version(&name) >= newest.max(start));
        }
        check_clients(catalog, &name, &expected, clients)?;
    }
    Ok(())
}

/// Checks that the next answer brings each client to the expected list, whatever its version. Every second client keeps
/// its old version, to ask again later.
fn check_clients(
    catalog: &Catalog,
    service: &ServiceName,
    expected: &BTreeMap<String, (Health, u64)>,
    clients: &mut [Client],
) -> Result<(), TestCaseError> {
    for (index, client) in clients.iter_mut().enumerate() {
        let list = catalog.changes_after(service, client.version);
        let mut next = client.clone();
        next.apply(&list);
        prop_assert_eq!(&next.hosts, expected, "list of a client that had version {}", client.version);
        prop_assert!(next.version >= client.version, "the version went down");
        prop_assert!(list.is_full_list || catalog.has_all_changes_after(service, client.version));
        if index % 2 == 0 {
            *client = next;
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn every_answer_brings_a_client_to_the_current_list(steps in prop::collection::vec(step(), 1..80)) {
        run_steps(&steps)?;
    }
}
