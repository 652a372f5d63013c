//! The whole catalog as a snapshot holds it.

use super::history::History;
use super::{Catalog, Change, Health, Service, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// All of a [`Catalog`] at one version, but for the last start: a restored one must be told of a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// The newest version.
    pub newest: u64,
    /// Versions between these were never given out.
    pub gaps: VecDeque<(u64, u64)>,
    /// Nothing is known of gaps before this version.
    pub horizon: u64,
    /// The newest version of any service that was dropped.
    pub dropped: u64,
    /// Every service, in the order of the names.
    pub services: Vec<SavedService>,
}

/// One service in [`Saved`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SavedService {
    /// Which.
    pub name: ServiceName,
    /// Its changes after this version are all there.
    pub horizon: u64,
    /// Entries and tombstones in the order of their versions.
    pub changes: Vec<Change>,
}

impl SavedService {
    fn of(name: &ServiceName, service: &Service) -> SavedService {
        let (horizon, changes) = (service.horizon(), service.changes().cloned().collect());
        SavedService { name: name.clone(), horizon, changes }
    }
}

impl Catalog {
    /// All of it, to be written.
    pub fn save(&self) -> Saved {
        let mut services: Vec<_> =
            self.services.iter().map(|(name, service)| SavedService::of(name, service)).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Saved {
            newest: self.history.newest(),
            gaps: self.history.kept_gaps().clone(),
            horizon: self.history.horizon(),
            dropped: self.dropped,
            services,
        }
    }

    /// What was saved. A smaller bound on tombstones than it was saved with drops the oldest.
    pub fn restore(saved: Saved, max_tombstones: usize) -> Catalog {
        let mut catalog = Catalog {
            history: History::restored(saved.newest, saved.gaps, saved.horizon),
            services: HashMap::new(),
            tombstones: BTreeMap::new(),
            max_tombstones,
            dropped: saved.dropped,
        };
        for SavedService { name, horizon, changes } in saved.services {
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
        catalog.trim();
        catalog
    }
}
