//! The table itself and the proposal of one.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// A table's number: rises with every table that is to go out, also with one that takes an earlier one back.
/// 0 is the table that nobody proposed: every weight 1.
pub type Revision = u64;

/// Most weights of one table: one for each of 10,000 backends, their classes and zones. Such a table takes at the most
/// 5 MB in memory (16,384 names of 253 bytes with 45 bytes of tree each), 1.1 MB where names have 20 bytes; computed.
pub const MAX_WEIGHTS: usize = 16_384;

/// Weights beside each other, 1 where nothing is said: a backend gets the product of its own, its machine class's and
/// its zone's.
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

    /// All of them: kind, name and weight, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &str, f64)> {
        let backends = self.backends.iter().map(|(n, w)| ("backend", n.as_str(), *w));
        let classes = self.classes.iter().map(|(n, w)| ("class", n.as_str(), *w));
        let zones = self.zones.iter().map(|(n, w)| ("zone", n.as_str(), *w));
        backends.chain(classes).chain(zones)
    }

    /// SHA-256 over kind, name and weight of each, the first 16 hexadecimal digits: the same at whoever holds the same
    /// weights, however they were written.
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

/// A table as it goes out.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Its number.
    pub revision: Revision,
    /// The table it was made from.
    pub from: Revision,
    /// The weights.
    pub weights: Weights,
    /// [`Weights::digest`] of them.
    pub digest: String,
    /// Who proposed it.
    pub by: String,
    /// When it was taken, Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
}

/// What an operator proposes.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The revision it was made from: it is refused if another has been taken since (compare-and-set).
    pub from: Revision,
    /// The weights.
    pub weights: Weights,
    /// Who proposes it.
    pub by: String,
    /// Why it is to go out whatever the replay says; recorded.
    #[serde(default, rename = "override", skip_serializing_if = "Option::is_none")]
    pub override_why: Option<String>,
}
