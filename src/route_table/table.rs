//! The route table and a proposal of one: plain data, in the JSON form that operators, registries and proxies
//! exchange.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Number of a table. It rises with every table that is issued, also where a rollback issues earlier weights
/// again. Revision 0 is the state before the first proposal: every weight 1.
pub type Revision = u64;

/// Most weights of one table: one for each of 10,000 backends, their classes and zones. Such a table takes at
/// the most 5 MB in memory (16,384 names of 253 bytes with 45 bytes of tree each), 1.1 MB where names have 20
/// bytes; computed.
pub const MAX_WEIGHTS: usize = 16_384;

/// Weights by backend, machine class and zone; 1 where none is given. A backend gets the product of its
/// three.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// By the backend's name (`host` of the list).
    pub backends: BTreeMap<String, f64>,
    /// By the class of machine (`class` of the list).
    pub classes: BTreeMap<String, f64>,
    /// By zone (`site` of the list).
    pub zones: BTreeMap<String, f64>,
}

impl Weights {
    /// The weight of a backend.
    pub fn of(&self, host: &str, class: &str, zone: &str) -> f64 {
        let of = |map: &BTreeMap<String, f64>, key: &str| map.get(key).copied().unwrap_or(1.0);
        of(&self.backends, host) * of(&self.classes, class) * of(&self.zones, zone)
    }

    /// All weights as kind, name and weight, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &str, f64)> {
        let backends = self.backends.iter().map(|(n, w)| ("backend", n.as_str(), *w));
        let classes = self.classes.iter().map(|(n, w)| ("class", n.as_str(), *w));
        let zones = self.zones.iter().map(|(n, w)| ("zone", n.as_str(), *w));
        backends.chain(classes).chain(zones)
    }

    /// The first 16 hexadecimal digits of a SHA-256 over kind, name and weight of each: equal wherever the
    /// weights are equal, whatever their JSON looked like.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for (kind, name, weight) in self.iter() {
            hash.update(kind);
            hash.update((name.len() as u64).to_le_bytes());
            hash.update(name);
            hash.update(weight.to_bits().to_le_bytes());
        }
        hash.finalize().iter().take(8).map(|byte| format!("{byte:02x}")).collect()
    }
}

/// A table with its origin.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Its number.
    pub revision: Revision,
    /// The revision that it was made from.
    pub from: Revision,
    /// The weights.
    pub weights: Weights,
    /// [`Weights::digest`] of the weights.
    pub digest: String,
    /// Who proposed it.
    pub by: String,
    /// When it was accepted, Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
}

/// A proposal of an operator.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The revision that it was made from; it is refused if that is no longer the newest (compare-and-set).
    pub from: Revision,
    /// The weights.
    pub weights: Weights,
    /// Who proposes it.
    pub by: String,
    /// The reason to roll it out without a verdict; recorded.
    #[serde(default, rename = "override", skip_serializing_if = "Option::is_none")]
    pub override_why: Option<String>,
}
