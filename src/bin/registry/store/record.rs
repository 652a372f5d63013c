//! What the log holds, as JSON.
//!
//! Updates of the service of no name have the form that they had before there were others.

use crate::lease::Lease;
use load_balancer::catalog::{Change, ServiceName, Update};
use load_balancer::route_table::RouteRecord;
use serde::{Deserialize, Serialize};

/// What the log holds.
pub enum Record {
    /// What happened to an entry.
    Update {
        /// Of which service.
        service: ServiceName,
        /// What.
        update: Update,
    },
    /// A start of the registry: versions and tokens go on from here.
    Start(u64),
    /// A lease was granted, or renewed with another TTL.
    Lease(Lease),
    /// A duty is held no longer.
    Release(String),
    /// The route table, its proposal and its rollout, all of it as it is from now on.
    Routes(Box<RouteRecord>),
}

/// The records that are not changes of the service of no name.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
enum Other {
    Renewal { host: String, ttl_ms: u64 },
    Service { name: ServiceName, update: Update },
    Start(u64),
    Lease(Lease),
    Release(String),
    Routes(Box<RouteRecord>),
}

impl Record {
    /// As the log holds it.
    pub fn encode(&self) -> serde_json::Result<Vec<u8>> {
        match self {
            Record::Update { service, update } if service.is_unnamed() => match update {
                Update::Change(change) => serde_json::to_vec(change),
                Update::Renewal { host, ttl_ms } => {
                    serde_json::to_vec(&Other::Renewal { host: host.clone(), ttl_ms: *ttl_ms })
                }
            },
            Record::Update { service, update } => {
                serde_json::to_vec(&Other::Service { name: service.clone(), update: update.clone() })
            }
            Record::Start(seq) => serde_json::to_vec(&Other::Start(*seq)),
            Record::Lease(lease) => serde_json::to_vec(&Other::Lease(lease.clone())),
            Record::Release(duty) => serde_json::to_vec(&Other::Release(duty.clone())),
            Record::Routes(routes) => serde_json::to_vec(&Other::Routes(routes.clone())),
        }
    }

    /// A record from its bytes, unless they are something else.
    pub fn decode(payload: &[u8]) -> Option<Record> {
        let unnamed = |update| Record::Update { service: ServiceName::default(), update };
        if let Ok(change) = serde_json::from_slice::<Change>(payload) {
            return Some(unnamed(Update::Change(change)));
        }
        Some(match serde_json::from_slice(payload).ok()? {
            Other::Renewal { host, ttl_ms } => unnamed(Update::Renewal { host, ttl_ms }),
            Other::Service { name, update } => Record::Update { service: name, update },
            Other::Start(seq) => Record::Start(seq),
            Other::Lease(lease) => Record::Lease(lease),
            Other::Release(duty) => Record::Release(duty),
            Other::Routes(routes) => Record::Routes(routes),
        })
    }
}
