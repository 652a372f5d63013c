//! What a proxy records of the requests that it samples.

use serde::{Deserialize, Serialize};

/// How an attempt ended, as the module is told.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Served.
    Ok,
    /// Answered with an error.
    Error,
    /// Found fault with the request.
    Malformed,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Never sent.
    Moot,
}

/// How a request ended.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A backend's answer was passed on.
    Served,
    /// Refused: a further try is harmless.
    Refused,
    /// Failed, or not answered in time.
    Failed,
    /// Its client left.
    Left,
}

/// A sampled request at one proxy.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Trace {
    /// Hash of the request's id; the same at every proxy on its way.
    pub id: u64,
    /// When it arrived, Unix time in milliseconds by this proxy's clock.
    pub at_ms: f64,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// Hash of its key, 0 without one.
    pub key: u64,
    /// How long its client waits.
    pub patience_ms: f64,
    /// How it ended.
    pub ending: Ending,
    /// From its arrival to its end.
    pub took_ms: f64,
    /// Its attempts in the order of their sends.
    pub tries: Vec<Try>,
}

/// One attempt.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Try {
    /// Place of the backend in the segment's list.
    pub backend: u32,
    /// From the request's arrival to the send.
    pub after_ms: f64,
    /// From the send to its end.
    pub wait_ms: f64,
    /// How it ended.
    pub reply: Reply,
    /// This proxy's other calls in flight at the backend when it was sent.
    pub in_flight: u32,
}

/// What membership tells a module, as in [`Event::Peers`](crate::interface::Event::Peers).
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Alive, this copy included.
    pub alive: u32,
    /// Alive, or gone not long ago.
    pub known: u32,
    /// This copy's place among those alive.
    pub rank: Option<u32>,
}

/// What one proxy recorded for a time.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The proxy's name, as in its reports.
    pub name: String,
    /// Its generation, as in its reports.
    pub generation: u64,
    /// Counts its segments from 1: a gap is a segment that was lost.
    pub number: u64,
    /// Its zone.
    pub zone: String,
    /// Its settings, JSON in the platform's form, so that a copy of the module can be started as it was.
    pub settings: String,
    /// Revision of the table in force, for the whole segment.
    pub revision: u64,
    /// Version of the list, at its end.
    pub list_version: u64,
    /// The last that membership told its module; none where there is none.
    pub peers: Option<Peers>,
    /// The list's backends, with class of machine, zone and size beside the others'.
    pub backends: Vec<(String, String, String, f64)>,
    /// From when to when it was recorded, Unix time in milliseconds by this proxy's clock: it holds what ended then.
    pub span_ms: (f64, f64),
    /// So many in 65,536 requests are sampled.
    pub sampled: u32,
    /// Requests that arrived in the span, sampled or not.
    pub seen: u64,
    /// Sampled ones that there was no room for.
    pub dropped: u64,
    /// The sampled ones.
    pub traces: Vec<Trace>,
}
