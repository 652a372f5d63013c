//! Hosts the library's recorder: gives it the clock, and sends its segments to a registry.
//!
//! Acts where `record` is configured: at each sampled request, and on a timer that cuts segments. Owns the recorder and the
//! segments that wait for a registry. No request waits for it: segments are encoded on a thread of their own, and the oldest
//! are dropped where no registry accepts them.

use hyper::Method;
use load_balancer::client::registry::{Call, CallError, DEFAULT_BACKOFF, EndpointFailover, call};
use load_balancer::client::route_table::Identity;
use load_balancer::client::traffic::{Traffic, TrafficKind};
use load_balancer::interface::{Arrival, AttemptNo, BackendId, Outcome, RequestId};
use load_balancer::replay::{
    About, Ending, Listed, MAX_BACKENDS, MAX_TRACES, Recorder, Reply, SAMPLED_OF, Segment,
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use tracing::{info, warn};

/// How often it is checked whether a segment is due.
const CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Most segments that wait for a registry. One more, and the oldest is dropped.
const MAX_WAITING: usize = 4;
/// Longest answer to a segment, bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What is recorded.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Share of the requests that is recorded; the same at all proxies, so that they keep the same ones.
    pub sampled: f64,
    /// Most requests of a segment, and most that are open at once: what bounds the memory.
    pub traces: usize,
    /// Longest time that a segment covers, ms.
    pub segment_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { sampled: 0.05, traces: 4096, segment_ms: 10_000 }
    }
}

impl Settings {
    /// What is wrong with them, if anything is.
    pub fn invalid(&self) -> Option<String> {
        let least = 1.0 / f64::from(SAMPLED_OF);
        let wrong = [
            (!(least..=1.0).contains(&self.sampled), "sampled: from 1/65536 to 1".to_string()),
            (!(1..=MAX_TRACES).contains(&self.traces), format!("traces: from 1 to {MAX_TRACES}")),
            (!(1000..=600_000).contains(&self.segment_ms), "segment_ms: from 1000 to 600000".to_string()),
        ];
        wrong.into_iter().find(|(bad, _)| *bad).map(|(_, what)| what)
    }
}

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

    /// Sends segments to a registry for as long as the process runs, also when the registries' addresses change.
    pub async fn ship_segments(self: Rc<Self>, mut registries: watch::Receiver<Vec<SocketAddr>>) {
        loop {
            let at = registries.borrow_and_update().clone();
            tokio::select! {
                () = self.ship_to(at) => return,
                Ok(()) = registries.changed() => {}
            }
        }
    }

    async fn ship_to(&self, registries: Vec<SocketAddr>) {
        let mut source = EndpointFailover::new("record", registries, DEFAULT_BACKOFF);
        let mut link = None;
        loop {
            let Some(segment) = self.waiting.borrow_mut().pop_front() else {
                self.ready.notified().await;
                continue;
            };
            let number = segment.number;
            // Off this thread: packing takes milliseconds, and requests are served here.
            let Ok(bytes) = spawn_blocking(move || segment.encode()).await.map(bytes::Bytes::from) else {
                continue;
            };
            loop {
                let put = Call {
                    kind: TrafficKind::Trace,
                    method: Method::PUT,
                    path: "/registry/traces",
                    body: bytes.clone(),
                    wait: Duration::ZERO,
                    max_answer: MAX_ANSWER_BYTES,
                };
                match call(&mut link, source.address(), put, &self.traffic).await {
                    Ok(_) => {
                        if source.record_success() {
                            info!("record: {} takes segments, on from {number}", source.address());
                        }
                        self.count(|shipped| {
                            shipped.segments += 1;
                            shipped.bytes += bytes.len() as u64;
                        });
                        break;
                    }
                    Err(CallError::Status { status, why })
                        if status.is_client_error() && status != 429 && status != 408 =>
                    {
                        warn!("record: segment {number} lost: {} answered {status}{why}", source.address());
                        self.count(|s| s.lost += 1);
                        break;
                    }
                    Err(fault) => {
                        link = None;
                        sleep(source.record_failure(&fault)).await;
                        // Newer segments are more useful.
                        if self.waiting.borrow().len() >= MAX_WAITING {
                            self.count(|s| s.lost += 1);
                            break;
                        }
                    }
                }
            }
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
