//! Route table as a registry sends it, the table in force in this proxy, and the errors for which a table is rejected.

use crate::route_table::{MAX_WEIGHTS, Revision, Weights};
use serde::Deserialize;
use std::cmp::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

/// Most characters of a received digest that an error message quotes.
const MAX_QUOTED_DIGEST: usize = 64;

/// Answer of a registry: the table that this proxy should have in force.
#[derive(Deserialize, Clone, Debug)]
pub(super) struct TableResponse {
    pub(super) revision: Revision,
    pub(super) weights: Weights,
    pub(super) digest: String,
    /// Newest revision at the registry, whose rollout may not have reached this proxy yet.
    #[serde(default)]
    pub(super) newest: Revision,
}

/// Table in force in this proxy, and the state of the watch.
#[derive(Default)]
pub(super) struct CurrentTable {
    /// Whether any table has been received.
    pub(super) received: bool,
    pub(super) revision: Revision,
    pub(super) digest: String,
    /// Newest revision at the registry; see [`TableResponse::newest`].
    pub(super) newest: Revision,
    /// Time since which the table is in force, Unix time in milliseconds.
    pub(super) since_ms: Option<u64>,
    /// Error of the last poll, if it failed.
    pub(super) error: Option<String>,
    /// Number of tables rejected since the start.
    pub(super) rejected: u64,
}

/// Reason for rejecting a table; the table in force stays. The text goes to the log and to operators' pages.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TableError {
    /// The digest of the weights is not the stated one: they were damaged in transit or on the registry's disk.
    #[error(
        "table {revision} is spoilt: its digest is {stated}, its weights give {computed}; revision {current} stays in \
         force. Read it at the registry, and propose it again"
    )]
    Digest {
        /// Revision of the rejected table.
        revision: Revision,
        /// Digest stated with the table.
        stated: String,
        /// Digest computed from the table's weights.
        computed: String,
        /// Revision that stays in force.
        current: Revision,
    },
    /// A weight is negative or not finite.
    #[error(
        "table {revision} is spoilt: {kind} {name} has weight {weight}, which must be 0 or more and finite; revision \
         {current} stays in force. Propose a sound table"
    )]
    Weight {
        /// Revision of the rejected table.
        revision: Revision,
        /// Kind of item that the weight belongs to, such as a backend or a class.
        kind: &'static str,
        /// Name of the item that the weight belongs to.
        name: String,
        /// Value of the weight.
        weight: f64,
        /// Revision that stays in force.
        current: Revision,
    },
    /// The table has more than [`MAX_WEIGHTS`] weights.
    #[error(
        "table {revision} is spoilt: {count} weights are more than {MAX_WEIGHTS}; revision {current} stays in force. \
         Propose a smaller table"
    )]
    Size {
        /// Revision of the rejected table.
        revision: Revision,
        /// Number of weights in the table.
        count: usize,
        /// Revision that stays in force.
        current: Revision,
    },
    /// The table's revision is older than the one in force.
    #[error(
        "the registry is behind: it gives revision {revision}, revision {current} is in force here and stays. It has \
         lost its state, or is another registry: see GET /registry/drift, and propose the wanted weights there anew"
    )]
    Behind {
        /// Revision of the rejected table.
        revision: Revision,
        /// Revision that stays in force.
        current: Revision,
    },
    /// The table has the revision in force but other weights.
    #[error(
        "the registry has another table under revision {current} than the one in force here, which stays. It has lost \
         its state, or is another registry: propose the wanted weights there anew"
    )]
    Conflict {
        /// Revision of both tables.
        current: Revision,
    },
}

impl TableResponse {
    /// Returns whether the table is newer than the one in force.
    ///
    /// # Errors
    ///
    /// Returns a [`TableError`] if the table is invalid or cannot follow the one in force. [`TableError::Behind`] and
    /// [`TableError::Conflict`] prevent a registry that lost its state from reverting this proxy to an older table.
    pub(super) fn is_new(&self, current: &CurrentTable) -> Result<bool, TableError> {
        self.check_weights(current.revision)?;
        if !current.received {
            return Ok(true);
        }
        let revision = self.revision;
        match revision.cmp(&current.revision) {
            Ordering::Less => Err(TableError::Behind { revision, current: current.revision }),
            Ordering::Equal if self.digest != current.digest => {
                Err(TableError::Conflict { current: current.revision })
            }
            Ordering::Equal => Ok(false),
            Ordering::Greater => Ok(true),
        }
    }

    /// Checks the number, digest and range of the weights.
    fn check_weights(&self, current: Revision) -> Result<(), TableError> {
        let revision = self.revision;
        let count = self.weights.iter().count();
        if count > MAX_WEIGHTS {
            return Err(TableError::Size { revision, count, current });
        }
        let computed = self.weights.digest();
        if computed != self.digest {
            let stated = self.digest.chars().take(MAX_QUOTED_DIGEST).collect();
            return Err(TableError::Digest { revision, stated, computed, current });
        }
        let invalid = self.weights.iter().find(|(_, _, weight)| !weight.is_finite() || *weight < 0.0);
        match invalid {
            Some((kind, name, weight)) => {
                Err(TableError::Weight { revision, kind, name: name.into(), weight, current })
            }
            None => Ok(()),
        }
    }
}

impl CurrentTable {
    /// Records that a table is in force from now on.
    pub(super) fn set(&mut self, table: &TableResponse) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.received = true;
        self.revision = table.revision;
        self.digest = table.digest.clone();
        self.since_ms = Some(unix.as_millis() as u64);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/route_table/table.rs"]
mod tests;
