//! Hosts the library's recorder: gives it the clock, and sends its segments to a registry.
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
use load_balancer::replay::{About, Ending, Listed, MAX_BACKENDS, Recorder, Reply, SAMPLED_OF, Segment};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::warn;

/// How often it is checked whether a segment is due.
const CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Most segments that wait for a registry. One more, and the oldest is dropped.
const MAX_WAITING: usize = 4;

/// What became of the segments.
#[derive(Default, Clone, Copy)]
struct Shipped {
    segments: u64,
    bytes: u64,
    /// Dropped for want of a registry, or rejected there: gaps in the segments' numbers show it to their readers.
    lost: u64,
}

/// The recorder, and the segments that wait for a registry.
pub struct Recording {
    recorder: RefCell<Recorder>,
    waiting: RefCell<VecDeque<Segment>>,
    ready: Notify,
    shipped: Cell<Shipped>,
    traffic: Traffic,
}

impl Recording {
    /// Records from Unix time `now_ms` on; `text` are the settings in the platform's form.
    pub fn new(settings: &Settings, who: &Identity, text: String, now_ms: f64, traffic: Traffic) -> Rc<Self> {
        let about = About {
            name: who.name().to_string(),
            generation: who.generation(),
            zone: who.zone.clone(),
            settings: text,
            sampled: (settings.sampled * f64::from(SAMPLED_OF)).round() as u32,
            traces: settings.traces,
            span_ms: settings.segment_ms as f64,
        };
        let recorder = RefCell::new(Recorder::new(about, now_ms));
        Rc::new(Recording {
            recorder,
            waiting: RefCell::default(),
            ready: Notify::new(),
            shipped: Cell::default(),
            traffic,
        })
    }

    /// A request was admitted.
    pub fn request_arrived(&self, now_ms: f64, id: &[u8], arrival: &Arrival, client_timeout: Duration) {
        let recorder = &mut *self.recorder.borrow_mut();
        if let Some(hash) = recorder.sampled(id) {
            recorder.arrived(now_ms, hash, arrival, client_timeout.as_secs_f64() * 1000.0);
        }
    }

    /// An attempt starts while so many others are in flight to its backend.
    pub fn attempt_sent(&self, now_ms: f64, request: RequestId, backend: BackendId, others: u32) {
        self.recorder.borrow_mut().sent(now_ms, request, backend, others);
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, now_ms: f64, request: RequestId, number: AttemptNo, outcome: Outcome) {
        self.recorder.borrow_mut().closed(now_ms, request, number, recorded(outcome));
    }

    /// A request has ended for its client.
    pub fn request_ended(&self, now_ms: f64, request: RequestId, ending: Ending) {
        self.recorder.borrow_mut().ended(now_ms, request, ending);
    }

    /// A new table is in force.
    pub fn table_applied(&self, now_ms: f64, revision: u64) {
        let cut = self.recorder.borrow_mut().table(now_ms, revision);
        self.enqueue(cut);
    }

    /// A new list is in use.
    pub fn list_applied(&self, now_ms: f64, version: u64, listed: impl Iterator<Item = (BackendId, Listed)>) {
        let recorder = &mut *self.recorder.borrow_mut();
        let before = recorder.left_out();
        let cut = recorder.list(now_ms, version, listed);
        let left_out = recorder.left_out();
        if left_out > 0 && before == 0 {
            warn!(
                "record: {left_out} backends are more than the {MAX_BACKENDS} of a segment, requests to them are counted \
                 as dropped; have this proxy's discovery list its own service only"
            );
        }
        self.enqueue(cut);
    }

    /// What became of the segments, for operators.
    pub fn page(&self) -> Value {
        let Shipped { segments, bytes, lost } = self.shipped.get();
        json!({"segments": segments, "bytes": bytes, "lost": lost, "waiting": self.waiting.borrow().len()})
    }

    fn enqueue(&self, segment: Option<Segment>) {
        let Some(segment) = segment else { return };
        let waiting = &mut *self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
            self.count(|s| s.lost += 1);
        }
        waiting.push_back(segment);
        self.ready.notify_one();
    }

    fn count(&self, change: impl FnOnce(&mut Shipped)) {
        let mut shipped = self.shipped.get();
        change(&mut shipped);
        self.shipped.set(shipped);
    }

    /// Cuts segments for as long as the process runs.
    pub async fn cut_segments(self: Rc<Self>, now: impl Fn() -> f64) {
        loop {
            sleep(CUT_INTERVAL).await;
            let cut = self.recorder.borrow_mut().cut(now());
            self.enqueue(cut);
        }
    }
}

/// An outcome as the recorder knows it.
fn recorded(outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Ok => Reply::Ok,
        Outcome::Error => Reply::Error,
        Outcome::Malformed => Reply::Malformed,
        Outcome::Rejected => Reply::Full,
        Outcome::Timeout => Reply::Timeout,
        Outcome::ConnectFailed => Reply::ConnectFailed,
        Outcome::Reset => Reply::Reset,
        Outcome::Cancelled => Reply::Cancelled,
        Outcome::NotSent => Reply::Moot,
    }
}
