//! The load-sized subset of the tier, and what of the calls leaves the zone.

use super::Balancer;
use super::list::OVERLAP;
use super::state::Segment;
use crate::interface::*;

const MIN_SUBSET: f64 = 5.0; // room for two picks when a member or two are out
const CALLS_PER_MEMBER: f64 = 1.0; // own calls that a member carries before the subset widens
const NARROW_PER_S: f64 = 0.03; // connections cost, so the subset does not follow every lull
pub(super) const CROSS_CHEAP: f64 = 0.01; // a price of crossing up to which pooling all zones is worth more

impl Segment {
    /// The place here of who has that rank in a part of that length.
    pub(super) fn seat(&self, rank: usize, length: usize) -> Option<usize> {
        let seat = (rank + length - self.from % length) % length;
        (seat < self.taken).then_some(seat)
    }
}

impl Balancer {
    /// The subset: from this copy's place in the roster onwards until enough healthy ones are in.
    pub(super) fn resize(&mut self, now: f64, passed: f64) {
        // The limit follows what the list surely bears: who leaves takes a part, a successor brings it back.
        let capacity = self.roster.capacity(&self.s.rules, now);
        let capable = capacity.all;
        let part = if capable > 0.0 { capable / std::mem::replace(&mut self.capacity, capable) } else { 1.0 };
        self.limiter.total *= part;
        self.limiter.best *= part;
        let size = self.roster.members.len() as f64;
        let want = (self.peak / CALLS_PER_MEMBER).max(OVERLAP * size / self.fleet).max(MIN_SUBSET);
        self.width = want.max(self.width * (1.0 - NARROW_PER_S * passed / 1000.0)).min(size);
        // Where crossing has a price, only what is spilt or the smallest subset lacks leaves the zone. Each
        // zone gets its part of the calls; what its members, new or ill, bear less than that is spilt at
        // once: latency tells only once the rest of them are crowded. Those due for a trial count.
        let [within, beyond] = capacity.parts;
        let (zones, all) = (self.roster.zone_count() as f64, within + beyond);
        let uneven = if all > 0.0 { 1.0 - zones * within / all } else { 0.0 };
        let [near, far] = self.roster.parts.each_ref().map(Vec::len);
        let lacking = uneven.max(1.0 - near as f64 / MIN_SUBSET.min(size.max(1.0)));
        self.spill = if far == 0 { 0.0 } else { self.spill.max(lacking) };
        let segment = |length: usize, share: f64| Segment {
            from: (self.place[0] * length as f64 / self.place[1]) as usize,
            healthy: (self.width * share).ceil().max(MIN_SUBSET),
            taken: 0,
        };
        self.draw_subset([segment(near, 1.0 - self.spill), segment(far, self.spill)]);
    }

    /// Fills the subset, if it is not the one that is there.
    fn draw_subset(&mut self, segments: [Segment; 2]) {
        let same = |(old, new): (&Segment, &Segment)| old.from == new.from && old.healthy == new.healthy;
        if !std::mem::take(&mut self.roster.moved) && self.segments.iter().zip(&segments).all(same) {
            return;
        }
        self.subset.clear();
        self.segments = segments;
        let any_ejected = self.roster.ejected_count() > 0;
        for (part, segment) in self.roster.parts.iter().zip(&mut self.segments) {
            let (before, mut missing) = (self.subset.len(), segment.healthy);
            let mut members = (0..part.len()).map(|i| part[(segment.from + i) % part.len()]);
            while let Some(id) = members.next().filter(|_| missing > 0.0) {
                self.subset.push(id);
                missing -= f64::from(u8::from(!(any_ejected && self.backends[&id].ejected())));
            }
            segment.taken = self.subset.len() - before;
        }
        self.slowness_moved = true;
    }

    /// A backend's place in the subset.
    pub(super) fn seat(&self, id: BackendId) -> Option<usize> {
        let mut before = 0;
        for (part, segment) in self.roster.parts.iter().zip(&self.segments) {
            if let Ok(rank) = part.binary_search(&id) {
                return segment.seat(rank, part.len()).map(|seat| before + seat);
            }
            before += segment.taken;
        }
        None
    }
}
