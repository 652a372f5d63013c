//! What every proxy should hold: the driver's own account of what is registered.

use super::entries::Entries;
use super::order::Truth;
use super::plan::{Plan, entry};
use load_balancer::client::list::EndpointEntry;
use load_balancer::interface::ListKind;
use serde_json::Value;
use std::collections::BTreeMap;

/// The entries that should be listed, by service and name.
pub struct Account {
    services: BTreeMap<Option<String>, BTreeMap<String, Value>>,
}

impl Account {
    /// All backends of a plan, as they are first registered.
    pub fn new(plan: &Plan) -> Account {
        let mut account = Account { services: BTreeMap::new() };
        for (number, service) in plan.services.iter().enumerate() {
            account.put(service, entry(number));
        }
        account
    }

    /// An entry is registered, or another in its place.
    pub fn put(&mut self, service: &Option<String>, entry: Value) {
        let name = entry["host"].as_str().unwrap_or_default().to_string();
        self.services.entry(service.clone()).or_default().insert(name, entry);
    }

    /// An entry is taken off.
    pub fn remove(&mut self, service: &Option<String>, name: &str) {
        if let Some(entries) = self.services.get_mut(service) {
            entries.remove(name);
        }
    }

    /// A service's entries.
    pub fn entries(&self, service: &Option<String>) -> Vec<Value> {
        self.services.get(service).map_or_else(Vec::new, |entries| entries.values().cloned().collect())
    }

    /// What these services' proxies should hold.
    pub fn truths(&self, services: &[Option<String>]) -> Vec<Truth> {
        let truth = |service: &Option<String>| Truth { service: service.clone(), sum: self.sum(service) };
        services.iter().map(truth).collect()
    }

    fn sum(&self, service: &Option<String>) -> u64 {
        let read = |entry: Value| serde_json::from_value::<EndpointEntry>(entry).ok();
        let hosts: Vec<EndpointEntry> = self.entries(service).into_iter().filter_map(read).collect();
        let mut entries = Entries::default();
        entries.take(ListKind::Full, &hosts);
        entries.sum()
    }
}
