//! What the reports of hollow proxies say of their backends: the decision module's own answer for an idle proxy. One
//! module stands for all hollow proxies of a service in a worker, since a module for each would be their data path.

use load_balancer::client::list::{EndpointEntry, Health};
use load_balancer::client::route_table::CallCounts;
use load_balancer::interface::{BackendId, Entry, Event, ListKind, Phase, TrafficShare};
use load_balancer::platform_settings::PlatformSettings;
use load_balancer::route_table::{ExclusionReason, MAX_REPORTED};
use load_balancer::{Balancer, backend_id};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// What a report says of backends.
#[derive(Default)]
pub struct Picture {
    /// Those that can get calls, with none.
    pub calls: BTreeMap<String, CallCounts>,
    /// The first that get less, and why: no report has more.
    pub left_out: BTreeMap<String, ExclusionReason>,
}

/// The module, the newest list that any of the proxies has heard of, and what follows from it.
pub struct Standings {
    balancer: Balancer,
    names: HashMap<BackendId, String>,
    zones: Vec<String>,
    version: u64,
    picture: Option<Rc<Picture>>,
}

impl Standings {
    /// Knows no backend yet; none where the settings are not good.
    pub fn new(facts: &PlatformSettings) -> Option<Standings> {
        let balancer = Balancer::new(facts.settings.clone(), 1).ok()?;
        let (names, zones) = (HashMap::new(), facts.site.zones.clone());
        Some(Standings { balancer, names, zones, version: 0, picture: None })
    }

    /// A list, or changes to it, unless another proxy has brought it already.
    pub fn take(&mut self, kind: ListKind, version: u64, hosts: &[EndpointEntry], now: f64) {
        if version <= self.version {
            return;
        }
        (self.version, self.picture) = (version, None);
        let entries = hosts.iter().map(|host| self.entry(host)).collect();
        self.balancer.handle(now, Event::List { kind, entries }, &mut Vec::new());
        let balancer = &self.balancer;
        self.names.retain(|id, _| balancer.knows(*id));
    }

    fn entry(&mut self, host: &EndpointEntry) -> Entry {
        let backend = backend_id(&host.name);
        self.names.insert(backend, host.name.clone());
        let phase = match host.health {
            Health::Serving => Phase::Ready,
            Health::Draining => Phase::Draining,
            Health::Deleted => Phase::Gone,
        };
        let zone = self.zones.iter().position(|zone| *zone == host.zone).unwrap_or_default() as u16;
        let (started_at, weight, cell) = (host.started_ms, host.weight, host.cell);
        Entry { backend, phase, zone, started_at_ms: started_at, weight, cell }
    }

    /// What a report says now.
    pub fn picture(&mut self, now: f64) -> Rc<Picture> {
        if let Some(picture) = &self.picture {
            return picture.clone();
        }
        let mut picture = Picture::default();
        for (id, standing) in self.balancer.traffic_shares(now) {
            let Some(name) = self.names.get(&id) else { continue };
            match why(standing) {
                Some(ExclusionReason::Subset) => {
                    picture.left_out.insert(name.clone(), ExclusionReason::Subset);
                }
                other => {
                    picture.calls.insert(name.clone(), CallCounts::default());
                    picture.left_out.extend(other.map(|why| (name.clone(), why)));
                }
            }
        }
        while picture.left_out.len() > MAX_REPORTED {
            picture.left_out.pop_last();
        }
        self.picture.insert(Rc::new(picture)).clone()
    }
}

fn why(standing: TrafficShare) -> Option<ExclusionReason> {
    match standing {
        TrafficShare::Full => None,
        TrafficShare::Ejected => Some(ExclusionReason::Ejected),
        TrafficShare::WarmingUp => Some(ExclusionReason::Cold),
        TrafficShare::Draining => Some(ExclusionReason::Draining),
        TrafficShare::OutsideSubset => Some(ExclusionReason::Subset),
        TrafficShare::Slow => Some(ExclusionReason::Slow),
    }
}
