//! The catalog's part of a snapshot of the registry.

use super::history::{Gap, History};
use super::{Catalog, Change, Health, Service, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A [`Catalog`] at one version. The version of the last start is not included, so that [`Catalog::start`] has to
/// follow [`Catalog::restore`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogSnapshot {
    /// Newest version of all services.
    pub newest: u64,
    /// Ranges of versions that were never assigned, as pairs of exclusive bounds.
    pub gaps: VecDeque<(u64, u64)>,
    /// Version up to which gaps were discarded: none that ends at or before it is kept.
    pub horizon: u64,
    /// Newest version of any service that was dropped.
    pub dropped_version: u64,
    /// All services, sorted by name.
    pub services: Vec<ServiceSnapshot>,
}

/// One service in a [`CatalogSnapshot`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
// The name "SavedService" is kept because it appears in error messages about the snapshot ("expected struct
// SavedService").
#[serde(rename = "SavedService", deny_unknown_fields)]
pub struct ServiceSnapshot {
    /// Name of the service.
    pub name: ServiceName,
    /// Version after which `changes` has all changes of the service.
    pub horizon: u64,
    /// Entries and tombstones in the order of their versions.
    pub changes: Vec<Change>,
}

impl ServiceSnapshot {
    fn of(name: &ServiceName, service: &Service) -> ServiceSnapshot {
        ServiceSnapshot {
            name: name.clone(),
            horizon: service.horizon(),
            changes: service.changes().cloned().collect(),
        }
    }
}

impl Catalog {
    /// Returns a snapshot of the catalog.
    pub fn snapshot(&self) -> CatalogSnapshot {
        let mut services: Vec<_> =
            self.services.iter().map(|(name, service)| ServiceSnapshot::of(name, service)).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        CatalogSnapshot {
            newest: self.history.newest(),
            gaps: self.history.gaps().iter().map(|gap| (gap.after, gap.until)).collect(),
            horizon: self.history.horizon(),
            dropped_version: self.dropped_version,
            services,
        }
    }

    /// Restores the catalog of a snapshot. If it has more than `max_tombstones` tombstones, the oldest are discarded.
    pub fn restore(snapshot: CatalogSnapshot, max_tombstones: usize) -> Catalog {
        let gaps = snapshot.gaps.iter().map(|&(after, until)| Gap { after, until }).collect();
        let mut catalog = Catalog {
            history: History::restored(snapshot.newest, gaps, snapshot.horizon),
            services: HashMap::new(),
            tombstones: BTreeMap::new(),
            max_tombstones,
            dropped_version: snapshot.dropped_version,
        };
        for ServiceSnapshot { name, horizon, changes } in snapshot.services {
            let mut service = Service::new(horizon);
            for change in changes {
                if change.entry.health == Health::Deleted {
                    catalog.tombstones.insert(change.seq, name.clone());
                }
                service.insert(change);
            }
            if service.len() > 0 {
                catalog.services.insert(name, service);
            }
        }
        catalog.drop_oldest_tombstones();
        catalog
    }
}
