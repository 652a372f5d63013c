//! Introspection: statistics for operators about an instance's endpoints, without any effect on decisions.

use super::Balancer;
use super::endpoints::Endpoint;
use crate::interface::*;

/// Error rate above which an endpoint gets noticeably fewer calls.
const NOTICEABLE_ERROR_RATE: f64 = 0.01;

impl Balancer {
    /// Returns whether the backend is listed or still has calls of this instance in flight.
    pub fn knows(&self, backend: BackendId) -> bool {
        self.endpoints.contains_key(&backend)
    }

    /// Returns whether the backend is listed, or stays in service while its removal is suspected.
    pub fn lists(&self, backend: BackendId) -> bool {
        self.endpoints.get(&backend).is_some_and(|endpoint| !endpoint.is_gone())
    }

    /// Returns the number of backends that stay in service although the list lacks them, as in
    /// [`Balancer::census`].
    pub fn unlisted(&self) -> usize {
        self.endpoint_set.suspected_removals.len()
    }

    /// Counts the backends that are listed, that get no ordinary work, and that stay in service unlisted.
    pub fn census(&self) -> Census {
        let listed = self.endpoints.iter().map(|(_, endpoint)| endpoint).filter(|e| !e.is_gone());
        let is_excluded = |e: &&Endpoint| e.entry.phase == Phase::Draining || e.ejected();
        let unlisted = listed.clone().filter(|e| e.unlisted_since_ms.is_some()).count();
        Census { listed: listed.clone().count(), excluded: listed.filter(is_excluded).count(), unlisted }
    }

    /// Returns the route table weights that selection uses, for all backends that take work.
    pub fn weights(&self) -> impl Iterator<Item = (BackendId, f64)> {
        self.endpoint_set.members.iter().map(|id| (*id, self.endpoints[id].route_weight))
    }

    /// Returns, for each listed backend, whether it gets its full share of the calls or why it gets less.
    pub fn traffic_shares(&self, now_ms: f64) -> impl Iterator<Item = (BackendId, TrafficShare)> {
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
