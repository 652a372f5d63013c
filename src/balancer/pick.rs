//! Which backend gets the next attempt.

use super::Balancer;
use super::state::Request;
use crate::interface::*;

const DRAWS: [usize; 2] = [96, 12]; // draws by weight for one pick, and those that count
const BEHIND: f64 = 8.0; // turns that a backend can make up for
const LEAST: f64 = 1e-6; // a weight to divide by
const ERROR_COST: f64 = 8.0; // a failed call costs more than a slow one

impl Balancer {
    /// A call goes to a backend: its next turn comes the later the smaller its weight. Who was out for long
    /// has missed its turns and does not get them all at once.
    pub(super) fn take_turn(&mut self, id: BackendId) {
        let Some(b) = self.backends.get_mut(&id) else { return };
        let turn = b.turn.max(self.turn - BEHIND);
        self.turn = self.turn.max(turn);
        b.turn = turn + 1.0 / b.route.max(LEAST);
    }

    pub(super) fn fits(&self, now: f64, r: &Request, id: BackendId, trusting: bool) -> bool {
        let Some(b) = self.backends.get(&id).filter(|b| b.entry.phase == Phase::Ready) else { return false };
        let effect = self.s.classes[r.class].idempotency;
        // A backend out of service gets a trial, one repeatable request, once its time is up.
        let trial =
            effect != Idempotency::NonIdempotent && !r.coming && now >= b.ejected_until && b.calls.is_empty();
        let cold = b.warmth(&self.s.rules, now) < 1.0 && b.cold_tokens < 1.0;
        let closed = b.route <= 0.0 && !trusting; // the route table keeps it out, while others are left
        if cold
            || closed
            || b.ejected() && !trusting && !trial
            || r.attempts.last().is_some_and(|a| a.backend == id)
        {
            return false;
        }
        match (r.attempts.iter().find(|a| !a.never_ran), effect) {
            (Some(ran), Idempotency::Keyed { scope: DedupScope::Zone, .. }) => b.entry.zone == ran.place.0,
            (Some(ran), Idempotency::Keyed { scope: DedupScope::Cell, .. }) => b.entry.cell == ran.place.1,
            _ => true,
        }
    }

    /// Expected wait at a backend, beside its fellows: own calls, speed, errors, warmth; a trial is free.
    pub(super) fn cost(&self, now: f64, id: BackendId) -> f64 {
        let b = &self.backends[&id];
        let slow = self.slowness(b) * (1.0 + ERROR_COST * b.error) / b.warmth(&self.s.rules, now);
        let slow = if b.ejected() && b.calls.is_empty() { 0.0 } else { slow };
        let crossing =
            if b.entry.zone != self.s.zone && self.s.goal.cross_zone_price > 0.0 { 0.5 } else { 0.0 };
        (b.calls.len() as f64 * self.weight / b.weight().max(LEAST) + 1.0 + crossing) * slow
    }

    /// Two members of the subset that fit, drawn by weight; the cheaper one, of two alike the one whose turn
    /// it is. Past the subset only if none fits, and to backends out of service only if nothing else is left.
    pub(super) fn pick(&mut self, now: f64, id: RequestId) -> Option<BackendId> {
        let (r, mut rng, mut found) = (self.requests.get(&id)?, self.rng.clone(), None);
        let (near, far) = self.subset.split_at(self.segments[0].taken);
        let first = if near.is_empty() || rng.f64() < self.spill && !far.is_empty() { far } else { near };
        for (from, trusting) in
            [(first, false), (&self.subset, false), (&self.roster.members, false), (&self.subset, true)]
        {
            let draw = |_| {
                let id = from[rng.usize(..from.len())];
                let weight = self.backends[&id].route;
                (weight >= self.heaviest || rng.f64() * self.heaviest < weight).then_some(id)
            };
            let mut draws = (0..DRAWS[0] * from.len().min(1)).filter_map(draw).take(DRAWS[1]);
            let first = draws.find(|&c| self.fits(now, r, c, trusting));
            let other = draws.find(|&c| Some(c) != first && self.fits(now, r, c, trusting));
            let key = |id| (self.cost(now, id), self.due(&self.backends[&id]));
            let cheaper = |a, b| if key(b) < key(a) { b } else { a };
            found = first.map(|a| other.map_or(a, |b| cheaper(a, b)));
            if found.is_some() {
                break;
            }
        }
        self.rng = rng;
        found
    }
}
