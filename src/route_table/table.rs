//! The route table and a proposal of one: plain data, in the JSON form that operators, registries and proxies
//! exchange.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Number of a table. It rises with every table that is issued, also where a rollback reissues earlier
/// weights. Revision 0 is the state before the first proposal: every weight 1.
pub type Revision = u64;

/// Maximum number of weights in one table: one for each of 10,000 backends, their classes and zones. By
/// computation such a table takes at most 5 MB in memory (16,384 names of 253 bytes, each with 45 bytes of
/// tree), or 1.1 MB where names have 20 bytes.
pub const MAX_WEIGHTS: usize = 16_384;

/// Weights by backend, machine class and zone; a missing weight counts as 1. The weight of a backend is the
/// product of the three.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weights by the backend's name (`host` of the list).
    pub backends: BTreeMap<String, f64>,
    /// Weights by machine class (`class` of the list).
    pub classes: BTreeMap<String, f64>,
    /// Weights by zone (`site` of the list).
    pub zones: BTreeMap<String, f64>,
}

impl Weights {
    /// The weight of a backend: the product of its own weight and those of its class and zone.
    pub fn of(&self, host: &str, class: &str, zone: &str) -> f64 {
        let of = |map: &BTreeMap<String, f64>, key: &str| map.get(key).copied().unwrap_or(1.0);
        of(&self.backends, host) * of(&self.classes, class) * of(&self.zones, zone)
    }

    /// Iterates over all weights as kind, name and weight, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &str, f64)> {
        let backends = self.backends.iter().map(|(n, w)| ("backend", n.as_str(), *w));
        let classes = self.classes.iter().map(|(n, w)| ("class", n.as_str(), *w));
        let zones = self.zones.iter().map(|(n, w)| ("zone", n.as_str(), *w));
        backends.chain(classes).chain(zones)
    }

    /// Digest of the weights: the first 16 hexadecimal digits of a SHA-256 over the kind, name and value of
    /// each. Equal weights have equal digests, whatever their JSON looked like.
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

/// A table of weights with its revision and its origin.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Revision of this table.
    pub revision: Revision,
    /// Revision that this table was made from.
    pub from: Revision,
    /// Weights of this table.
    pub weights: Weights,
    /// [`Weights::digest`] of the weights.
    pub digest: String,
    /// Name of the proposer.
    pub by: String,
    /// Time at which the proposal was accepted, Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
}

/// An operator's proposal of a new table.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Revision that the proposal was made from. The proposal is refused if a newer revision exists
    /// (compare-and-set).
    pub from: Revision,
    /// Proposed weights.
    pub weights: Weights,
    /// Name of the proposer.
    pub by: String,
    /// Reason to roll out the proposal without a verdict, kept in the record; `None` waits for the verdict.
    #[serde(default, rename = "override", skip_serializing_if = "Option::is_none")]
    pub override_reason: Option<String>,
}
