//! Evaluates a proposed route table against the recorded traffic.
//!
//! The registry calls [`judge`] for each evaluation of a proposal: once, and again if the endpoint list changes or the
//! registry restarts. It answers in this order:
//! - the records do not suffice (`cannot_tell`);
//! - the back-test fails: the table in force, replayed, does not give what was recorded (`cannot_tell`);
//! - the proposal breaks a bound (`refuse`), with the largest step towards it that would pass, found by bisection;
//! - the proposal brings a backend clearly more calls in flight than were ever observed there (`cannot_tell`);
//! - none of these (`admit`).

use super::backtest::{self, RelativeErrors};
use super::model::Model;
use super::predict::predict;
use super::recorded_traffic::RecordedTraffic;
use super::runs::Runs;
use super::statistics::TrafficStatistics;
use super::{Breach, CannotTellReason, ClassFigures, Decision, Job, Listed, Prediction, Segment, Verdict};

/// Share of the recorded time that is left out of all figures: the simulated proxies start without learned state.
const WARM_UP_SHARE: f64 = 0.25;
/// Longest time (ms) that is left out.
const MAX_WARM_UP_MS: f64 = 15_000.0;
/// Recorded requests below which the coverage counts as 0.
const MIN_REQUESTS: usize = 200;
/// Bisections between the table in force and the proposal in search of the largest step that passes.
const BISECTION_STEPS: u32 = 8;
/// Multiple of a backend's peak under the table in force up to which the proposal does not break it.
const TOLERATED_PEAK_GROWTH: f64 = 1.5;
/// Progress (0 to 1) once the table in force has been replayed.
const PROGRESS_AFTER_IN_FORCE: f64 = 0.3;
/// Progress (0 to 1) once the proposal has been replayed.
const PROGRESS_AFTER_PROPOSAL: f64 = 0.55;

/// Evaluates a proposal against the records; `None` when it was cancelled.
///
/// `progress` is called with the share of the work that is done, 0 to 1.
pub fn judge(
    job: &Job,
    segments: &[Segment],
    progress: &dyn Fn(f64),
    cancelled: &dyn Fn() -> bool,
) -> Option<Verdict> {
    let records = RecordedTraffic::of(job, segments);
    if let Some(reason) = insufficient_records(job, &records) {
        return Some(verdict(job, &records, Decision::CannotTell(reason), None, None));
    }
    if cancelled() {
        return None;
    }
    let model = Model::fit(&records);
    let warm_up_ms = (WARM_UP_SHARE * records.length_ms).min(MAX_WARM_UP_MS);
    let runs = Runs { job, records: &records, model: &model, warm_up_ms, progress, cancelled };
    let in_force_runs = runs.run(&job.in_force, 0.0, PROGRESS_AFTER_IN_FORCE)?;
    let recorded = TrafficStatistics::of_records(&records, warm_up_ms);
    let errors = RelativeErrors::of(&recorded, &in_force_runs);
    let in_force = predict(&records, &in_force_runs, &errors);
    if let Some(reason) = backtest::failure(&job.bounds, &records, &recorded, &in_force_runs) {
        return Some(verdict(job, &records, Decision::CannotTell(reason), Some(in_force), None));
    }
    let evaluation = Evaluation { runs: &runs, errors: &errors, in_force };
    let proposal_runs = runs.run(&job.proposal, PROGRESS_AFTER_IN_FORCE, PROGRESS_AFTER_PROPOSAL)?;
    let proposed = predict(&records, &proposal_runs, &errors);
    let decision = evaluation.decide(&proposed)?;
    progress(1.0);
    Some(verdict(job, &records, decision, Some(evaluation.in_force), Some(proposed)))
}

fn verdict(
    job: &Job,
    records: &RecordedTraffic,
    decision: Decision,
    in_force: Option<Prediction>,
    proposed: Option<Prediction>,
) -> Verdict {
    Verdict {
        from: job.from,
        digest: job.proposal.digest(),
        records: records.digest.clone(),
        requests: records.requests.len() as u64,
        decision,
        in_force,
        proposed,
    }
}

/// Why the records do not suffice for a verdict, if they do not.
fn insufficient_records(job: &Job, records: &RecordedTraffic) -> Option<CannotTellReason> {
    if !records.differing_backends.is_empty() {
        return Some(CannotTellReason::ListMismatch {
            differing_backends: records.differing_backends.clone(),
        });
    }
    let needed = job.bounds.coverage;
    let covered = if records.requests.len() < MIN_REQUESTS { 0.0 } else { records.covered };
    if covered < needed || records.requests.is_empty() {
        return Some(CannotTellReason::Coverage { covered, needed });
    }
    if records.age_ms > job.bounds.age_ms {
        return Some(CannotTellReason::Stale { age_ms: records.age_ms, max_age_ms: job.bounds.age_ms });
    }
    None
}

/// Compares predictions for other tables with that for the table in force.
struct Evaluation<'a> {
    runs: &'a Runs<'a>,
    errors: &'a RelativeErrors,
    /// Prediction for the table in force.
    in_force: Prediction,
}

impl Evaluation<'_> {
    /// The decision on the proposal; `None` when it was cancelled.
    fn decide(&self, proposed: &Prediction) -> Option<Decision> {
        if let Some(breach) = self.worst_breach(proposed) {
            let largest_step = self.largest_step()?;
            return Some(Decision::Refuse { breach, largest_step });
        }
        Some(match self.extrapolated_backend(proposed) {
            Some(reason) => Decision::CannotTell(reason),
            None => Decision::Admit,
        })
    }

    /// The bound that is exceeded by the largest factor. Backends come before classes: an overloaded backend is the
    /// cause of the failures and latencies of the classes that use it.
    fn worst_breach(&self, proposed: &Prediction) -> Option<Breach> {
        let listed = self.runs.records.backends.iter().enumerate();
        let backends =
            listed.filter_map(|(index, backend)| self.peak_against_bound(index, backend, proposed));
        let classes =
            proposed.classes.iter().flat_map(|(name, figures)| self.class_against_bounds(name, figures));
        most_exceeded(backends).or_else(|| most_exceeded(classes))
    }

    /// The peak predicted at a backend, and its bound.
    fn peak_against_bound(&self, index: usize, backend: &Listed, proposed: &Prediction) -> Option<Breach> {
        let model = self.runs.model;
        let predicted = proposed.backends.get(&backend.host)?.peak.mean;
        let in_force = self.in_force.backends.get(&backend.host)?.peak.mean;
        let bound = (model.capacity(index) * self.runs.job.bounds.peak)
            .max(TOLERATED_PEAK_GROWTH * in_force)
            .max(model.peak_in_flight[index]);
        Some(Breach {
            kind: "backend".into(),
            name: backend.host.clone(),
            figure: "peak".into(),
            predicted,
            bound,
        })
    }

    /// The figures predicted for a class of requests, and their bounds.
    fn class_against_bounds(&self, name: &str, figures: &ClassFigures) -> [Breach; 3] {
        let bounds = &self.runs.job.bounds;
        let in_force = self.in_force.classes.get(name).copied().unwrap_or_default();
        let class_figure = |figure: &str, predicted: f64, bound: f64| Breach {
            kind: "class".into(),
            name: name.into(),
            figure: figure.into(),
            predicted,
            bound,
        };
        [
            class_figure("refused", figures.refused.mean, in_force.refused.mean + bounds.refused),
            class_figure("failed", figures.failed.mean, in_force.failed.mean + bounds.failed),
            class_figure("p99_ms", figures.p99_ms.mean, in_force.p99_ms.mean * bounds.p99_growth),
        ]
    }

    /// A backend that would get more calls in flight than the replay can be relied on for. The allowance grows with
    /// the square root of the peak: small counts vary by chance.
    fn extrapolated_backend(&self, proposed: &Prediction) -> Option<CannotTellReason> {
        self.runs.records.backends.iter().enumerate().find_map(|(index, backend)| {
            let predicted = proposed.backends.get(&backend.host)?.peak.mean;
            let observed = self.observed_peak(index);
            let allowed = self.runs.job.bounds.unseen * observed + observed.sqrt() + 1.0;
            (predicted > allowed).then(|| CannotTellReason::Extrapolation {
                backend: backend.host.clone(),
                predicted,
                observed,
            })
        })
    }

    /// Most calls in flight at a backend, recorded or replayed under the table in force.
    fn observed_peak(&self, index: usize) -> f64 {
        let replayed = self.in_force.backends.get(&self.runs.records.backends[index].host);
        self.runs.model.peak_in_flight[index].max(replayed.map_or(0.0, |figures| figures.peak.mean))
    }

    /// The largest share of the way to the proposal, 0 to 1, that would be admitted; `None` when it was cancelled.
    fn largest_step(&self) -> Option<f64> {
        let progress = |steps: u32| {
            PROGRESS_AFTER_PROPOSAL
                + (1.0 - PROGRESS_AFTER_PROPOSAL) * f64::from(steps) / f64::from(BISECTION_STEPS)
        };
        let mut admitted = 0.0;
        let mut rejected = 1.0;
        for step in 0..BISECTION_STEPS {
            let share = (admitted + rejected) / 2.0;
            let weights = self.runs.job.interpolate(share);
            let runs = self.runs.run(&weights, progress(step), progress(step + 1))?;
            let proposed = predict(self.runs.records, &runs, self.errors);
            if self.worst_breach(&proposed).is_none() && self.extrapolated_backend(&proposed).is_none() {
                admitted = share;
            } else {
                rejected = share;
            }
        }
        Some(admitted)
    }
}

/// Of the figures over their bounds, the one that is over by the largest factor.
fn most_exceeded(figures: impl Iterator<Item = Breach>) -> Option<Breach> {
    let exceeded = figures.filter(|figure| figure.predicted > figure.bound);
    exceeded.max_by(|a, b| (a.predicted / a.bound).total_cmp(&(b.predicted / b.bound)))
}
