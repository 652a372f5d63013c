//! Introspection: figures for operators about an instance's endpoints. Nothing here changes a decision.

use super::Balancer;
use super::endpoints::Endpoint;
use crate::interface::*;

/// Error rate from which an endpoint gets clearly fewer calls.
const NOTICEABLE_ERROR_RATE: f64 = 0.01;

impl Balancer {
    /// Whether the backend is listed, or still has calls of this instance in flight.
    pub fn knows(&self, backend: BackendId) -> bool {
        self.endpoints.contains_key(&backend)
    }

    /// Whether the backend is listed.
    pub fn lists(&self, backend: BackendId) -> bool {
        self.endpoints.get(&backend).is_some_and(|endpoint| !endpoint.is_gone())
    }

    /// How many backends stay in service though the list lacks them, as in the [`Balancer::census`].
    pub fn unlisted(&self) -> usize {
        self.endpoint_set.suspected_removals.len()
    }

    /// How many backends are listed, and how many of them this instance avoids.
    pub fn census(&self) -> Census {
        let listed = self.endpoints.iter().map(|(_, endpoint)| endpoint).filter(|e| !e.is_gone());
        let is_excluded = |e: &&Endpoint| e.entry.phase == Phase::Draining || e.ejected();
        let unlisted = listed.clone().filter(|e| e.unlisted_since_ms.is_some()).count();
        Census { listed: listed.clone().count(), excluded: listed.filter(is_excluded).count(), unlisted }
    }

    /// The route table's weights that selection follows, of all backends that take work.
    pub fn weights(&self) -> impl Iterator<Item = (BackendId, f64)> {
        self.endpoint_set.members.iter().map(|id| (*id, self.endpoints[id].route_weight))
    }

    /// Which share of the calls each listed backend gets, and why it is less than its weight says.
    pub fn standings(&self, now_ms: f64) -> impl Iterator<Item = (BackendId, TrafficShare)> {
        let listed = self.endpoints.iter().filter(|(_, endpoint)| !endpoint.is_gone());
        listed.map(move |(id, endpoint)| (*id, self.traffic_share(now_ms, *id, endpoint)))
    }

    fn traffic_share(&self, now_ms: f64, id: BackendId, endpoint: &Endpoint) -> TrafficShare {
        if endpoint.entry.phase == Phase::Draining {
            TrafficShare::Draining
        } else if endpoint.ejected() {
            TrafficShare::Ejected
        } else if endpoint.warm_up_fraction(&self.settings.rules, now_ms) < 1.0 {
            TrafficShare::WarmingUp
        } else if self.subset_index(id).is_none() {
            TrafficShare::OutsideSubset
        } else if endpoint.error_rate > NOTICEABLE_ERROR_RATE
            || self.outliers.significant_relative_latency(endpoint) > 1.0
        {
            TrafficShare::Slow
        } else {
            TrafficShare::Full
        }
    }
}
