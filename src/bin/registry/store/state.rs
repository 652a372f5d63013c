//! The whole state: the lists, the leases and the route table.

use super::Record;
use crate::lease::Lease;
use load_balancer::catalog::Catalog;
use load_balancer::route_table::RouteRecord;
use std::collections::BTreeMap;

/// The state as the log and the snapshot give it.
pub struct State {
    /// The lists of all services.
    pub catalog: Catalog,
    /// The highest fencing token that was granted, or a start above it.
    pub token: u64,
    /// Who holds which duty.
    pub leases: BTreeMap<String, Lease>,
    /// The route table, its proposal and its rollout; none before the first.
    pub routes: Option<RouteRecord>,
}

impl State {
    /// Nothing yet.
    pub(super) fn new(max_tombstones: usize) -> State {
        State { catalog: Catalog::new(max_tombstones), token: 0, leases: BTreeMap::new(), routes: None }
    }

    /// Takes a record in.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Update { service, update } => self.catalog.apply(&service, update),
            Record::Start(seq) => self.start(seq),
            Record::Lease(lease) => {
                self.token = self.token.max(lease.token);
                self.leases.insert(lease.duty.clone(), lease);
            }
            Record::Release(duty) => drop(self.leases.remove(&duty)),
            // Met again after a snapshot that holds it or a later one.
            Record::Routes(routes) => {
                if self.routes.as_ref().is_none_or(|held| held.change < routes.change) {
                    self.routes = Some(*routes);
                }
            }
        }
    }

    /// Versions and tokens go on from `seq`.
    pub(super) fn start(&mut self, seq: u64) {
        self.token = self.token.max(seq);
        self.catalog.start(seq);
    }
}
