//! A list of backends, kept as no more than is needed to compare it with another.

use load_balancer::client::list::{EndpointEntry, Health};
use load_balancer::interface::ListKind;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The entries by the hashes of their names, and the sum of what each entry says.
#[derive(Default)]
pub struct Entries {
    by_name: HashMap<u64, u64>,
    sum: u64,
}

impl Entries {
    /// Takes a list, or changes to it.
    pub fn take(&mut self, kind: ListKind, hosts: &[EndpointEntry]) {
        if kind == ListKind::Full {
            *self = Entries { by_name: HashMap::with_capacity(hosts.len()), sum: 0 };
        }
        for host in hosts {
            let (name, says) = (hash(&host.name), said(host));
            let before = if host.health == Health::Deleted {
                self.by_name.remove(&name)
            } else {
                self.sum = self.sum.wrapping_add(says);
                self.by_name.insert(name, says)
            };
            self.sum = self.sum.wrapping_sub(before.unwrap_or_default());
        }
    }

    /// The same for the same entries, in whatever order they came.
    pub fn sum(&self) -> u64 {
        self.sum
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }
}

fn hash(what: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

fn said(host: &EndpointEntry) -> u64 {
    let health = host.health as u8;
    let numbers = (host.cell, host.weight.to_bits(), host.started_ms.to_bits());
    hash((&host.name, host.address, &host.zone, &host.class, health, numbers))
}
