//! The table as it comes from a registry, and what is wrong with one that is not taken.

use crate::route_table::{MAX_WEIGHTS, Revision, Weights};
use serde::Deserialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// A registry's answer: the table that this process should have.
#[derive(Deserialize, Clone, Debug)]
pub(super) struct Page {
    pub(super) revision: Revision,
    pub(super) weights: Weights,
    pub(super) digest: String,
    /// The newest table that the registry has; it may be on its way to others first.
    #[serde(default)]
    pub(super) newest: Revision,
}

/// What is held of it.
#[derive(Default)]
pub(super) struct Held {
    /// Whether any table has come.
    pub(super) any: bool,
    pub(super) revision: Revision,
    pub(super) digest: String,
    pub(super) newest: Revision,
    /// Since when it is in force, Unix time in milliseconds.
    pub(super) since_ms: Option<u64>,
    /// What is wrong now, if anything is.
    pub(super) error: Option<String>,
    /// How many tables were not taken.
    pub(super) refused: u64,
}

/// Why a table is not taken. The last good one stays in force.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TableError {
    #[error(
        "table {revision} is spoilt: its digest is {told}, its weights give {made}; revision {held} stays in force. \
         Read it at the registry, and propose it again"
    )]
    Digest { revision: Revision, told: String, made: String, held: Revision },
    #[error(
        "table {revision} is spoilt: {kind} {name} has weight {weight}, which must be 0 or more and finite; revision \
         {held} stays in force. Propose a sound table"
    )]
    Weight { revision: Revision, kind: &'static str, name: String, weight: f64, held: Revision },
    #[error(
        "table {revision} is spoilt: {count} weights are more than {MAX_WEIGHTS}; revision {held} stays in force. \
         Propose a smaller table"
    )]
    Size { revision: Revision, count: usize, held: Revision },
    #[error(
        "the registry is behind: it gives revision {revision}, revision {held} is in force here and stays. It has lost \
         its state, or is another registry: see GET /registry/drift, and propose the wanted weights there anew"
    )]
    Behind { revision: Revision, held: Revision },
    #[error(
        "the registry has another table under revision {held} than the one in force here, which stays. It has lost its \
         state, or is another registry: propose the wanted weights there anew"
    )]
    Other { held: Revision },
}

impl Page {
    /// Whether it is news that can be taken.
    pub(super) fn news(&self, held: &Held) -> Result<bool, TableError> {
        let revision = self.revision;
        let (count, made) = (self.weights.iter().count(), self.weights.digest());
        if count > MAX_WEIGHTS {
            return Err(TableError::Size { revision, count, held: held.revision });
        }
        if made != self.digest {
            let told = self.digest.chars().take(64).collect();
            return Err(TableError::Digest { revision, told, made, held: held.revision });
        }
        let bad = self.weights.iter().find(|(_, _, weight)| !weight.is_finite() || *weight < 0.0);
        if let Some((kind, name, weight)) = bad {
            return Err(TableError::Weight {
                revision,
                kind,
                name: name.into(),
                weight,
                held: held.revision,
            });
        }
        match revision.cmp(&held.revision) {
            _ if !held.any => Ok(true),
            std::cmp::Ordering::Less => Err(TableError::Behind { revision, held: held.revision }),
            std::cmp::Ordering::Equal if self.digest != held.digest => {
                Err(TableError::Other { held: held.revision })
            }
            order => Ok(order.is_gt()),
        }
    }
}

impl Held {
    /// Takes a table that is news.
    pub(super) fn take(&mut self, page: &Page) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (self.any, self.revision, self.digest) = (true, page.revision, page.digest.clone());
        self.since_ms = Some(unix.as_millis() as u64);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/route_table/table.rs"]
mod tests;
