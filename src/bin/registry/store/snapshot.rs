//! The whole state as one record.
//!
//! The service of no name has the form that it had before there were others, and so has a snapshot of it alone.

use super::State;
use crate::lease::Lease;
use load_balancer::catalog::{Catalog, Change, Saved, SavedService, ServiceName};
use load_balancer::route_table::RouteRecord;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The whole state at one version: the snapshot's record.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The newest version of all services.
    pub seq: u64,
    /// Of the service of no name; without `services`, of all.
    horizon: u64,
    #[serde(default)]
    gaps: VecDeque<(u64, u64)>,
    #[serde(default)]
    token: u64,
    #[serde(default)]
    leases: Vec<Lease>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    routes: Option<RouteRecord>,
    /// Of the service of no name.
    changes: Vec<Change>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    services: Option<Services>,
}

/// What a snapshot holds of services that have a name.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Services {
    /// Nothing is known of gaps before this version.
    horizon: u64,
    /// The newest version of any service that was dropped.
    dropped: u64,
    list: Vec<SavedService>,
}

impl Snapshot {
    /// Of a state.
    pub fn of(state: &State) -> Snapshot {
        let Saved { newest, gaps, horizon, dropped, mut services } = state.catalog.save();
        // The names are sorted, and no name goes before all others.
        let has_unnamed = services.first().is_some_and(|service| service.name.is_unnamed());
        let unnamed = has_unnamed.then(|| services.remove(0));
        let of_unnamed = unnamed.as_ref().map_or(dropped, |service| service.horizon);
        let alone = services.is_empty() && dropped == 0;
        Snapshot {
            seq: newest,
            horizon: of_unnamed.max(horizon),
            gaps,
            token: state.token,
            leases: state.leases.values().cloned().collect(),
            routes: state.routes.clone(),
            changes: unnamed.map_or_else(Vec::new, |service| service.changes),
            services: (!alone).then_some(Services { horizon, dropped, list: services }),
        }
    }

    /// The state that it was made of, but for the last start.
    pub fn restore(self, max_tombstones: usize) -> State {
        let unnamed =
            SavedService { name: ServiceName::default(), horizon: self.horizon, changes: self.changes };
        // One from before there were services tells one horizon, and it holds for every name.
        let Services { horizon, dropped, mut list } =
            self.services.unwrap_or(Services { horizon: self.horizon, dropped: 0, list: Vec::new() });
        list.push(unnamed);
        let saved = Saved { newest: self.seq, gaps: self.gaps, horizon, dropped, services: list };
        State {
            catalog: Catalog::restore(saved, max_tombstones),
            token: self.token,
            leases: self.leases.into_iter().map(|lease| (lease.duty.clone(), lease)).collect(),
            routes: self.routes,
        }
    }
}
