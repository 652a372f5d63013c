//! Hosts the library's recorder: passes it the time and sends its segments to a registry.
//!
//! Acts where `record` is configured: at each sampled request, and on a timer that cuts segments. Owns the recorder and the
//! segments that wait for a registry. No request waits for it: segments are encoded on a thread of their own, and the
//! oldest are dropped where no registry accepts them.

mod settings;
mod shipping;

pub use settings::Settings;

use load_balancer::client::route_table::Identity;
use load_balancer::client::traffic::Traffic;
use load_balancer::interface::{Arrival, AttemptNo, BackendId, Outcome, RequestId};
use load_balancer::replay::{
    AttemptOutcome, Ending, Listed, MAX_BACKENDS, Recorder, RecorderConfig, SAMPLED_OF, Segment,
};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::warn;

/// Interval between two checks whether a segment is due.
const CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of segments that wait for a registry; a further one replaces the oldest.
const MAX_WAITING: usize = 4;

/// Counts of the segments by what became of them.
#[derive(Default, Clone, Copy)]
struct ShippingCounts {
    /// Segments that a registry accepted.
    segments: u64,
    /// Encoded size of the accepted segments.
    bytes: u64,
    /// Segments dropped as no registry was reachable, or rejected by one. Gaps in the segments' numbers show them to the
    /// evaluation.
    lost: u64,
}

/// The recorder of this proxy and its segments that wait for a registry.
pub struct Recording {
    recorder: RefCell<Recorder>,
    waiting: RefCell<VecDeque<Segment>>,
    ready: Notify,
    counts: Cell<ShippingCounts>,
    traffic: Traffic,
}

impl Recording {
    /// Starts recording at Unix time `now_ms`; `platform_settings` are the proxy's settings in the platform's form.
    pub fn new(
        settings: &Settings,
        identity: &Identity,
        platform_settings: String,
        now_ms: f64,
        traffic: Traffic,
    ) -> Rc<Self> {
        let config = RecorderConfig {
            name: identity.name().to_string(),
            generation: identity.generation(),
            zone: identity.zone.clone(),
            settings: platform_settings,
            sampled: (settings.sampled * f64::from(SAMPLED_OF)).round() as u32,
            max_traces: settings.traces,
            max_span_ms: settings.segment_ms as f64,
        };
        let recorder = RefCell::new(Recorder::new(config, now_ms));
        Rc::new(Recording {
            recorder,
            waiting: RefCell::default(),
            ready: Notify::new(),
            counts: Cell::default(),
            traffic,
        })
    }

    /// Records an admitted request if it is sampled.
    pub fn request_arrived(&self, now_ms: f64, id: &[u8], arrival: &Arrival, client_timeout: Duration) {
        let recorder = &mut *self.recorder.borrow_mut();
        if let Some(hash) = recorder.sampled(id) {
            recorder.request_arrived(now_ms, hash, arrival, client_timeout.as_secs_f64() * 1000.0);
        }
    }

    /// Records the start of an attempt while `others` of this proxy's calls are in flight at its backend.
    pub fn attempt_sent(&self, now_ms: f64, request: RequestId, backend: BackendId, others: u32) {
        self.recorder.borrow_mut().attempt_sent(now_ms, request, backend, others);
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&self, now_ms: f64, request: RequestId, number: AttemptNo, outcome: Outcome) {
        self.recorder.borrow_mut().attempt_ended(now_ms, request, number, recorded_outcome(outcome));
    }

    /// Records the end of a request for its client.
    pub fn request_ended(&self, now_ms: f64, request: RequestId, ending: Ending) {
        self.recorder.borrow_mut().request_ended(now_ms, request, ending);
    }

    /// Records that a route table came into force.
    pub fn table_applied(&self, now_ms: f64, revision: u64) {
        let cut = self.recorder.borrow_mut().set_table(now_ms, revision);
        self.enqueue(cut);
    }

    /// Records that an endpoint list came into use.
    pub fn list_applied(&self, now_ms: f64, version: u64, listed: impl Iterator<Item = (BackendId, Listed)>) {
        let recorder = &mut *self.recorder.borrow_mut();
        let omitted_before = recorder.omitted_backends();
        let cut = recorder.set_list(now_ms, version, listed);
        let omitted = recorder.omitted_backends();
        if omitted > 0 && omitted_before == 0 {
            warn!(
                "record: {omitted} backends are more than the {MAX_BACKENDS} of a segment, requests to them are counted \
                 as dropped; have this proxy's discovery list its own service only"
            );
        }
        self.enqueue(cut);
    }

    /// Counts of the segments for the operators' page.
    pub fn page(&self) -> Value {
        let ShippingCounts { segments, bytes, lost } = self.counts.get();
        json!({"segments": segments, "bytes": bytes, "lost": lost, "waiting": self.waiting.borrow().len()})
    }

    fn enqueue(&self, segment: Option<Segment>) {
        let Some(segment) = segment else { return };
        let waiting = &mut *self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
            self.count(|counts| counts.lost += 1);
        }
        waiting.push_back(segment);
        self.ready.notify_one();
    }

    fn count(&self, change: impl FnOnce(&mut ShippingCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Checks periodically whether a segment is due and cuts it, as long as the process runs.
    pub async fn cut_segments(self: Rc<Self>, now: impl Fn() -> f64) {
        loop {
            sleep(CUT_INTERVAL).await;
            let cut = self.recorder.borrow_mut().cut_if_due(now());
            self.enqueue(cut);
        }
    }
}

/// The recorder's form of an outcome.
fn recorded_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Ok => AttemptOutcome::Ok,
        Outcome::Error => AttemptOutcome::Error,
        Outcome::Malformed => AttemptOutcome::Malformed,
        Outcome::Rejected => AttemptOutcome::Rejected,
        Outcome::Timeout => AttemptOutcome::Timeout,
        Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
        Outcome::Reset => AttemptOutcome::Reset,
        Outcome::Cancelled => AttemptOutcome::Cancelled,
        Outcome::NotSent => AttemptOutcome::NotSent,
    }
}
