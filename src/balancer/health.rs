//! What outcomes say of a backend and of the limit, and who is out of service.

use super::Balancer;
use super::limiter::{CLIP, WINDOW};
use super::state::Backend;
use crate::interface::*;

const ERROR_STEP: f64 = 0.125; // weight of one outcome in an error rate
const ERROR_EJECT: f64 = 0.35; // error rate at which a backend is left ...
const PROVED: f64 = 0.5; // error rate that one failed connect alone does not reach
const ERROR_RATIO: f64 = 3.0; // ... if it is so many times the others', else the trouble is shared
const SLOW_EJECT: f64 = 2.5; // mean latency, over all backends', at which one is left to recover
const SLOW_DEPTH: f64 = 24.0; // answers that a slowness covers ...
const SLOW_PRIOR: f64 = 4.0; // ... beside so many of a backend like the others
const SURE: f64 = 2.6; // deviations of chance that a slowness must exceed to count
const FAST: f64 = 1.7; // and by which one counts as faster
const LAG: f64 = 8.0; // turns that one waits longer which is nearly sure to be slow
const EVEN: f64 = 0.04; // scatter that even the most regular work is taken to have
const SCATTER_DEPTH: f64 = 200.0; // answers that the scatter of latencies covers
const EJECT_MS: f64 = 2000.0; // first time out of service; doubles up to 8 times with each failed trial
const MAX_EJECTED: f64 = 0.5; // share of the list out of service beyond which the illness is nobody's own

const MIN_WEIGHT: f64 = 0.01; // of a backend that the list gives none

impl Backend {
    pub(super) fn ejected(&self) -> bool {
        self.ejected_until > 0.0
    }
    /// Its part of the calls beside the others': its size, and what the route table makes of it.
    pub(super) fn weight(&self) -> f64 {
        self.entry.weight.max(MIN_WEIGHT) * self.route
    }
    /// Capacity that it surely has by now, as a share of its full one.
    pub(super) fn warmth(&self, rules: &Rules, now: f64) -> f64 {
        rules.warmth(self.entry.started_at_ms, now)
    }
}

impl Balancer {
    /// How many times slower than the others a backend is, and how many deviations of chance lie between.
    fn slowness_seen(&self, b: &Backend) -> (f64, f64) {
        let chance = (self.scatter.max(EVEN) * b.seen.max(1.0)).sqrt() / (b.seen + SLOW_PRIOR);
        let slow = b.slow / self.usual;
        (slow, (slow - 1.0) / chance)
    }

    /// How many times slower than the others a backend surely is.
    pub(super) fn slowness(&self, b: &Backend) -> f64 {
        let (slow, sure) = self.slowness_seen(b);
        if (-FAST..=SURE).contains(&sure) { 1.0 } else { slow }
    }

    /// When it is a backend's turn. One that seems slow waits longer, the surer the more: when it has made up
    /// for that, a few more answers tell whether it was chance.
    pub(super) fn due(&self, b: &Backend) -> f64 {
        b.turn + LAG * (self.slowness_seen(b).1 / SURE).clamp(0.0, 1.0).powi(2)
    }

    /// What an outcome says of its backend and of the limit.
    pub(super) fn judge(&mut self, now: f64, e: &Resolved, class: usize, sent: f64) {
        let Some(b) = self.backends.get_mut(&e.backend) else { return };
        if let Some(i) = b.calls.iter().position(|&call| call == (e.request, sent)) {
            b.calls.remove(i);
        }
        let l = &mut self.limiter;
        if matches!(e.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            (b.heard, self.heard) = (now, now);
            l.answers += f64::from(u8::from(e.outcome != Outcome::Rejected));
        }
        let unreachable = f64::from(u8::from(e.outcome == Outcome::ConnectFailed));
        let ok = e.outcome == Outcome::Ok;
        match e.outcome {
            // A call that its client gave up took longer still. It speaks of its backend and zone,
            // not of the limit, which silent backends would cut.
            Outcome::Ok | Outcome::Cancelled if ok || e.latency_ms > l.classes[class].mean => {
                let c = &mut l.classes[class];
                if ok {
                    c.sample(e.latency_ms);
                    l.served += 1.0;
                    l.ratios += (e.latency_ms / c.target()).min(CLIP);
                    l.waits += e.latency_ms.min(CLIP * c.target());
                    l.bases += c.base;
                }
                let over = &mut self.excess[usize::from(b.entry.zone != self.s.zone)];
                *over += ((e.latency_ms - c.base) / c.aim - *over) * 0.1;
                l.mean += (e.latency_ms - l.mean) * if l.mean == 0.0 { 1.0 } else { 0.02 };
                b.seen = (b.seen + 1.0).min(SLOW_DEPTH);
                let ratio = (e.latency_ms / c.mean.max(0.001)).min(CLIP);
                self.slowness_moved = true;
                self.scatter += ((ratio / b.slow - 1.0).powi(2) - self.scatter) / SCATTER_DEPTH;
                b.slow += (ratio - b.slow) / (b.seen + SLOW_PRIOR);
                if ok {
                    self.error -= self.error * 0.02;
                    b.error -= b.error * if b.ejected() { 0.5 } else { ERROR_STEP };
                }
                if ok && b.ejected() && b.error < 0.15 && ratio < SLOW_EJECT / 2.0 {
                    (b.ejected_until, b.ejections, b.slow, b.seen) = (0.0, 0, ratio, 0.0);
                    self.roster.note_service(e.backend, b);
                } else if now >= b.ejected_until && b.slow > SLOW_EJECT && b.seen > 8.0 {
                    self.eject(now, e.backend); // one that is overdriven recovers only when left alone
                }
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                // A backend that is down says nothing of the load: only one that is else well does.
                l.drops += if b.error < ERROR_STEP { unreachable } else { 0.0 };
                b.error += (1.0 - b.error) * ERROR_STEP * (1.0 + 2.0 * unreachable);
                self.error += (1.0 - self.error) * 0.02;
                let others = (ERROR_RATIO * self.error).min((1.0 + self.error) / 2.0);
                if b.unlisted.is_some() && unreachable > 0.0 && b.error > PROVED {
                    // Not in the list and not to be connected to: two witnesses.
                    (b.entry.phase, b.unlisted) = (Phase::Gone, None);
                    self.roster.changed.insert(e.backend);
                    self.roster.doubted.remove(&e.backend);
                } else if b.ejected() || b.error > others.max(ERROR_EJECT) {
                    self.eject(now, e.backend);
                }
            }
            Outcome::Rejected => l.drops += 1.0,
            Outcome::Timeout => l.timeouts += f64::from(u8::from(!b.ejected())),
            _ => {}
        }
    }

    /// Takes a backend out of service, unless so many are out that the illness must be shared.
    pub(super) fn eject(&mut self, now: f64, id: BackendId) {
        let out = self.roster.ejected_count() as f64;
        let Some(b) = self.backends.get_mut(&id) else { return };
        if !b.ejected() && out + 1.0 > (self.roster.members.len() as f64 * MAX_EJECTED).max(1.0) {
            return;
        }
        b.ejected_until = now + EJECT_MS * f64::from(1 << b.ejections.min(3));
        b.ejections += 1;
        self.roster.note_service(id, b);
        self.unpin(now, id, 0.0); // a backend out of service pins no slots
    }

    /// Calls that have been out for so many means of their class count against the limit no longer.
    pub(super) fn unpin(&mut self, now: f64, id: BackendId, means: f64) {
        for (request, sent) in self.backends[&id].calls.clone() {
            let Some(r) = self.requests.get_mut(&request) else { continue };
            let (class, slice, l) = (r.class, r.slice, &self.limiter.classes[r.class]);
            let long = now - sent >= means * if l.samples < WINDOW { l.aim } else { l.mean };
            let call = r.attempts.iter_mut().find(|a| a.backend == id && a.sent == sent && a.out && long);
            let counted = call.is_some_and(|a| std::mem::take(&mut a.counted));
            self.count(class, slice, -f64::from(u8::from(counted)));
        }
    }
}
