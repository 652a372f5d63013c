//! The backends that take work, in order, and sums over them, kept up to date as news comes: the passing of
//! time costs what is cold or out of service, and not what is listed.

use super::ordered_sum::{OrderedSum, place_from};
use super::state::{Backend, Capacity, Exception, Roster};
use crate::interface::*;

impl Roster {
    /// Nobody yet. `home` is this copy's zone, where leaving it has a price.
    pub(super) fn at(home: Option<u16>) -> Self {
        Roster { home, ..Roster::default() }
    }

    pub(super) fn has(&self, id: BackendId) -> bool {
        self.members.binary_search(&id).is_ok()
    }

    pub(super) fn zone_count(&self) -> usize {
        self.zone_sizes.len()
    }

    pub(super) fn ejected_count(&self) -> usize {
        self.exceptions.iter().filter(|e| e.ejected_until > 0.0).count()
    }

    /// Has no members any more; what is doubted or has changed stays noted.
    pub(super) fn clear(&mut self) {
        let (changed, doubted) = (std::mem::take(&mut self.changed), std::mem::take(&mut self.doubted));
        *self = Roster { changed, doubted, moved: true, ..Roster::at(self.home) };
    }

    /// Takes a backend in anew, if it takes work.
    pub(super) fn place(&mut self, id: BackendId, backend: Option<&Backend>) {
        self.remove(id);
        let Some(b) = backend.filter(|b| b.entry.phase == Phase::Ready) else { return };
        let Err(rank) = self.members.binary_search(&id) else { return };
        let zone = b.entry.zone;
        self.members.insert(rank, id);
        self.zones.insert(rank, zone);
        let part = &mut self.parts[usize::from(self.home.is_some_and(|home| home != zone))];
        part.insert(part.partition_point(|other| *other < id), id);
        *self.zone_sizes.entry(zone).or_default() += 1;
        if b.weight() != 1.0 || b.route != 1.0 {
            self.uneven.insert(id, [b.weight(), b.route]);
        }
        (self.moved, self.ranked) = (true, false);
        self.note_service(id, b);
    }

    fn remove(&mut self, id: BackendId) {
        let Ok(rank) = self.members.binary_search(&id) else { return };
        self.members.remove(rank);
        let zone = self.zones.remove(rank);
        for part in &mut self.parts {
            if let Ok(at) = part.binary_search(&id) {
                part.remove(at);
            }
        }
        if let Some(size) = self.zone_sizes.get_mut(&zone) {
            *size -= 1;
        }
        self.zone_sizes.retain(|_, size| *size > 0);
        if let Ok(at) = self.exceptions.binary_search_by_key(&id, |e| e.id) {
            self.exceptions.remove(at);
        }
        self.uneven.remove(&id);
        (self.moved, self.ranked) = (true, false);
    }

    /// A member went out of service, or came back, or is new.
    pub(super) fn note_service(&mut self, id: BackendId, b: &Backend) {
        if !self.has(id) {
            return;
        }
        let (started_at, ejected_until) = (b.entry.started_at_ms, b.ejected_until);
        let found = self.exceptions.binary_search_by_key(&id, |e| e.id);
        let was = found.is_ok_and(|at| self.exceptions[at].ejected_until > 0.0);
        self.moved |= was != b.ejected();
        match found {
            Ok(at) => self.exceptions[at].ejected_until = ejected_until,
            Err(at) if b.ejected() || started_at > 0.0 => {
                let new = Exception { id, started_at, ejected_until, rank: 0, part: 0, rank_in_part: 0 };
                self.exceptions.insert(at, new);
                self.ranked = false;
            }
            Err(_) => {}
        }
    }

    fn rank(&mut self) {
        if std::mem::replace(&mut self.ranked, true) {
            return;
        }
        let (mut rank, mut ranks_in_parts) = (0, [0; 2]);
        for e in &mut self.exceptions {
            rank = place_from(&self.members, rank, e.id);
            let part = usize::from(self.home.is_some_and(|home| home != self.zones[rank]));
            ranks_in_parts[part] = place_from(&self.parts[part], ranks_in_parts[part], e.id);
            (e.rank, e.part, e.rank_in_part) = (rank, part, ranks_in_parts[part]);
        }
    }

    /// What the members bear. A member that is warm and in service is an exception no longer.
    pub(super) fn capacity(&mut self, rules: &Rules, now: f64) -> Capacity {
        self.rank();
        self.exceptions.retain(|e| e.ejected_until > 0.0 || rules.grown(e.started_at, now) < 1.0);
        let (mut all, mut parts) = (OrderedSum::default(), [OrderedSum::default(); 2]);
        for e in &self.exceptions {
            let warmth = rules.warmth(e.started_at, now);
            all.add(e.rank, warmth);
            let serving = if now >= e.ejected_until { warmth } else { 0.0 };
            parts[e.part].add(e.rank_in_part, serving);
        }
        let parts = [0, 1].map(|i| parts[i].total(self.parts[i].len()));
        Capacity { all: all.total(self.members.len()), parts }
    }

    /// Those that were cold when the capacity was last asked for, each with its part and its place there.
    pub(super) fn cold(&self) -> impl Iterator<Item = (BackendId, usize, usize)> {
        self.exceptions.iter().filter(|e| e.started_at > 0.0).map(|e| (e.id, e.part, e.rank_in_part))
    }

    /// Sum of the members' weights, and the heaviest weight of the route table among them.
    pub(super) fn weights(&self) -> (f64, f64) {
        let (mut sum, mut heaviest) = (OrderedSum::default(), 0.0_f64);
        for (id, [weight, route]) in &self.uneven {
            sum.add(self.members.partition_point(|other| other < id), *weight);
            heaviest = heaviest.max(*route);
        }
        let others = if self.uneven.len() < self.members.len() { 1.0 } else { 0.0 };
        (sum.total(self.members.len()), heaviest.max(others))
    }
}

impl Rules {
    /// How far a backend is on its way from cold to warm, from 0 to 1.
    fn grown(&self, started_at: f64, now: f64) -> f64 {
        if started_at > 0.0 { ((now - started_at) / self.warm_up_ms.max(1.0)).clamp(0.0, 1.0) } else { 1.0 }
    }

    /// Capacity that a backend surely has by now, as a share of its full one.
    pub(super) fn warmth(&self, started_at: f64, now: f64) -> f64 {
        let grown = self.grown(started_at, now);
        self.initial_capacity.min(1.0) * (1.0 - grown) + grown
    }
}
