//! Replays of one table, one for each seed, on as many threads as are given. What comes out does not depend on these.

use super::Job;
use super::model::Model;
use super::recorded_traffic::RecordedTraffic;
use super::simulation::Simulation;
use super::tally::Tally;
use crate::route_table::Weights;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

pub(super) struct Runs<'a> {
    pub job: &'a Job,
    pub records: &'a RecordedTraffic,
    pub model: &'a Model,
    pub warm: f64,
    pub progress: &'a dyn Fn(f64),
    pub cancelled: &'a dyn Fn() -> bool,
}

impl Runs<'_> {
    /// All seeds under these weights; `None` when cancelled. Progress goes from `from` to `to`.
    pub fn all(&self, weights: &Weights, from: f64, to: f64) -> Option<Vec<Tally>> {
        let (records, model, warm, first) = (self.records, self.model, self.warm, self.job.seed);
        let of = |b: &super::Listed| weights.of(&b.host, &b.class, &b.zone);
        let weights: Vec<f64> = records.backends.iter().map(of).collect();
        let seeds = self.job.seeds.max(1);
        let (next, stopped) = (AtomicUsize::new(0), AtomicBool::new(false));
        let done: Vec<Mutex<Option<Tally>>> = (0..seeds).map(|_| Mutex::new(None)).collect();
        let work = |stop: &dyn Fn(f64) -> bool| loop {
            let i = next.fetch_add(1, Relaxed);
            if i >= seeds || stopped.load(Relaxed) {
                return;
            }
            let played =
                Simulation::new(records, model, &weights, first.wrapping_add(i as u64), warm).run(stop);
            if let Ok(mut place) = done[i].lock() {
                *place = played;
            }
        };
        std::thread::scope(|scope| {
            for _ in 1..self.job.threads.min(seeds) {
                scope.spawn(|| work(&|_| stopped.load(Relaxed)));
            }
            // The caller's thread takes part, and is the one that its closures are called on.
            work(&|part| {
                let begun = next.load(Relaxed).min(seeds) as f64;
                (self.progress)(from + (to - from) * (begun - 1.0 + part).max(0.0) / seeds as f64);
                if (self.cancelled)() {
                    stopped.store(true, Relaxed);
                }
                stopped.load(Relaxed)
            });
        });
        done.into_iter().map(|place| place.into_inner().ok().flatten()).collect()
    }
}
