//! Hosts the library's recorder: gives it the clock, and brings its segments to a registry. Nothing here is awaited by a
//! request: segments are cut from time to time, encoded on a thread of their own, and the oldest go where none takes them.

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

/// How often it is looked whether a segment is due.
const LOOK: Duration = Duration::from_millis(250);
/// Segments that wait for a registry. One more and the oldest goes.
const WAITING: usize = 4;
/// Longest answer to a segment.
const MAX_ANSWER: usize = 64 << 10;

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

/// What has become of the segments.
#[derive(Default, Clone, Copy)]
struct Shipped {
    segments: u64,
    bytes: u64,
    /// Gone for want of a registry, or turned down there: gaps in the numbers say so to whoever reads them.
    lost: u64,
}

/// The recorder, and its segments on their way.
pub struct Recording {
    recorder: RefCell<Recorder>,
    waiting: RefCell<VecDeque<Segment>>,
    ready: Notify,
    shipped: Cell<Shipped>,
    traffic: Traffic,
}

impl Recording {
    /// Records from Unix time `now` on; `text` are the settings in the platform's form.
    pub fn new(settings: &Settings, who: &Identity, text: String, now: f64, traffic: Traffic) -> Rc<Self> {
        let about = About {
            name: who.name().to_string(),
            generation: who.generation(),
            zone: who.zone.clone(),
            settings: text,
            sampled: (settings.sampled * f64::from(SAMPLED_OF)).round() as u32,
            traces: settings.traces,
            span_ms: settings.segment_ms as f64,
        };
        let recorder = RefCell::new(Recorder::new(about, now));
        let (waiting, ready, shipped) = (RefCell::default(), Notify::new(), Cell::default());
        Rc::new(Recording { recorder, waiting, ready, shipped, traffic })
    }

    /// A request came.
    pub fn arrived(&self, now: f64, id: &[u8], arrival: &Arrival, patience: Duration) {
        let recorder = &mut *self.recorder.borrow_mut();
        if let Some(hash) = recorder.sampled(id) {
            recorder.arrived(now, hash, arrival, patience.as_secs_f64() * 1000.0);
        }
    }

    /// A call goes out beside so many others.
    pub fn sent(&self, now: f64, request: RequestId, backend: BackendId, others: u32) {
        self.recorder.borrow_mut().sent(now, request, backend, others);
    }

    /// A call is over.
    pub fn replied(&self, now: f64, request: RequestId, number: AttemptNo, outcome: Outcome) {
        self.recorder.borrow_mut().closed(now, request, number, reply(outcome));
    }

    /// A request is over for its client.
    pub fn ended(&self, now: f64, request: RequestId, ending: Ending) {
        self.recorder.borrow_mut().ended(now, request, ending);
    }

    /// Another table is in force.
    pub fn table(&self, now: f64, revision: u64) {
        let cut = self.recorder.borrow_mut().table(now, revision);
        self.keep(cut);
    }

    /// Another list is held.
    pub fn list(&self, now: f64, version: u64, listed: impl Iterator<Item = (BackendId, Listed)>) {
        let recorder = &mut *self.recorder.borrow_mut();
        let before = recorder.left_out();
        let cut = recorder.list(now, version, listed);
        let left_out = recorder.left_out();
        if left_out > 0 && before == 0 {
            warn!(
                "record: {left_out} backends are more than the {MAX_BACKENDS} of a segment, requests to them are counted \
                 as dropped; have this proxy's discovery list its own service only"
            );
        }
        self.keep(cut);
    }

    /// What has become of the segments, for operators.
    pub fn page(&self) -> Value {
        let Shipped { segments, bytes, lost } = self.shipped.get();
        json!({"segments": segments, "bytes": bytes, "lost": lost, "waiting": self.waiting.borrow().len()})
    }

    fn keep(&self, segment: Option<Segment>) {
        let Some(segment) = segment else { return };
        let waiting = &mut *self.waiting.borrow_mut();
        if waiting.len() >= WAITING {
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

    /// Cuts segments for ever.
    pub async fn cut(self: Rc<Self>, now: impl Fn() -> f64) {
        loop {
            sleep(LOOK).await;
            let cut = self.recorder.borrow_mut().cut(now());
            self.keep(cut);
        }
    }

    /// Brings segments to a registry for ever, wherever the registries move to.
    pub async fn ship(self: Rc<Self>, mut registries: watch::Receiver<Vec<SocketAddr>>) {
        loop {
            let at = registries.borrow_and_update().clone();
            tokio::select! {
                () = self.ship_to(at) => return,
                Ok(()) = registries.changed() => {}
            }
        }
    }

    async fn ship_to(&self, registries: Vec<SocketAddr>) {
        let (mut source, mut link) = (EndpointFailover::new("record", registries, DEFAULT_BACKOFF), None);
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
                    max_answer: MAX_ANSWER,
                };
                match call(&mut link, source.address(), put, &self.traffic).await {
                    Ok(_) => {
                        if source.record_success() {
                            info!("record: {} takes segments, on from {number}", source.address());
                        }
                        self.count(|s| {
                            (s.segments, s.bytes) = (s.segments + 1, s.bytes + bytes.len() as u64)
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
                        // Newer ones are worth more.
                        if self.waiting.borrow().len() >= WAITING {
                            self.count(|s| s.lost += 1);
                            break;
                        }
                    }
                }
            }
        }
    }
}

/// The recorder's word for an outcome.
fn reply(outcome: Outcome) -> Reply {
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
