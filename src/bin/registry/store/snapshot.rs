//! The snapshot: the state at one version, as one JSON object.
//!
//! The unnamed service has the keys from before there were named services (`horizon`, `changes`), and a snapshot of the
//! unnamed service alone has no others, so that builds from before named services can read it.

use super::State;
use crate::lease::Lease;
use load_balancer::catalog::{Catalog, CatalogSnapshot, Change, ServiceName, ServiceSnapshot};
use load_balancer::route_table::RouteRecord;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The state at one version. The order of the fields is the order of the keys on disk.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Snapshot {
    /// The newest version of all services.
    pub(super) seq: u64,
    /// The horizon of the unnamed service; without `services`, of all services.
    horizon: u64,
    /// Ranges of versions that were never given out.
    #[serde(default)]
    gaps: VecDeque<(u64, u64)>,
    /// The highest fencing token.
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

/// The part of a snapshot for services that have a name.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Services {
    /// Gaps that end at or before this version are not remembered.
    horizon: u64,
    /// The newest version of any service that was dropped.
    dropped: u64,
    /// Every named service.
    list: Vec<ServiceSnapshot>,
}

impl Snapshot {
    /// The snapshot of a state.
    pub(super) fn of(state: &State) -> Snapshot {
        let CatalogSnapshot { newest, gaps, horizon, dropped_version, mut services } =
            state.catalog.snapshot();
        // Services are sorted by name, and the empty name is first.
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

    /// The state that the snapshot was made of, without the version of the last start.
    pub(super) fn restore(self, max_tombstones: usize) -> State {
        let unnamed =
            ServiceSnapshot { name: ServiceName::default(), horizon: self.horizon, changes: self.changes };
        // A snapshot from before there were named services has one horizon, which holds for every name.
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
