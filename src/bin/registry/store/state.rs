//! The registry's state: the lists of all services, the leases and the route table.

use super::Record;
use crate::lease::Lease;
use load_balancer::catalog::Catalog;
use load_balancer::route_table::RouteRecord;
use std::collections::BTreeMap;

/// The state that results from the snapshot and the log. It changes only by records that are on disk.
pub(crate) struct State {
    /// Lists of all services.
    pub(crate) catalog: Catalog,
    /// Highest fencing token that was granted, or the version of the last start if that is higher.
    pub(crate) token: u64,
    /// Leases on disk, by duty.
    pub(crate) leases: BTreeMap<String, Lease>,
    /// Route table with its proposal and its rollout; `None` before the first one.
    pub(crate) routes: Option<RouteRecord>,
}

impl State {
    /// Creates the state of an empty data directory.
    pub(super) fn new(max_tombstones: usize) -> State {
        State { catalog: Catalog::new(max_tombstones), token: 0, leases: BTreeMap::new(), routes: None }
    }

    /// Applies a record. A record whose version is already in the snapshot has no effect. Leases, their releases and
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
                let is_newer = self.routes.as_ref().is_none_or(|current| current.change < routes.change);
                if is_newer {
                    self.routes = Some(*routes);
                }
            }
        }
    }

    /// Continues versions and fencing tokens from `seq`.
    pub(super) fn start(&mut self, seq: u64) {
        self.token = self.token.max(seq);
        self.catalog.start(seq);
    }
}
