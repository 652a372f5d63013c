//! The snapshot: the state at one version, as one JSON object.
//!
//! The unnamed service is stored under the keys from before named services were introduced (`horizon`, `changes`). A
//! snapshot with only the unnamed service has no keys for named services, so that builds from before them can read it.

use super::State;
use crate::lease::Lease;
use load_balancer::catalog::{Catalog, CatalogSnapshot, Change, ServiceName, ServiceSnapshot};
use load_balancer::route_table::RouteRecord;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The registry's state at one version. The order of the fields is the order of the keys on disk.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Snapshot {
    /// Newest version of all services.
    pub(super) seq: u64,
    /// Horizon of the unnamed service; without `services`, the horizon of all services.
    horizon: u64,
    /// Ranges of versions that were never assigned, as pairs of exclusive bounds.
    #[serde(default)]
    gaps: VecDeque<(u64, u64)>,
    /// Highest fencing token, as in [`State::token`].
    #[serde(default)]
    token: u64,
    #[serde(default)]
    leases: Vec<Lease>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    routes: Option<RouteRecord>,
    /// Entries and tombstones of the unnamed service.
    changes: Vec<Change>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    services: Option<Services>,
}

/// The named services in a snapshot.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Services {
    /// Version up to which gaps were discarded: none that ends at or before it is kept.
    horizon: u64,
    /// Newest version of any service that was dropped.
    dropped: u64,
    /// All named services.
    list: Vec<ServiceSnapshot>,
}

impl Snapshot {
    /// Creates the snapshot of a state.
    pub(super) fn of(state: &State) -> Snapshot {
        let CatalogSnapshot { newest, gaps, horizon, dropped_version, mut services } =
            state.catalog.snapshot();
        // Services are sorted by name, so the unnamed service with its empty name is first.
        let has_unnamed = services.first().is_some_and(|service| service.name.is_unnamed());
        let unnamed = has_unnamed.then(|| services.remove(0));
        let unnamed_horizon = unnamed.as_ref().map_or(dropped_version, |service| service.horizon);
        let has_named = !services.is_empty() || dropped_version != 0;
        Snapshot {
            seq: newest,
            horizon: unnamed_horizon.max(horizon),
            gaps,
            token: state.token,
            leases: state.leases.values().cloned().collect(),
            routes: state.routes.clone(),
            changes: unnamed.map_or_else(Vec::new, |service| service.changes),
            services: has_named.then_some(Services { horizon, dropped: dropped_version, list: services }),
        }
    }

    /// Restores the state of which the snapshot was made, without the version of the last start.
    pub(super) fn restore(self, max_tombstones: usize) -> State {
        let unnamed =
            ServiceSnapshot { name: ServiceName::default(), horizon: self.horizon, changes: self.changes };
        // A snapshot from before named services has one horizon, which applies to every service.
        let Services { horizon, dropped, mut list } =
            self.services.unwrap_or(Services { horizon: self.horizon, dropped: 0, list: Vec::new() });
        list.push(unnamed);
        let snapshot = CatalogSnapshot {
            newest: self.seq,
            gaps: self.gaps,
            horizon,
            dropped_version: dropped,
            services: list,
        };
        State {
            catalog: Catalog::restore(snapshot, max_tombstones),
            token: self.token,
            leases: self.leases.into_iter().map(|lease| (lease.duty.clone(), lease)).collect(),
            routes: self.routes,
        }
    }
}
