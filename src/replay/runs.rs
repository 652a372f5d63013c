//! Runs the simulations of one table, one for each seed, in parallel. The results do not depend on the number of
//! threads.

use super::Job;
use super::model::Model;
use super::recorded_traffic::RecordedTraffic;
use super::simulation::Simulation;
use super::statistics::TrafficStatistics;
use crate::route_table::Weights;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

/// What the simulations of all tables of one evaluation have in common.
pub(super) struct Runs<'a> {
    pub job: &'a Job,
    pub records: &'a RecordedTraffic,
    pub model: &'a Model,
    /// Length (ms) of the warm-up, which the statistics leave out.
    pub warm_up_ms: f64,
    /// Called with the share of the evaluation that is done, 0 to 1.
    pub progress: &'a dyn Fn(f64),
    pub cancelled: &'a dyn Fn() -> bool,
}

impl Runs<'_> {
    /// Simulates a table with every seed; `None` if cancelled. The progress advances from `progress_from` to
    /// `progress_to`.
    pub fn run(
        &self,
        weights: &Weights,
        progress_from: f64,
        progress_to: f64,
    ) -> Option<Vec<TrafficStatistics>> {
        let Runs { records, model, warm_up_ms, .. } = *self;
        let first_seed = self.job.seed;
        let weight = |backend: &super::Listed| weights.of(&backend.host, &backend.class, &backend.zone);
        let weights: Vec<f64> = records.backends.iter().map(weight).collect();
        let seeds = self.job.seeds.max(1);
        let next = AtomicUsize::new(0);
        let stopped = AtomicBool::new(false);
        let results: Vec<Mutex<Option<TrafficStatistics>>> = (0..seeds).map(|_| Mutex::new(None)).collect();
        let simulate_seeds = |stop: &dyn Fn(f64) -> bool| loop {
            let index = next.fetch_add(1, Relaxed);
            if index >= seeds || stopped.load(Relaxed) {
                return;
            }
            let seed = first_seed.wrapping_add(index as u64);
            let result = Simulation::new(records, model, &weights, seed, warm_up_ms).run(stop);
            if let Ok(mut slot) = results[index].lock() {
                *slot = result;
            }
        };
        std::thread::scope(|scope| {
            for _ in 1..self.job.threads.min(seeds) {
                scope.spawn(|| simulate_seeds(&|_| stopped.load(Relaxed)));
            }
            // Only the calling thread calls `progress` and `cancelled`, which need not be `Sync`; it simulates too.
            simulate_seeds(&|simulated_share| {
                let started = next.load(Relaxed).min(seeds) as f64;
                let done = (started - 1.0 + simulated_share).max(0.0);
                (self.progress)(progress_from + (progress_to - progress_from) * done / seeds as f64);
                if (self.cancelled)() {
                    stopped.store(true, Relaxed);
                }
                stopped.load(Relaxed)
            });
        });
        results.into_iter().map(|slot| slot.into_inner().ok().flatten()).collect()
    }
}
