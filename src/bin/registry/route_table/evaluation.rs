//! The thread that evaluates proposals by replaying recorded requests, one proposal at a time.
//!
//! The thread runs at the lowest priority, since an evaluation takes seconds to minutes and must not delay lists,
//! watches and writes. A new evaluation cancels the one that is running. The verdict is kept here until the writer
//! thread takes it, in the route table's next tick.

use super::trace_ring::TraceRing;
use crate::error::StartError;
use load_balancer::replay::{Job, Verdict, judge};
use load_balancer::route_table::Revision;
use serde_json::{Value, json};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tracing::{error, info, warn};

/// The lowest scheduling priority of the system, as a nice value.
const LOWEST_PRIORITY: i32 = 19;

/// The state of one evaluation, shared by the thread and the operators' page.
#[derive(Clone)]
struct Evaluation {
    revision: Revision,
    cancelled: Arc<AtomicBool>,
    /// Completed part of the evaluation, in thousandths.
    progress: Arc<AtomicU32>,
    failed: Arc<AtomicBool>,
    started: Instant,
}

impl Evaluation {
    fn new(revision: Revision) -> Evaluation {
        Evaluation {
            revision,
            cancelled: Arc::default(),
            progress: Arc::default(),
            failed: Arc::default(),
            started: Instant::now(),
        }
    }

    fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Sets the completed part of the evaluation, from 0 to 1.
    fn set_progress(&self, part: f64) {
        self.progress.store((part.clamp(0.0, 1.0) * 1000.0) as u32, Ordering::Relaxed);
    }
}

/// An evaluation that is queued for the thread.
struct EvaluationRequest {
    evaluation: Evaluation,
    job: Job,
}

/// The state that the evaluator and its thread share.
#[derive(Default)]
struct EvaluatorState {
    /// Newest evaluation, which is queued, running, failed or completed with `verdict`.
    current: Option<Evaluation>,
    /// Verdict of the current evaluation, until it is taken.
    verdict: Option<Verdict>,
}

/// The handle of the evaluation thread and its verdict. The thread ends when the handle is dropped.
pub(super) struct Evaluator {
    state: Arc<Mutex<EvaluatorState>>,
    requests: Sender<EvaluationRequest>,
}

fn lock(state: &Mutex<EvaluatorState>) -> MutexGuard<'_, EvaluatorState> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Evaluator {
    /// Starts the evaluation thread, which reads at most `max_requests` recorded requests from the ring for each
    /// evaluation.
    pub(super) fn start(ring: Arc<TraceRing>, max_requests: usize) -> Result<Evaluator, StartError> {
        let (requests, queue) = channel();
        let state = Arc::<Mutex<EvaluatorState>>::default();
        let state_of_thread = state.clone();
        std::thread::Builder::new()
            .name("judge".into())
            .spawn(move || run(&queue, &state_of_thread, &ring, max_requests))
            .map_err(StartError::system("judge"))?;
        Ok(Evaluator { state, requests })
    }

    /// Queues the evaluation of a revision, and cancels the previous one.
    pub(super) fn begin(&self, revision: Revision, job: Job) {
        let evaluation = Evaluation::new(revision);
        let mut state = lock(&self.state);
        if let Some(previous) = state.current.replace(evaluation.clone()) {
            previous.cancel();
        }
        state.verdict = None;
        if self.requests.send(EvaluationRequest { evaluation, job }).is_err() {
            error!(
                revision,
                "the evaluation thread has ended, no verdict follows: restart the registry, or propose with an override"
            );
        }
    }

    /// Cancels the evaluation of a revision, if it is the current one, and drops its verdict.
    pub(super) fn cancel(&self, revision: Revision) {
        let mut state = lock(&self.state);
        if let Some(evaluation) = state.current.take_if(|current| current.revision == revision) {
            evaluation.cancel();
            state.verdict = None;
        }
    }

    /// Takes the verdict of the current evaluation, if it is complete.
    pub(super) fn take_verdict(&self) -> Option<Verdict> {
        let mut state = lock(&self.state);
        let verdict = state.verdict.take()?;
        state.current = None;
        Some(verdict)
    }

    /// The current evaluation as JSON, for the operators' page.
    pub(super) fn page(&self) -> Option<Value> {
        let state = lock(&self.state);
        let current = state.current.as_ref()?;
        let progress = f64::from(current.progress.load(Ordering::Relaxed)) / 1000.0;
        let elapsed_ms = current.started.elapsed().as_millis() as u64;
        let failed = current.failed.load(Ordering::Relaxed);
        Some(json!({
            "revision": current.revision,
            "progress": progress,
            "for_ms": elapsed_ms,
            "failed": failed,
        }))
    }
}

fn run(
    queue: &Receiver<EvaluationRequest>,
    state: &Mutex<EvaluatorState>,
    ring: &TraceRing,
    max_requests: usize,
) {
    // This sets the priority of the present thread and of the threads that it starts, not of the process.
    if let Err(e) = rustix::process::setpriority_process(None, LOWEST_PRIORITY) {
        warn!(error = %e, "cannot lower the priority of the evaluation thread: evaluations may delay other work");
    }
    while let Ok(EvaluationRequest { evaluation, job }) = queue.recv() {
        // Failure: a panic in the replay would end this thread, and later proposals would never get a verdict. It is
        // caught, and the operators' page shows `failed`. The replay shares no state that a panic could leave
        // inconsistent.
        let result = catch_unwind(AssertUnwindSafe(|| evaluate(&evaluation, &job, ring, max_requests)));
        let mut state = lock(state);
        match result {
            Ok(verdict) if !evaluation.is_cancelled() => state.verdict = verdict,
            Ok(_) => info!(
                revision = evaluation.revision,
                "evaluation cancelled: its proposal was superseded, ended or must be evaluated again"
            ),
            Err(_) => {
                evaluation.failed.store(true, Ordering::Relaxed);
                error!(
                    revision = evaluation.revision,
                    "the replay panicked, the proposal gets no verdict: propose again, or with an override"
                );
            }
        }
    }
}

/// Replays the recorded requests and returns the verdict on a proposal, or `None` once cancelled.
fn evaluate(evaluation: &Evaluation, job: &Job, ring: &TraceRing, max_requests: usize) -> Option<Verdict> {
    let is_cancelled = || evaluation.is_cancelled();
    let progress = |part: f64| evaluation.set_progress(part);
    let segments = ring.newest(job.bounds.span_ms, max_requests, &is_cancelled)?;
    info!(revision = evaluation.revision, segments = segments.len(), "evaluating a proposal by replay");
    judge(job, &segments, &progress, &is_cancelled)
}
