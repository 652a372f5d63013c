//! The recorder of a proxy: collects traces of sampled requests from the engine's events and cuts them into segments.
//!
//! Its memory is bounded. A request that is not sampled costs a hash and a comparison. Callers pass in the time.

mod config;
mod sample_hash;

pub use config::RecorderConfig;

use super::segment::{MAX_BACKENDS, MAX_TRACES, SAMPLED_OF};
use super::{AttemptOutcome, AttemptTrace, Ending, Listed, Peers, Segment, Trace};
use crate::interface::{Arrival, AttemptNo, BackendId, RequestId};
use sample_hash::sample_hash;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of attempts recorded of a request; further ones are left out of its trace.
const MAX_ATTEMPTS_OF_REQUEST: usize = 16;

/// A sampled request that has not ended, or one of whose attempts has not.
struct OpenRequest {
    trace: Trace,
    /// Backend of each attempt in the trace.
    backends: Vec<BackendId>,
    attempts_in_flight: usize,
    ended: bool,
    /// Revision of the route table in force at its arrival.
    revision: u64,
}

/// Collects traces of sampled requests. Events of requests that it does not know are ignored.
pub struct Recorder {
    config: RecorderConfig,
    /// Number of the next segment.
    number: u64,
    /// Start of the current segment, Unix time in milliseconds.
    since_ms: f64,
    revision: u64,
    peers: Option<Peers>,
    list_version: u64,
    listed: BTreeMap<BackendId, Listed>,
    omitted_backends: usize,
    /// Iterated only to be dropped, so that its order has no effect.
    open: HashMap<RequestId, OpenRequest>,
    /// Completed traces, each with the backends of its attempts.
    completed: Vec<(Trace, Vec<BackendId>)>,
    seen: u64,
    dropped: u64,
}

impl Recorder {
    /// Creates a recorder whose first segment starts at Unix time `now_ms`.
    pub fn new(config: RecorderConfig, now_ms: f64) -> Recorder {
        let max_traces = config.max_traces.clamp(1, MAX_TRACES);
        let sampled = config.sampled.clamp(1, SAMPLED_OF);
        Recorder {
            config: RecorderConfig { max_traces, sampled, ..config },
            number: 1,
            since_ms: now_ms,
            revision: 0,
            peers: None,
            list_version: 0,
            listed: BTreeMap::new(),
            omitted_backends: 0,
            open: HashMap::new(),
            completed: Vec::new(),
            seen: 0,
            dropped: 0,
        }
    }

    /// Counts a request and returns the hash of its id if it is sampled.
    #[inline]
    pub fn sampled(&mut self, id: &[u8]) -> Option<u64> {
        self.seen += 1;
        let hash = sample_hash(id);
        ((hash & u64::from(SAMPLED_OF - 1)) < u64::from(self.config.sampled)).then_some(hash)
    }

    /// Records the arrival of a sampled request; `hash` is what [`sampled`](Self::sampled) returned.
    pub fn request_arrived(&mut self, now_ms: f64, hash: u64, arrival: &Arrival, client_timeout_ms: f64) {
        if self.open.len() >= self.config.max_traces {
            self.dropped += 1;
            return;
        }
        let trace = Trace {
            id: hash,
            at_ms: now_ms,
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            client_timeout_ms,
            ending: Ending::Left,
            took_ms: 0.0,
            attempts: Vec::new(),
        };
        let open = OpenRequest {
            trace,
            backends: Vec::new(),
            attempts_in_flight: 0,
            ended: false,
            revision: self.revision,
        };
        self.open.insert(arrival.request, open);
    }

    /// Records the send of a request's next attempt; `in_flight` is the number of this proxy's other calls in flight at the
    /// backend.
    pub fn attempt_sent(&mut self, now_ms: f64, request: RequestId, backend: BackendId, in_flight: u32) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.trace.attempts.len() >= MAX_ATTEMPTS_OF_REQUEST {
            return;
        }
        let after_ms = (now_ms - open.trace.at_ms).max(0.0);
        open.trace.attempts.push(AttemptTrace {
            backend: 0, // set when the segment is cut
            after_ms,
            wait_ms: 0.0,
            outcome: AttemptOutcome::NotSent,
            in_flight,
        });
        open.backends.push(backend);
        open.attempts_in_flight += 1;
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        now_ms: f64,
        request: RequestId,
        number: AttemptNo,
        outcome: AttemptOutcome,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(attempt) = open.trace.attempts.get_mut(usize::from(number)) else { return };
        attempt.wait_ms = (now_ms - open.trace.at_ms - attempt.after_ms).max(0.0);
        attempt.outcome = outcome;
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        self.complete(request);
    }

    /// Records the end of a request for its client. Only the first end counts.
    pub fn request_ended(&mut self, now_ms: f64, request: RequestId, ending: Ending) {
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.ended) else { return };
        open.trace.took_ms = (now_ms - open.trace.at_ms).max(0.0);
        open.trace.ending = ending;
        open.ended = true;
        self.complete(request);
    }

    /// Keeps the trace of a request that ended along with all its attempts. It counts as dropped if it arrived under another
    /// route table or the segment is full.
    fn complete(&mut self, request: RequestId) {
        if !self.open.get(&request).is_some_and(|open| open.ended && open.attempts_in_flight == 0) {
            return;
        }
        let Some(open) = self.open.remove(&request) else { return };
        if open.revision == self.revision && self.completed.len() < self.config.max_traces {
            self.completed.push((open.trace, open.backends));
        } else {
            self.dropped += 1;
        }
    }

    /// Sets the revision of the route table in force. Returns the segment recorded under the previous one.
    pub fn set_table(&mut self, now_ms: f64, revision: u64) -> Option<Segment> {
        let cut = if revision == self.revision { None } else { self.cut(now_ms) };
        self.revision = revision;
        cut
    }

    /// Sets the membership that the decision module was told.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = Some(peers);
    }

    /// Sets the endpoint list. Returns the segment recorded under the previous one if its backends differ.
    pub fn set_list(
        &mut self,
        now_ms: f64,
        version: u64,
        listed: impl IntoIterator<Item = (BackendId, Listed)>,
    ) -> Option<Segment> {
        let mut listed: BTreeMap<_, _> = listed.into_iter().collect();
        self.omitted_backends = listed.len().saturating_sub(MAX_BACKENDS);
        (0..self.omitted_backends).for_each(|_| drop(listed.pop_last()));
        let cut = if listed == self.listed { None } else { self.cut(now_ms) };
        (self.list_version, self.listed) = (version, listed);
        cut
    }

    /// Number of backends of the list beyond [`MAX_BACKENDS`]. Requests with an attempt at one of them count as dropped.
    pub fn omitted_backends(&self) -> usize {
        self.omitted_backends
    }

    /// Cuts a segment if the current one is full or covers its maximum time. Called periodically.
    pub fn cut_if_due(&mut self, now_ms: f64) -> Option<Segment> {
        let due = self.completed.len() >= self.config.max_traces
            || now_ms - self.since_ms >= self.config.max_span_ms;
        if due { self.cut(now_ms) } else { None }
    }

    /// Cuts a segment at once, as when the proxy stops; `None` if it would be empty or there is no list.
    pub fn cut(&mut self, now_ms: f64) -> Option<Segment> {
        let since_ms = self.since_ms;
        self.since_ms = since_ms.max(now_ms);
        let completed = std::mem::take(&mut self.completed);
        let seen = std::mem::take(&mut self.seen);
        if self.listed.is_empty() || seen == 0 && completed.is_empty() {
            return None;
        }
        let indices: BTreeMap<BackendId, u32> = self.listed.keys().copied().zip(0..).collect();
        let mut traces = Vec::with_capacity(completed.len());
        for (mut trace, backends) in completed {
            // A backend of an earlier list may be missing in this one.
            let all_listed = trace
                .attempts
                .iter_mut()
                .zip(&backends)
                .all(|(attempt, id)| indices.get(id).map(|&index| attempt.backend = index).is_some());
            if all_listed { traces.push(trace) } else { self.dropped += 1 }
        }
        traces.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let number = self.number;
        self.number += 1;
        let backend =
            |listed: &Listed| (listed.host.clone(), listed.class.clone(), listed.zone.clone(), listed.share);
        Some(Segment {
            name: self.config.name.clone(),
            generation: self.config.generation,
            number,
            zone: self.config.zone.clone(),
            settings: self.config.settings.clone(),
            revision: self.revision,
            peers: self.peers,
            list_version: self.list_version,
            backends: self.listed.values().map(backend).collect(),
            span_ms: (since_ms, self.since_ms),
            sampled: self.config.sampled,
            seen,
            dropped: std::mem::take(&mut self.dropped),
            traces,
        })
    }
}
