//! Proposals are judged in a thread of their own, one at a time, at the lowest priority: lists, watches and writes go
//! before it.

use super::ring::Ring;
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

/// One judging.
#[derive(Clone)]
struct Case {
    revision: Revision,
    cancelled: Arc<AtomicBool>,
    /// In thousandths.
    progress: Arc<AtomicU32>,
    failed: Arc<AtomicBool>,
    began: Instant,
}

#[derive(Default)]
struct Now {
    case: Option<Case>,
    verdict: Option<Verdict>,
}

/// The thread that judges, and what it does now.
pub struct Judging {
    now: Arc<Mutex<Now>>,
    jobs: Sender<(Case, Job)>,
}

fn held(now: &Mutex<Now>) -> MutexGuard<'_, Now> {
    now.lock().unwrap_or_else(|p| p.into_inner())
}

impl Judging {
    /// Starts the thread, over the recorded segments, of which it reads so many requests.
    pub fn start(ring: Arc<Ring>, most: usize) -> Result<Judging, StartError> {
        let (jobs, taken) = channel();
        let now = Arc::<Mutex<Now>>::default();
        let told = now.clone();
        std::thread::Builder::new()
            .name("judge".into())
            .spawn(move || run(taken, &told, &ring, most))
            .map_err(StartError::system("judge"))?;
        Ok(Judging { now, jobs })
    }

    /// Judges this from now on, and nothing else.
    pub fn begin(&self, revision: Revision, job: Job) {
        let case = Case {
            revision,
            cancelled: Arc::default(),
            progress: Arc::default(),
            failed: Arc::default(),
            began: Instant::now(),
        };
        let mut now = held(&self.now);
        if let Some(before) = now.case.replace(case.clone()) {
            before.cancelled.store(true, Ordering::Relaxed);
        }
        now.verdict = None;
        if self.jobs.send((case, job)).is_err() {
            error!(
                revision,
                "the judging thread has ended: restart the registry, or propose with an override"
            );
        }
    }

    /// Ends the judging of a revision, and forgets what it said.
    pub fn cancel(&self, revision: Revision) {
        let mut now = held(&self.now);
        if let Some(case) = now.case.take_if(|case| case.revision == revision) {
            case.cancelled.store(true, Ordering::Relaxed);
            now.verdict = None;
        }
    }

    /// The verdict, once.
    pub fn take(&self) -> Option<Verdict> {
        let mut now = held(&self.now);
        let verdict = now.verdict.take()?;
        now.case = None;
        Some(verdict)
    }

    /// What is judged now, for operators.
    pub fn page(&self) -> Option<Value> {
        let now = held(&self.now);
        let case = now.case.as_ref()?;
        let progress = f64::from(case.progress.load(Ordering::Relaxed)) / 1000.0;
        let since_ms = case.began.elapsed().as_millis() as u64;
        let failed = case.failed.load(Ordering::Relaxed);
        Some(json!({"revision": case.revision, "progress": progress, "for_ms": since_ms, "failed": failed}))
    }
}

fn run(jobs: Receiver<(Case, Job)>, now: &Mutex<Now>, ring: &Ring, most: usize) {
    // Of this thread alone, and of those that it starts.
    if let Err(e) = rustix::process::setpriority_process(None, 19) {
        warn!(error = %e, "judging runs at the priority of all else");
    }
    while let Ok((case, job)) = jobs.recv() {
        let cancelled = || case.cancelled.load(Ordering::Relaxed);
        let progress = |part: f64| {
            case.progress.store((part.clamp(0.0, 1.0) * 1000.0) as u32, Ordering::Relaxed);
        };
        let judged = catch_unwind(AssertUnwindSafe(|| {
            let segments = ring.newest(job.bounds.span_ms, most, &cancelled)?;
            info!(revision = case.revision, segments = segments.len(), "judging a proposal");
            judge(&job, &segments, &progress, &cancelled)
        }));
        let mut now = held(now);
        match judged {
            Ok(verdict) if !cancelled() => now.verdict = verdict,
            Ok(_) => info!(revision = case.revision, "judging ended: overtaken"),
            Err(_) => {
                case.failed.store(true, Ordering::Relaxed);
                error!(revision = case.revision, "the replay failed: propose again, or with an override");
            }
        }
    }
}
