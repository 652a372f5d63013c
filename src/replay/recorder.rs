//! The proxy's part: keeps the sampled requests of the engine's events until a segment is cut. Bounded, and beside a
//! request's way: one that is not sampled costs a hash and a compare. Time is passed in.

use super::segment::{MAX_BACKENDS, MAX_TRACES, SAMPLED_OF};
use super::{Ending, Listed, Peers, Reply, Segment, Trace, Try};
use crate::interface::{Arrival, AttemptNo, BackendId, RequestId};
use std::collections::{BTreeMap, HashMap};

const MOST_TRIES: usize = 16; // of one request; more are not kept

/// What a recorder is told once.
#[derive(Clone, Debug, PartialEq)]
pub struct About {
    /// The proxy's name, as in its reports.
    pub name: String,
    /// Its generation, as in its reports.
    pub generation: u64,
    /// Its zone.
    pub zone: String,
    /// Its settings, JSON in the platform's form.
    pub settings: String,
    /// So many in 65,536 requests are sampled.
    pub sampled: u32,
    /// Most traces of a segment, and most sampled requests that are open at once.
    pub traces: usize,
    /// Longest time that a segment covers, ms.
    pub span_ms: f64,
}

/// A sampled request whose end, or one of whose attempts' ends, is still to come.
struct Open {
    trace: Trace,
    backends: Vec<BackendId>,
    out: usize,
    ended: bool,
    revision: u64,
}

/// Keeps sampled requests. The events come as the engine has them; unknown requests are passed over.
pub struct Recorder {
    about: About,
    number: u64,
    since: f64,
    revision: u64,
    peers: Option<Peers>,
    list_version: u64,
    listed: BTreeMap<BackendId, Listed>,
    left_out: usize,
    open: HashMap<RequestId, Open>, // looked up, never iterated but to drop
    done: Vec<(Trace, Vec<BackendId>)>,
    seen: u64,
    dropped: u64,
}

/// FNV-1a, then a finish that stirs the low bits up: the same in every process and build.
fn hash(bytes: &[u8]) -> u64 {
    let mix = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mix = (mix ^ (mix >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mix ^ (mix >> 32)
}

impl Recorder {
    /// Starts at Unix time `now_ms`.
    pub fn new(about: About, now_ms: f64) -> Recorder {
        let traces = about.traces.clamp(1, MAX_TRACES);
        let sampled = about.sampled.clamp(1, SAMPLED_OF);
        Recorder {
            about: About { traces, sampled, ..about },
            number: 1,
            since: now_ms,
            revision: 0,
            peers: None,
            list_version: 0,
            listed: BTreeMap::new(),
            left_out: 0,
            open: HashMap::new(),
            done: Vec::new(),
            seen: 0,
            dropped: 0,
        }
    }

    /// Counts a request by its id, and gives the id's hash if the request is sampled.
    #[inline]
    pub fn sampled(&mut self, id: &[u8]) -> Option<u64> {
        self.seen += 1;
        let hash = hash(id);
        ((hash & u64::from(SAMPLED_OF - 1)) < u64::from(self.about.sampled)).then_some(hash)
    }

    /// A sampled request arrived; `hash` is of [`sampled`](Self::sampled).
    pub fn arrived(&mut self, now_ms: f64, hash: u64, arrival: &Arrival, patience_ms: f64) {
        if self.open.len() >= self.about.traces {
            self.dropped += 1;
            return;
        }
        let trace = Trace {
            id: hash,
            at_ms: now_ms,
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            patience_ms,
            ending: Ending::Left,
            took_ms: 0.0,
            tries: Vec::new(),
        };
        let open = Open { trace, backends: Vec::new(), out: 0, ended: false, revision: self.revision };
        self.open.insert(arrival.request, open);
    }

    /// An attempt was sent, its number the next one; `in_flight` are this proxy's other calls at the backend.
    pub fn sent(&mut self, now_ms: f64, request: RequestId, backend: BackendId, in_flight: u32) {
        let Some(open) = self.open.get_mut(&request).filter(|o| o.trace.tries.len() < MOST_TRIES) else {
            return;
        };
        let after_ms = (now_ms - open.trace.at_ms).max(0.0);
        open.trace.tries.push(Try { backend: 0, after_ms, wait_ms: 0.0, reply: Reply::Moot, in_flight });
        open.backends.push(backend);
        open.out += 1;
    }

    /// An attempt ended.
    pub fn closed(&mut self, now_ms: f64, request: RequestId, attempt: AttemptNo, reply: Reply) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(a) = open.trace.tries.get_mut(usize::from(attempt)) else { return };
        (a.wait_ms, a.reply) = ((now_ms - open.trace.at_ms - a.after_ms).max(0.0), reply);
        open.out = open.out.saturating_sub(1);
        self.settle(request);
    }

    /// The request ended for its client.
    pub fn ended(&mut self, now_ms: f64, request: RequestId, ending: Ending) {
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.ended) else { return };
        (open.trace.took_ms, open.trace.ending) = ((now_ms - open.trace.at_ms).max(0.0), ending);
        open.ended = true;
        self.settle(request);
    }

    /// Keeps a request that is over, unless it began under another table or there is no room.
    fn settle(&mut self, request: RequestId) {
        if !self.open.get(&request).is_some_and(|o| o.ended && o.out == 0) {
            return;
        }
        let Some(open) = self.open.remove(&request) else { return };
        if open.revision == self.revision && self.done.len() < self.about.traces {
            self.done.push((open.trace, open.backends));
        } else {
            self.dropped += 1;
        }
    }

    /// The table in force from now on; gives what was recorded under the one before.
    pub fn table(&mut self, now_ms: f64, revision: u64) -> Option<Segment> {
        let cut = if revision == self.revision { None } else { self.take(now_ms) };
        self.revision = revision;
        cut
    }

    /// What membership tells the module from now on.
    pub fn peers(&mut self, peers: Peers) {
        self.peers = Some(peers);
    }

    /// The list from now on; gives what was recorded under the one before, if that had other backends.
    pub fn list(
        &mut self,
        now_ms: f64,
        version: u64,
        listed: impl IntoIterator<Item = (BackendId, Listed)>,
    ) -> Option<Segment> {
        let mut listed: BTreeMap<_, _> = listed.into_iter().collect();
        self.left_out = listed.len().saturating_sub(MAX_BACKENDS);
        (0..self.left_out).for_each(|_| drop(listed.pop_last()));
        let cut = if listed == self.listed { None } else { self.take(now_ms) };
        (self.list_version, self.listed) = (version, listed);
        cut
    }

    /// Backends of the list that a segment has no room for: what is sent there is counted as dropped.
    pub fn left_out(&self) -> usize {
        self.left_out
    }

    /// Gives a segment once one is full or its time is up. To be asked from time to time.
    pub fn cut(&mut self, now_ms: f64) -> Option<Segment> {
        let due = self.done.len() >= self.about.traces || now_ms - self.since >= self.about.span_ms;
        if due { self.take(now_ms) } else { None }
    }

    /// Gives what there is, as at the proxy's end.
    pub fn take(&mut self, now_ms: f64) -> Option<Segment> {
        let since = self.since;
        self.since = since.max(now_ms);
        let (done, seen) = (std::mem::take(&mut self.done), std::mem::take(&mut self.seen));
        if self.listed.is_empty() || seen == 0 && done.is_empty() {
            return None;
        }
        let places: BTreeMap<BackendId, u32> = self.listed.keys().copied().zip(0..).collect();
        let mut traces = Vec::with_capacity(done.len());
        for (mut trace, backends) in done {
            // One of an earlier list has no place in this one.
            let named = trace
                .tries
                .iter_mut()
                .zip(&backends)
                .all(|(a, id)| places.get(id).map(|&place| a.backend = place).is_some());
            if named { traces.push(trace) } else { self.dropped += 1 }
        }
        traces.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let number = self.number;
        self.number += 1;
        let backend = |l: &Listed| (l.host.clone(), l.class.clone(), l.zone.clone(), l.share);
        Some(Segment {
            name: self.about.name.clone(),
            generation: self.about.generation,
            number,
            zone: self.about.zone.clone(),
            settings: self.about.settings.clone(),
            revision: self.revision,
            peers: self.peers,
            list_version: self.list_version,
            backends: self.listed.values().map(backend).collect(),
            span_ms: (since, self.since),
            sampled: self.about.sampled,
            seen,
            dropped: std::mem::take(&mut self.dropped),
            traces,
        })
    }
}
