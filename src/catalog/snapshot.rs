//! The catalog's part of a snapshot of the registry.

use super::history::{Gap, History};
use super::{Catalog, Change, Health, Service, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A [`Catalog`] at one version, without the version of the last start: after [`Catalog::restore`] comes
/// [`Catalog::start`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogSnapshot {
    /// The newest version.
    pub newest: u64,
    /// Pairs of versions; those between the two of a pair were never given out.
    pub gaps: VecDeque<(u64, u64)>,
    /// Gaps that end at or before this version are not remembered.
    pub horizon: u64,
    /// The newest version of any service that was dropped.
    pub dropped_version: u64,
    /// Every service, sorted by name.
    pub services: Vec<ServiceSnapshot>,
}

/// One service in [`CatalogSnapshot`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
// "SavedService" is kept: it stands in error texts about the snapshot ("expected struct SavedService").
#[serde(rename = "SavedService", deny_unknown_fields)]
pub struct ServiceSnapshot {
    /// The service's name.
    pub name: ServiceName,
    /// All changes of the service after this version are in `changes`.
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
    /// The catalog as a snapshot holds it.
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

    /// The catalog of a snapshot. If `max_tombstones` is smaller than when the snapshot was made, the oldest go.
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
