//! The subset: the endpoints that this instance sends to, as many as its load needs.
//!
//! It is a segment of each zone partition's ordered ring of endpoints, from this instance's position onwards
//! until enough endpoints in service are in. It is sized again on each tick and when endpoints or instances
//! change; it widens at once and narrows slowly.

use super::Balancer;
use super::endpoint_set::{Capacity, LOCAL, REMOTE};
use crate::interface::BackendId;

/// Fewest endpoints: enough for two candidates when one or two are out of service.
const MIN_ENDPOINTS: f64 = 5.0;
/// Calls of this instance that an endpoint carries before the subset widens.
const CALLS_PER_ENDPOINT: f64 = 1.0;
/// Instances that share an endpoint at least, so that none depends on a single one.
pub(super) const MIN_INSTANCES_PER_ENDPOINT: f64 = 2.0;
/// Share by which the subset narrows in a second: connections cost, so it does not follow each dip in load.
const NARROWING_PER_S: f64 = 0.03;

/// The subset's part of a zone partition.
#[derive(Default)]
pub(super) struct Segment {
    /// Index in the partition where it starts.
    start: usize,
    /// Endpoints in service that it is to hold.
    wanted: f64,
    /// Endpoints that it holds.
    pub(super) taken: usize,
}

/// The endpoints that this instance sends to.
#[derive(Default)]
pub(super) struct Subset {
    pub(super) members: Vec<BackendId>,
    /// Local zone and other zones, in the order of the members.
    pub(super) segments: [Segment; 2],
    /// Endpoints in service that it is to hold, before the division by zone.
    pub(super) width: f64,
}

impl Segment {
    /// Index in the segment of the endpoint with that rank in a partition of that length.
    pub(super) fn index_of(&self, rank: usize, partition_len: usize) -> Option<usize> {
        let index = (rank + partition_len - self.start % partition_len) % partition_len;
        (index < self.taken).then_some(index)
    }
}

impl Balancer {
    /// Sizes the subset anew, and scales the concurrency limit with the tier's capacity.
    ///
    /// Failure: too few endpoints concentrate the load, too many cost connections. Inputs: peak of the calls
    /// in flight, endpoints, instances; `passed_ms` is the time since the last tick, 0 between ticks.
    pub(super) fn resize_subset(&mut self, now_ms: f64, passed_ms: f64) {
        let capacity = self.endpoint_set.capacity(&self.settings.rules, now_ms);
        self.follow_capacity(capacity.total);
        let size = self.endpoint_set.members.len() as f64;
        let for_load = self.admission.peak_in_flight / CALLS_PER_ENDPOINT;
        let for_overlap = MIN_INSTANCES_PER_ENDPOINT * size / self.fleet_share.divisor;
        let wanted = for_load.max(for_overlap).max(MIN_ENDPOINTS);
        let narrowed = self.subset.width * (1.0 - NARROWING_PER_S * passed_ms / 1000.0);
        self.subset.width = wanted.max(narrowed).min(size);
        self.spill_missing_capacity(&capacity, size);
        let spilled = self.zone_spill.fraction;
        let segments = [self.segment(LOCAL, 1.0 - spilled), self.segment(REMOTE, spilled)];
        self.draw_subset(segments);
    }

    /// Scales the limit with the capacity: an endpoint that leaves takes its part of the limit with it, and
    /// its successor brings it back.
    fn follow_capacity(&mut self, capacity: f64) {
        if capacity > 0.0 {
            let before = std::mem::replace(&mut self.warm_up.tier_capacity, capacity);
            self.concurrency_limit.scale(capacity / before);
        }
    }

    /// Spills at once what the local zone's endpoints lack of the zone's part of the tier.
    ///
    /// Failure: where crossing zones has a price, calls stay in a zone whose endpoints are new or ejected
    /// until latency shows it, when the remaining ones are already overloaded. Endpoints that are due for a
    /// trial count as capacity.
    fn spill_missing_capacity(&mut self, capacity: &Capacity, size: f64) {
        let [local, remote] = capacity.in_service;
        let (zones, total) = (self.endpoint_set.zone_count() as f64, local + remote);
        let missing_capacity = if total > 0.0 { 1.0 - zones * local / total } else { 0.0 };
        let [local_len, remote_len] = self.endpoint_set.partitions.each_ref().map(Vec::len);
        let missing_endpoints = 1.0 - local_len as f64 / MIN_ENDPOINTS.min(size.max(1.0));
        let missing = missing_capacity.max(missing_endpoints);
        self.zone_spill.fraction = if remote_len == 0 { 0.0 } else { self.zone_spill.fraction.max(missing) };
    }

    /// The segment that a share of the calls needs in a partition.
    fn segment(&self, partition: usize, share: f64) -> Segment {
        let partition_len = self.endpoint_set.partitions[partition].len();
        Segment {
            start: self.fleet_share.start_in(partition_len),
            wanted: (self.subset.width * share).ceil().max(MIN_ENDPOINTS),
            taken: 0,
        }
    }

    /// Fills the subset, if it differs from the present one.
    fn draw_subset(&mut self, segments: [Segment; 2]) {
        let is_same = |(old, new): (&Segment, &Segment)| old.start == new.start && old.wanted == new.wanted;
        let redraw = std::mem::take(&mut self.endpoint_set.needs_redraw);
        if !redraw && self.subset.segments.iter().zip(&segments).all(is_same) {
            return;
        }
        self.subset.members.clear();
        self.subset.segments = segments;
        let any_ejected = self.endpoint_set.ejected_count() > 0;
        for (partition, segment) in self.endpoint_set.partitions.iter().zip(&mut self.subset.segments) {
            let before = self.subset.members.len();
            let mut missing = segment.wanted;
            let mut ring = (0..partition.len()).map(|i| partition[(segment.start + i) % partition.len()]);
            while let Some(id) = ring.next().filter(|_| missing > 0.0) {
                self.subset.members.push(id);
                if !(any_ejected && self.endpoints[&id].ejected()) {
                    missing -= 1.0;
                }
            }
            segment.taken = self.subset.members.len() - before;
        }
        self.outliers.median_outdated = true;
    }

    /// An endpoint's index in the subset.
    pub(super) fn subset_index(&self, id: BackendId) -> Option<usize> {
        let mut before = 0;
        for (partition, segment) in self.endpoint_set.partitions.iter().zip(&self.subset.segments) {
            if let Ok(rank) = partition.binary_search(&id) {
                return segment.index_of(rank, partition.len()).map(|index| before + index);
            }
            before += segment.taken;
        }
        None
    }
}
