//! Who is in a fleet: services of unlike sizes, their backends, and where each stands.

use super::clock::now_ms;
use serde_json::{Value, json};

/// Zones that backends and their proxies are spread over.
pub const ZONES: usize = 14;
/// The size that the number of services is given for.
const TARGET: f64 = 4100.0;

/// A zone's name.
pub fn zone(number: usize) -> String {
    format!("z{:02}", number % ZONES)
}

/// The path of a service's list.
pub fn instances(service: Option<&str>) -> String {
    service.map_or("/registry/instances".into(), |name| format!("/registry/instances?service={name}"))
}

/// The services that each backend, and the proxy beside it, belongs to.
#[derive(Clone, Debug)]
pub struct Plan {
    /// By number; none where the registry knows no services.
    pub services: Vec<Option<String>>,
}

impl Plan {
    /// So many backends in so many services for each 4,100, the largest so many times the mean.
    pub fn new(size: usize, services: usize, largest: f64) -> Plan {
        let count = (services as f64 * size as f64 / TARGET).round() as usize;
        if services == 0 || count == 0 {
            return Plan { services: vec![None; size] };
        }
        let mut named = Vec::with_capacity(size);
        for (number, members) in sizes(size, count, largest).into_iter().enumerate() {
            named.extend(std::iter::repeat_n(Some(format!("service-{number:03}")), members));
        }
        // So that every worker, zone and region has proxies of large and of small services.
        fastrand::Rng::with_seed(7).shuffle(&mut named);
        Plan { services: named }
    }

    /// Backends.
    pub fn size(&self) -> usize {
        self.services.len()
    }

    /// Members of the service of one.
    pub fn peers(&self, number: usize) -> usize {
        self.services.iter().filter(|service| **service == self.services[number]).count()
    }

    /// Which backends have a real proxy: one of a service of the middle size first, one of the largest, and others.
    pub fn real(&self, count: usize) -> Vec<usize> {
        let mut by_size: Vec<(usize, usize)> = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        for (number, service) in self.services.iter().enumerate() {
            if seen.insert(service) {
                by_size.push((self.peers(number), number));
            }
        }
        by_size.sort_unstable();
        let mean = self.size() / by_size.len().max(1);
        let near = by_size.iter().min_by_key(|(size, _)| size.abs_diff(mean)).map(|(_, number)| *number);
        let largest = by_size.last().map(|(_, number)| *number);
        let mut chosen: Vec<usize> = near.into_iter().chain(largest).collect();
        chosen.extend(0..self.size());
        let mut taken = std::collections::BTreeSet::new();
        chosen.retain(|number| taken.insert(*number));
        chosen.truncate(count);
        chosen
    }

    /// The first hollow proxy that is like a real one: of the same service.
    pub fn partner(&self, real: usize, all_real: &[usize]) -> Option<usize> {
        let alike =
            |number: &usize| self.services[*number] == self.services[real] && !all_real.contains(number);
        (0..self.size()).find(alike)
    }

    /// The services, each once.
    pub fn names(&self) -> Vec<Option<String>> {
        let mut names = self.services.clone();
        names.sort();
        names.dedup();
        names
    }
}

/// Sizes that fall by a power of the rank, from `largest` times the mean, and add up to `total`.
pub fn sizes(total: usize, count: usize, largest: f64) -> Vec<usize> {
    let mean = total as f64 / count as f64;
    let first = (mean * largest).min(total as f64 - count as f64 + 1.0).max(1.0);
    let of = |power: f64, rank: usize| (first * (rank as f64 + 1.0).powf(-power)).max(1.0);
    let (mut low, mut high) = (0.0, 16.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        let sum: f64 = (0..count).map(|rank| of(middle, rank)).sum();
        if sum > total as f64 { low = middle } else { high = middle }
    }
    let mut sizes: Vec<usize> = (0..count).map(|rank| of(high, rank).floor() as usize).collect();
    let left = total.saturating_sub(sizes.iter().sum());
    for extra in 0..left {
        // Never to the largest, whose ratio is given, where there are others.
        let at = if count > 1 { 1 + extra % (count - 1) } else { 0 };
        sizes[at] += 1;
    }
    sizes
}

/// A backend's entry as it was first registered; nobody listens there, since no calls are sent.
pub fn entry(number: usize) -> Value {
    let dial = format!("127.1.{}.{}:9000", number / 250, number % 250 + 1);
    json!({"host": format!("b{number:05}"), "dial": dial, "site": zone(number), "class": "m2", "block": 1,
        "health": "SERVING", "share": 1.0, "born_ms": 0})
}

/// The entry of one that was started just now.
pub fn restarted(number: usize) -> Value {
    let mut entry = entry(number);
    entry["born_ms"] = (now_ms() as f64).into();
    entry
}
