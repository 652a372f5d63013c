//! The table as a registry answers it, the one in force here, and the reasons for which a table is refused.

use crate::route_table::{MAX_WEIGHTS, Revision, Weights};
use serde::Deserialize;
use std::cmp::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

/// Most characters of a wrong digest that an error quotes: it comes from outside.
const MAX_QUOTED_DIGEST: usize = 64;

/// A registry's answer: the table that this proxy should have.
#[derive(Deserialize, Clone, Debug)]
pub(super) struct TableResponse {
    pub(super) revision: Revision,
    pub(super) weights: Weights,
    pub(super) digest: String,
    /// The newest revision at the registry, which may be in a stage of its rollout that does not include this
    /// proxy.
    #[serde(default)]
    pub(super) newest: Revision,
}

/// The table in force in this proxy, and the state of the watch.
#[derive(Default)]
pub(super) struct CurrentTable {
    /// Whether any table has been received.
    pub(super) received: bool,
    pub(super) revision: Revision,
    pub(super) digest: String,
    /// See [`TableResponse::newest`].
    pub(super) newest: Revision,
    /// Since when it is in force, Unix time in milliseconds.
    pub(super) since_ms: Option<u64>,
    /// Why the last answer failed, if it did.
    pub(super) error: Option<String>,
    /// Tables that were refused since the start.
    pub(super) refused: u64,
}

/// Why a table is refused. The one in force stays.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TableError {
    /// The weights are not those of the digest: they were changed on their way or on the registry's disk.
    #[error(
        "table {revision} is spoilt: its digest is {stated}, its weights give {computed}; revision {current} stays in \
         force. Read it at the registry, and propose it again"
    )]
    Digest {
        /// The revision of the refused table.
        revision: Revision,
        /// The digest that the table states.
        stated: String,
        /// The digest that its weights give.
        computed: String,
        /// The revision that stays in force.
        current: Revision,
    },
    /// A weight is negative or not finite.
    #[error(
        "table {revision} is spoilt: {kind} {name} has weight {weight}, which must be 0 or more and finite; revision \
         {current} stays in force. Propose a sound table"
    )]
    Weight {
        /// The revision of the refused table.
        revision: Revision,
        /// What the weight is of, such as a backend or a class.
        kind: &'static str,
        /// The name that the weight is of.
        name: String,
        /// The weight.
        weight: f64,
        /// The revision that stays in force.
        current: Revision,
    },
    /// It has more than [`MAX_WEIGHTS`] weights.
    #[error(
        "table {revision} is spoilt: {count} weights are more than {MAX_WEIGHTS}; revision {current} stays in force. \
         Propose a smaller table"
    )]
    Size {
        /// The revision of the refused table.
        revision: Revision,
        /// The number of its weights.
        count: usize,
        /// The revision that stays in force.
        current: Revision,
    },
    /// Its revision is older than the one in force.
    #[error(
        "the registry is behind: it gives revision {revision}, revision {current} is in force here and stays. It has \
         lost its state, or is another registry: see GET /registry/drift, and propose the wanted weights there anew"
    )]
    Behind {
        /// The revision of the refused table.
        revision: Revision,
        /// The revision that stays in force.
        current: Revision,
    },
    /// It has the revision in force with other weights.
    #[error(
        "the registry has another table under revision {current} than the one in force here, which stays. It has lost \
         its state, or is another registry: propose the wanted weights there anew"
    )]
    Conflict {
        /// The revision of both tables.
        current: Revision,
    },
}

impl TableResponse {
    /// Whether the table is valid and newer than the one in force.
    ///
    /// # Errors
    ///
    /// [`TableError`] if it is not valid, or cannot follow the one in force. Failure that the last two guard
    /// against: a registry that lost its state would take this proxy back to an older table.
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

    /// Checks size, digest and range of the weights.
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
    /// Records that a table is put in force now.
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
