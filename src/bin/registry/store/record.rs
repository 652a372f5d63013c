//! The records of the log, and their JSON encoding.
//!
//! A change of the unnamed service has the format from before named services were introduced: a plain [`Change`].
//! Every other record is an object with one key, which is the kind of the record. This keeps data directories of
//! earlier builds readable.

use crate::lease::Lease;
use load_balancer::catalog::{Change, ServiceName, Update};
use load_balancer::route_table::RouteRecord;
use serde::{Deserialize, Serialize};

/// One change of the registry's state.
pub(crate) enum Record {
    /// A change or a renewal of an entry.
    Update {
        /// Service of the entry.
        service: ServiceName,
        /// Change or renewal of the entry.
        update: Update,
    },
    /// A start of the registry; versions and fencing tokens continue from this version.
    Start(u64),
    /// The grant of a lease, or its renewal with a different TTL.
    Lease(Lease),
    /// The end of the lease on this duty.
    Release(String),
    /// The new route table with its proposal and its rollout.
    Routes(Box<RouteRecord>),
}

/// The JSON form of every record that is not a change of the unnamed service.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
enum TaggedRecord {
    Renewal { host: String, ttl_ms: u64 },
    Service { name: ServiceName, update: Update },
    Start(u64),
    Lease(Lease),
    Release(String),
    Routes(Box<RouteRecord>),
}

impl Record {
    /// Encodes the record as its payload in the log.
    pub(crate) fn encode(&self) -> serde_json::Result<Vec<u8>> {
        match self {
            Record::Update { service, update } if service.is_unnamed() => match update {
                Update::Change(change) => serde_json::to_vec(change),
                Update::Renewal { host, ttl_ms } => {
                    serde_json::to_vec(&TaggedRecord::Renewal { host: host.clone(), ttl_ms: *ttl_ms })
                }
            },
            Record::Update { service, update } => {
                serde_json::to_vec(&TaggedRecord::Service { name: service.clone(), update: update.clone() })
            }
            Record::Start(seq) => serde_json::to_vec(&TaggedRecord::Start(*seq)),
            Record::Lease(lease) => serde_json::to_vec(&TaggedRecord::Lease(lease.clone())),
            Record::Release(duty) => serde_json::to_vec(&TaggedRecord::Release(duty.clone())),
            Record::Routes(routes) => serde_json::to_vec(&TaggedRecord::Routes(routes.clone())),
        }
    }

    /// Decodes a payload. Returns `None` if this build does not know its format.
    pub(crate) fn decode(payload: &[u8]) -> Option<Record> {
        let unnamed = |update| Record::Update { service: ServiceName::default(), update };
        if let Ok(change) = serde_json::from_slice::<Change>(payload) {
            return Some(unnamed(Update::Change(change)));
        }
        Some(match serde_json::from_slice(payload).ok()? {
            TaggedRecord::Renewal { host, ttl_ms } => unnamed(Update::Renewal { host, ttl_ms }),
            TaggedRecord::Service { name, update } => Record::Update { service: name, update },
            TaggedRecord::Start(seq) => Record::Start(seq),
            TaggedRecord::Lease(lease) => Record::Lease(lease),
            TaggedRecord::Release(duty) => Record::Release(duty),
            TaggedRecord::Routes(routes) => Record::Routes(routes),
        })
    }
}
