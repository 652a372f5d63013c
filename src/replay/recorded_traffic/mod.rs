//! The recorded traffic of the fleet: the segments of all proxies with one list of backends, one list of classes and,
//! as far as possible, one clock. Times (ms) count from the start of the window that the records cover.

mod merge;
mod selection;

use super::{AttemptOutcome, Ending, Job, Listed, Peers, Segment, clock_offsets, segment};
use crate::interface::Settings;
use merge::Window;
use selection::Selection;

/// Maximum number of requests in a replay, including those that the sampling left out.
const MAX_REPLAYED_REQUESTS: f64 = 3e6;

/// One proxy process of the fleet.
pub(super) struct RecordedProxy {
    pub(super) zone: String,
    /// Zones in the order of the proxy's settings.
    pub(super) zones: Vec<String>,
    pub(super) settings: Settings,
    /// Requests that one recorded request stands for.
    pub(super) scale: f64,
    /// Part of the decision module's seed that is specific to the proxy.
    pub(super) seed: u64,
    /// Membership that the proxy was told, each with the time (ms) from which it applied.
    pub(super) peers: Vec<(f64, Peers)>,
}

/// A request in the records.
pub(super) struct RecordedRequest {
    /// Index of the proxy.
    pub(super) proxy: u32,
    pub(super) id: u64,
    pub(super) at_ms: f64,
    /// Index of the class in [`RecordedTraffic::classes`].
    pub(super) class: u16,
    /// Index of the class in the proxy's settings.
    pub(super) proxy_class: u16,
    pub(super) tenant: u16,
    /// Hash of the request's key; 0 for none.
    pub(super) key: u64,
    /// Time (ms) that the client waits for an answer.
    pub(super) client_timeout_ms: f64,
    pub(super) ending: Ending,
    /// Time (ms) from the request's arrival to its end.
    pub(super) took_ms: f64,
    /// Whether a backend found the request malformed.
    pub(super) malformed: bool,
    /// Time (ms) from the end of the answered attempt to the end of the request; `None` without an answer.
    pub(super) proxy_time_ms: Option<f64>,
}

/// An attempt in the records.
pub(super) struct RecordedCall {
    /// Index of the proxy.
    pub(super) proxy: u32,
    /// Index of the backend.
    pub(super) backend: u32,
    /// Index of the class in [`RecordedTraffic::classes`].
    pub(super) class: u16,
    pub(super) at_ms: f64,
    /// Time (ms) from the send of the attempt to its end.
    pub(super) wait_ms: f64,
    pub(super) outcome: AttemptOutcome,
    /// Other calls of the proxy in flight at the backend when the attempt was sent.
    pub(super) proxy_in_flight: u32,
}

impl RecordedCall {
    /// Returns whether the latency was recorded to its end.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::Ok | AttemptOutcome::Malformed)
    }
}

/// The traffic under the table in force to the backends of the list.
pub(super) struct RecordedTraffic {
    pub(super) backends: Vec<Listed>,
    /// Names of the classes of requests.
    pub(super) classes: Vec<String>,
    pub(super) proxies: Vec<RecordedProxy>,
    /// Requests in the order of their arrival.
    pub(super) requests: Vec<RecordedRequest>,
    pub(super) calls: Vec<RecordedCall>,
    /// Length (ms) of the window.
    pub(super) length_ms: f64,
    /// Share of the fleet's time in the window that was recorded.
    pub(super) covered: f64,
    /// Age (ms) of the newest record.
    pub(super) age_ms: f64,
    /// Names of the backends by which recorded lists differ from the one in force; empty unless most segments differ.
    pub(super) differing_backends: Vec<String>,
    /// Digest of the segments and the version of the list.
    pub(super) digest: String,
}

impl RecordedTraffic {
    /// Selects and merges the segments that the job is about.
    pub(super) fn of(job: &Job, segments: &[Segment]) -> RecordedTraffic {
        let selection = Selection::of(job, segments);
        let offsets = clock_offsets::offsets(segments, &selection.tiers);
        let window = Window::of(&selection.segments, offsets);
        let mut traffic = RecordedTraffic {
            backends: job.listed.clone(),
            classes: Vec::new(),
            proxies: Vec::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            length_ms: window.length_ms,
            covered: 0.0,
            age_ms: job.now_ms - selection.newest_ms,
            differing_backends: selection.differing_backends,
            digest: segment::digest(job.list_version, &selection.segments),
        };
        traffic.merge(job, &selection.segments, &window);
        traffic
            .requests
            .sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms).then(a.proxy.cmp(&b.proxy)).then(a.id.cmp(&b.id)));
        traffic.drop_earliest_requests();
        traffic
    }

    /// Drops the earliest requests beyond [`MAX_REPLAYED_REQUESTS`], and the calls of that time.
    fn drop_earliest_requests(&mut self) {
        let mut remaining = MAX_REPLAYED_REQUESTS;
        let fits = |request: &&RecordedRequest| {
            remaining -= self.proxies[request.proxy as usize].scale;
            remaining >= 0.0
        };
        let kept = self.requests.iter().rev().take_while(fits).count();
        let dropped = self.requests.len() - kept;
        if dropped == 0 {
            return;
        }
        let start_ms = self.requests.get(dropped).map_or(self.length_ms, |request| request.at_ms);
        self.requests.drain(..dropped);
        self.calls.retain(|call| call.at_ms >= start_ms);
        self.requests.iter_mut().for_each(|request| request.at_ms -= start_ms);
        self.calls.iter_mut().for_each(|call| call.at_ms -= start_ms);
        for (at_ms, _) in self.proxies.iter_mut().flat_map(|proxy| &mut proxy.peers) {
            *at_ms = (*at_ms - start_ms).max(0.0);
        }
        self.length_ms -= start_ms;
    }
}
