//! The set of endpoints that take work, in the order of their ids and split by zone, with sums over them. It
//! is kept up to date as the list changes. Most endpoints are warm, in service and of weight 1; only the
//! others are stored individually, so that the cost of a tick depends on the degraded endpoints and not on
//! the length of the list.

use super::endpoints::Endpoint;
use super::ordered_sum::{OrderedSum, lower_bound_from};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Index of the partition of endpoints in this instance's zone.
pub(super) const LOCAL: usize = 0;
/// Index of the partition of endpoints in other zones.
pub(super) const REMOTE: usize = 1;

/// A member whose capacity may differ from 1, because it is warming up or ejected.
pub(super) struct DegradedEndpoint {
    pub(super) id: BackendId,
    started_at_ms: f64,
    ejected_until_ms: f64,
    /// Index of the endpoint among all members.
    rank: usize,
    /// Index of the endpoint's zone partition: [`LOCAL`] or [`REMOTE`].
    pub(super) partition: usize,
    /// Index of the endpoint within its partition.
    pub(super) partition_rank: usize,
}

/// Capacity of the members, in warm endpoints.
pub(super) struct Capacity {
    pub(super) total: f64,
    /// Capacity of each partition without its ejected members; those that are due for a trial count.
    pub(super) in_service: [f64; 2],
}

/// Weights of a member: the list's times the route table's, and the route table's alone.
struct MemberWeights {
    total: f64,
    route: f64,
}

/// Aggregates of the members' weights.
pub(super) struct WeightSums {
    pub(super) total: f64,
    /// Largest route table weight.
    pub(super) max_route: f64,
}

/// The set of endpoints that take work.
#[derive(Default)]
pub(super) struct EndpointSet {
    /// This instance's zone, where crossing zones has a price; `None` pools all zones.
    local_zone: Option<u16>,
    /// Ids of all members, in ascending order.
    pub(super) members: Vec<BackendId>,
    /// Zone of each member, in the order of `members`.
    zones: Vec<u16>,
    zone_sizes: BTreeMap<u16, usize>,
    /// Members in the local zone ([`LOCAL`]) and in other zones ([`REMOTE`]), in ascending order.
    pub(super) partitions: [Vec<BackendId>; 2],
    /// Degraded members, in ascending order of their ids.
    pub(super) degraded: Vec<DegradedEndpoint>,
    /// Whether the ranks of the degraded members are up to date.
    degraded_ranked: bool,
    /// Weights of the members for which either weight is not 1.
    weighted: BTreeMap<BackendId, MemberWeights>,
    /// Endpoints with a changed phase or entry that is not applied to the members yet.
    pub(super) changed: BTreeSet<BackendId>,
    /// Members that the list lacks but whose removal is not confirmed yet.
    pub(super) suspected_removals: BTreeSet<BackendId>,
    /// Whether the members, or their ejections, have changed since the subset was last filled.
    pub(super) subset_outdated: bool,
}

impl EndpointSet {
    pub(super) fn new(local_zone: Option<u16>) -> Self {
        EndpointSet { local_zone, ..EndpointSet::default() }
    }

    pub(super) fn has(&self, id: BackendId) -> bool {
        self.members.binary_search(&id).is_ok()
    }

    pub(super) fn zone_count(&self) -> usize {
        self.zone_sizes.len()
    }

    pub(super) fn ejected_count(&self) -> usize {
        self.degraded.iter().filter(|e| e.ejected_until_ms > 0.0).count()
    }

    fn partition_of(&self, zone: u16) -> usize {
        if self.local_zone.is_some_and(|local| local != zone) { REMOTE } else { LOCAL }
    }

    /// Removes all members but keeps the pending changes and suspected removals.
    pub(super) fn clear(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        let suspected_removals = std::mem::take(&mut self.suspected_removals);
        *self = EndpointSet {
            changed,
            suspected_removals,
            subset_outdated: true,
            ..EndpointSet::new(self.local_zone)
        };
    }

    /// Replaces the member with that id by the endpoint if it takes work; removes the member otherwise.
    pub(super) fn replace(&mut self, id: BackendId, endpoint: Option<&Endpoint>) {
        self.remove(id);
        let Some(endpoint) = endpoint.filter(|endpoint| endpoint.is_ready()) else { return };
        let Err(rank) = self.members.binary_search(&id) else { return };
        let zone = endpoint.entry.zone;
        self.members.insert(rank, id);
        self.zones.insert(rank, zone);
        let partition = self.partition_of(zone);
        let partition = &mut self.partitions[partition];
        partition.insert(partition.partition_point(|other| *other < id), id);
        *self.zone_sizes.entry(zone).or_default() += 1;
        let weights = MemberWeights { total: endpoint.weight(), route: endpoint.route_weight };
        if weights.total != 1.0 || weights.route != 1.0 {
            self.weighted.insert(id, weights);
        }
        self.subset_outdated = true;
        self.degraded_ranked = false;
        self.update_degraded(id, endpoint);
    }

    fn remove(&mut self, id: BackendId) {
        let Ok(rank) = self.members.binary_search(&id) else { return };
        self.members.remove(rank);
        let zone = self.zones.remove(rank);
        for partition in &mut self.partitions {
            if let Ok(at) = partition.binary_search(&id) {
                partition.remove(at);
            }
        }
        if let Some(size) = self.zone_sizes.get_mut(&zone) {
            *size -= 1;
        }
        self.zone_sizes.retain(|_, size| *size > 0);
        if let Ok(at) = self.degraded.binary_search_by_key(&id, |e| e.id) {
            self.degraded.remove(at);
        }
        self.weighted.remove(&id);
        self.subset_outdated = true;
        self.degraded_ranked = false;
    }

    /// Updates the degraded members after a member was added, ejected or returned to service.
    pub(super) fn update_degraded(&mut self, id: BackendId, endpoint: &Endpoint) {
        if !self.has(id) {
            return;
        }
        let started_at_ms = endpoint.entry.started_at_ms;
        let ejected_until_ms = endpoint.ejected_until_ms;
        let found = self.degraded.binary_search_by_key(&id, |e| e.id);
        let was_ejected = found.is_ok_and(|at| self.degraded[at].ejected_until_ms > 0.0);
        self.subset_outdated |= was_ejected != endpoint.ejected();
        match found {
            Ok(at) => self.degraded[at].ejected_until_ms = ejected_until_ms,
            Err(at) if endpoint.ejected() || started_at_ms > 0.0 => {
                let unranked = DegradedEndpoint {
                    id,
                    started_at_ms,
                    ejected_until_ms,
                    rank: 0,
                    partition: LOCAL,
                    partition_rank: 0,
                };
                self.degraded.insert(at, unranked);
                self.degraded_ranked = false;
            }
            Err(_) => {}
        }
    }

    /// Recomputes the indices of the degraded members if the members have changed.
    fn rank_degraded(&mut self) {
        if std::mem::replace(&mut self.degraded_ranked, true) {
            return;
        }
        let mut rank = 0;
        let mut partition_ranks = [0; 2];
        for endpoint in &mut self.degraded {
            rank = lower_bound_from(&self.members, rank, endpoint.id);
            let zone = self.zones[rank];
            let remote = self.local_zone.is_some_and(|local| local != zone);
            let partition = if remote { REMOTE } else { LOCAL };
            partition_ranks[partition] =
                lower_bound_from(&self.partitions[partition], partition_ranks[partition], endpoint.id);
            endpoint.rank = rank;
            endpoint.partition = partition;
            endpoint.partition_rank = partition_ranks[partition];
        }
    }

    /// Computes the members' capacity, and drops members that are warm and in service from the degraded ones.
    pub(super) fn capacity(&mut self, rules: &Rules, now_ms: f64) -> Capacity {
        self.rank_degraded();
        self.degraded
            .retain(|e| e.ejected_until_ms > 0.0 || rules.warm_up_progress(e.started_at_ms, now_ms) < 1.0);
        let mut total = OrderedSum::default();
        let mut in_service = [OrderedSum::default(); 2];
        for endpoint in &self.degraded {
            let capacity = rules.warm_up_fraction(endpoint.started_at_ms, now_ms);
            total.add(endpoint.rank, capacity);
            let serving = if now_ms >= endpoint.ejected_until_ms { capacity } else { 0.0 };
            in_service[endpoint.partition].add(endpoint.partition_rank, serving);
        }
        let in_service = [LOCAL, REMOTE].map(|i| in_service[i].total(self.partitions[i].len()));
        Capacity { total: total.total(self.members.len()), in_service }
    }

    /// Returns the members that were warming up when the capacity was last computed, including ejected ones
    /// whose process is warm by now.
    pub(super) fn warming_up(&self) -> impl Iterator<Item = &DegradedEndpoint> {
        self.degraded.iter().filter(|e| e.started_at_ms > 0.0)
    }

    /// Returns the sum of the members' weights and the largest route table weight among them.
    pub(super) fn weight_sums(&self) -> WeightSums {
        let mut sum = OrderedSum::default();
        let mut max_weighted = 0.0_f64;
        for (id, weights) in &self.weighted {
            sum.add(self.members.partition_point(|other| other < id), weights.total);
            max_weighted = max_weighted.max(weights.route);
        }
        let others = if self.weighted.len() < self.members.len() { 1.0 } else { 0.0 };
        WeightSums { total: sum.total(self.members.len()), max_route: max_weighted.max(others) }
    }
}
