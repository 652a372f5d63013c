//! The subset of endpoints that this instance sends to, sized by its load. In each zone partition's ordered
//! ring of endpoints it takes the segment from this instance's position onwards until enough endpoints in
//! service are included. It is resized on each tick and when endpoints or instances change; it widens at once
//! and narrows slowly.

use super::Balancer;
use super::endpoint_set::{Capacity, LOCAL, REMOTE};
use crate::interface::BackendId;

/// Minimum number of endpoints: enough for two candidates when one or two are out of service.
const MIN_ENDPOINTS: f64 = 5.0;
/// Number of this instance's calls in flight per endpoint above which the subset widens.
const CALLS_PER_ENDPOINT: f64 = 1.0;
/// Minimum mean number of instances that share an endpoint, so that no endpoint depends on a single instance.
pub(super) const MIN_INSTANCES_PER_ENDPOINT: f64 = 2.0;
/// Share by which the subset narrows per second. Connections are costly, so it does not follow each dip in
/// load.
const NARROWING_PER_S: f64 = 0.03;

/// The subset's part of a zone partition.
#[derive(Default)]
pub(super) struct Segment {
    /// Index in the partition at which the segment starts.
    start: usize,
    /// Number of endpoints in service that the segment should hold.
    target_len: f64,
    /// Number of endpoints that the segment holds, in service or not.
    pub(super) len: usize,
}

/// The subset of endpoints that this instance sends to.
#[derive(Default)]
pub(super) struct Subset {
    pub(super) members: Vec<BackendId>,
    /// Segments of the local zone and of the other zones, in the order of the members.
    pub(super) segments: [Segment; 2],
    /// Number of endpoints in service that the subset should hold, before the division by zone.
    pub(super) width: f64,
}

impl Segment {
    /// Returns the index within the segment of the endpoint at `rank` in a partition of `partition_len`
    /// endpoints, or `None` if the segment does not hold it.
    pub(super) fn index_of(&self, rank: usize, partition_len: usize) -> Option<usize> {
        let index = (rank + partition_len - self.start % partition_len) % partition_len;
        (index < self.len).then_some(index)
    }
}

impl Balancer {
    /// Resizes the subset, and scales the concurrency limit with the tier's capacity.
    ///
    /// Too few endpoints concentrate the load; too many cost connections. Inputs: the peak of the calls in
    /// flight and the numbers of endpoints and instances. `passed_ms` is the time since the last tick, or 0
    /// when called between ticks.
    pub(super) fn resize_subset(&mut self, now_ms: f64, passed_ms: f64) {
        let capacity = self.endpoint_set.capacity(&self.settings.rules, now_ms);
        self.scale_limit_with_capacity(capacity.total);
        let size = self.endpoint_set.members.len() as f64;
        let for_load = self.admission.peak_in_flight / CALLS_PER_ENDPOINT;
        let for_overlap = MIN_INSTANCES_PER_ENDPOINT * size / self.fleet_share.divisor;
        let wanted = for_load.max(for_overlap).max(MIN_ENDPOINTS);
        let narrowed = self.subset.width * (1.0 - NARROWING_PER_S * passed_ms / 1000.0);
        self.subset.width = wanted.max(narrowed).min(size);
        self.spill_missing_capacity(&capacity, size);
        let spilled = self.zone_spill.fraction;
        let segments = [self.segment(LOCAL, 1.0 - spilled), self.segment(REMOTE, spilled)];
        self.fill_subset(segments);
    }

    /// Scales the concurrency limit with the tier's capacity: it shrinks when an endpoint leaves and grows
    /// again with the endpoint's successor.
    fn scale_limit_with_capacity(&mut self, capacity: f64) {
        if capacity > 0.0 {
            let before = std::mem::replace(&mut self.warm_up.tier_capacity, capacity);
            self.concurrency_limit.scale(capacity / before);
        }
    }

    /// Raises the spill fraction at once to the share of the zone's capacity that its endpoints lack.
    ///
    /// Where crossing zones has a price, calls would otherwise stay in a zone whose endpoints are new or
    /// ejected until latency shows it, when the remaining ones are already overloaded. Endpoints that are due
    /// for a trial count as capacity.
    fn spill_missing_capacity(&mut self, capacity: &Capacity, size: f64) {
        let [local, remote] = capacity.in_service;
        let (zones, total) = (self.endpoint_set.zone_count() as f64, local + remote);
        let missing_capacity = if total > 0.0 { 1.0 - zones * local / total } else { 0.0 };
        let [local_len, remote_len] = self.endpoint_set.partitions.each_ref().map(Vec::len);
        let missing_endpoints = 1.0 - local_len as f64 / MIN_ENDPOINTS.min(size.max(1.0));
        let missing = missing_capacity.max(missing_endpoints);
        self.zone_spill.fraction = if remote_len == 0 { 0.0 } else { self.zone_spill.fraction.max(missing) };
    }

    /// Returns the segment, not filled yet, that a share of the calls needs in a partition.
    fn segment(&self, partition: usize, share: f64) -> Segment {
        let partition_len = self.endpoint_set.partitions[partition].len();
        Segment {
            start: self.fleet_share.segment_start(partition_len),
            target_len: (self.subset.width * share).ceil().max(MIN_ENDPOINTS),
            len: 0,
        }
    }

    /// Fills the subset from the given segments if they differ from the current ones.
    fn fill_subset(&mut self, segments: [Segment; 2]) {
        let is_same =
            |(old, new): (&Segment, &Segment)| old.start == new.start && old.target_len == new.target_len;
        let outdated = std::mem::take(&mut self.endpoint_set.subset_outdated);
        if !outdated && self.subset.segments.iter().zip(&segments).all(is_same) {
            return;
        }
        self.subset.members.clear();
        self.subset.segments = segments;
        let any_ejected = self.endpoint_set.ejected_count() > 0;
        for (partition, segment) in self.endpoint_set.partitions.iter().zip(&mut self.subset.segments) {
            let before = self.subset.members.len();
            let mut missing = segment.target_len;
            let mut ring = (0..partition.len()).map(|i| partition[(segment.start + i) % partition.len()]);
            while let Some(id) = ring.next().filter(|_| missing > 0.0) {
                self.subset.members.push(id);
                if !(any_ejected && self.endpoints[&id].ejected()) {
                    missing -= 1.0;
                }
            }
            segment.len = self.subset.members.len() - before;
        }
        self.outliers.median_outdated = true;
    }

    /// Returns an endpoint's index in the subset, or `None` if it is not a member.
    pub(super) fn subset_index(&self, id: BackendId) -> Option<usize> {
        let mut before = 0;
        for (partition, segment) in self.endpoint_set.partitions.iter().zip(&self.subset.segments) {
            if let Ok(rank) = partition.binary_search(&id) {
                return segment.index_of(rank, partition.len()).map(|index| before + index);
            }
            before += segment.len;
        }
        None
    }
}
