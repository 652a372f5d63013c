//! The registry's state: the lists of all services, the leases and the route table.

use super::Record;
use crate::lease::Lease;
use load_balancer::catalog::Catalog;
use load_balancer::route_table::RouteRecord;
use std::collections::BTreeMap;

/// The state as the snapshot and the log give it. It changes only by records that are on disk.
pub(crate) struct State {
    /// The lists of all services.
    pub(crate) catalog: Catalog,
    /// The highest fencing token that was granted, or the version of a later start.
    pub(crate) token: u64,
    /// The leases on disk, by duty.
    pub(crate) leases: BTreeMap<String, Lease>,
    /// The route table with its proposal and its rollout; none before the first one.
    pub(crate) routes: Option<RouteRecord>,
}

impl State {
    /// The state of an empty data directory.
    pub(super) fn new(max_tombstones: usize) -> State {
        State { catalog: Catalog::new(max_tombstones), token: 0, leases: BTreeMap::new(), routes: None }
    }

    /// Applies a record. One with a version that a snapshot holds already changes nothing; leases, their releases and
    /// renewals of entries have no version and are applied again (see [`Log::compact`](super::Log::compact)).
    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Update { service, update } => self.catalog.apply(&service, update),
            Record::Start(seq) => self.start(seq),
            Record::Lease(lease) => {
                self.token = self.token.max(lease.token);
                self.leases.insert(lease.duty.clone(), lease);
            }
            Record::Release(duty) => drop(self.leases.remove(&duty)),
            Record::Routes(routes) => {
                let is_newer = self.routes.as_ref().is_none_or(|present| present.change < routes.change);
                if is_newer {
                    self.routes = Some(*routes);
                }
            }
        }
    }

    /// Lets versions and tokens continue from `seq`.
    pub(super) fn start(&mut self, seq: u64) {
        self.token = self.token.max(seq);
        self.catalog.start(seq);
    }
}
