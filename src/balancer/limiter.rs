//! The concurrency limit, learned in windows of answers from what they waited and what was in flight.

use super::state::{Latency, Limiter};

const AIM_SHARE: f64 = 0.4; // mean latency over the aim at which the limit is full: half may be slower
const TOLERANCE: f64 = 1.3; // but under this multiple of its class's baseline chance alone would cut
const DEPTH: f64 = 100.0; // samples that a mean latency covers
/// One answer weighs at most so many means: heavy tails are the work's, not the queue's.
pub(super) const CLIP: f64 = 6.0;
const DROP_SHARE: f64 = 0.05; // share of drops that calls for a smaller limit: fewer are single bad picks
pub(super) const WINDOW: f64 = 10.0; // answers that a window of the limiter needs at the least
const STEP: [f64; 2] = [0.7, 1.5]; // the limit moves by no more in a window, which may be chance
const QUEUED: f64 = 2.0; // multiple of the baseline at which answers and calls in flight both tell of a queue
const TOGETHER: f64 = 3.0; // calls that chance alone brings together at the thinnest traffic
const SPARE: f64 = 1.5; // a queue leaves the limit so many times what the best rate needs, and its root
const NO_QUEUE: f64 = 0.1; // part of the target up to which longer waits are jitter and no queue
pub(super) const LEARN_MS: [f64; 2] = [2000.0, 60_000.0]; // for a higher rate of answers, and for a lower one

impl Latency {
    /// The mean latency at which the limit is full.
    pub(super) fn target(&self) -> f64 {
        (AIM_SHARE * self.aim).max(TOLERANCE * self.base).max(1.0)
    }
    pub(super) fn sample(&mut self, wait: f64) {
        self.samples = (self.samples + 1.0).min(DEPTH);
        self.mean += (wait.min(CLIP * self.mean.max(wait / self.samples)) - self.mean) / self.samples;
        if self.mean < self.base || self.samples < WINDOW {
            self.base = self.mean;
        }
    }
}

impl Limiter {
    /// Mean time of an answer, with one that took the longest aim counted in: the first are the quick ones.
    pub(super) fn answer_time(&self) -> f64 {
        let longest = self.classes.iter().map(|c| c.aim).fold(1.0, f64::max);
        let waited = self.classes.iter().map(|c| c.mean * c.samples).sum::<f64>() + longest;
        (waited / (1.0 + self.classes.iter().map(|c| c.samples).sum::<f64>())).max(1.0)
    }
    pub(super) fn update(&mut self, passed: f64, warm: f64) {
        self.elapsed += passed;
        self.warm = self.warm.max(warm);
        self.flight += passed * self.classes.iter().map(|c| c.busy).sum::<f64>();
        self.area += passed * self.classes.iter().map(|c| c.busy / c.target()).sum::<f64>();
        if self.answers + self.drops + self.timeouts < WINDOW || self.elapsed < self.mean {
            return;
        }
        let n = self.answers.max(1.0);
        let (load, seen) = (self.area / n, self.ratios / n);
        self.rate = self.answers / self.elapsed;
        // What was served while more of them were warm says nothing of those that are cold now.
        self.member_rate = self.served / self.elapsed / self.warm.max(1.0);
        let pace = (self.elapsed / LEARN_MS[usize::from(self.rate < self.best)]).min(1.0);
        self.best =
            if self.rate > 2.0 * self.best { self.rate } else { self.best + (self.rate - self.best) * pace };
        let busy: f64 = self.classes.iter().map(|c| c.busy).sum();
        // Time-outs are drops only while answers are slow too: lost ones alone would cut it to nothing.
        let drops = self.drops + if seen > 1.0 || self.answers == 0.0 { self.timeouts } else { 0.0 };
        let dropped = drops / (n + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt());
        let mut cut: f64 = if dropped > DROP_SHARE { 1.0 - dropped / 2.0 } else { 1.0 };
        // A cut needs both views: silent backends swell the calls in flight but slow no answer, a queue does
        // both. Growth needs both as well: the first answers are the quick ones. Few answers move little.
        let sure = load.min(seen) * (1.0 - 1.0 / n.sqrt());
        cut = cut.min(1.0 / sure.max(1.0).sqrt());
        // What is in flight beyond the best rate at the baseline's latency waits in the backends' queues, and
        // crowded ones slow down. Few calls come and go by chance: their root is spared.
        let queued = seen > NO_QUEUE && self.flight.min(self.waits) > QUEUED * self.bases;
        if queued {
            let needed = self.best * self.bases / n;
            self.total = self.total.min(SPARE * needed + needed.sqrt()).max(TOGETHER);
        }
        if cut < 1.0 {
            self.total = (self.total * cut.max(STEP[0])).max(1.0);
        } else if !queued && self.used && load.max(seen) < 1.0 {
            self.total *= (1.0 / load.max(seen).max(0.01).sqrt()).min(STEP[1]);
        }
        // The baseline creeps up to what is seen: fast while there is slack, slowly under load.
        let creep = if busy < 0.5 * self.total { 0.1 } else { 0.01 };
        self.classes.iter_mut().for_each(|c| c.base += (c.mean - c.base) * creep);
        (self.elapsed, self.area, self.answers, self.ratios) = (0.0, 0.0, 0.0, 0.0);
        (self.drops, self.timeouts, self.used) = (0.0, 0.0, false);
        (self.flight, self.waits, self.bases) = (0.0, 0.0, 0.0);
        (self.served, self.warm) = (0.0, warm);
    }
}
