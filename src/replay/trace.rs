//! The format of recorded traffic: what a proxy records of the requests that it samples.

use serde::{Deserialize, Serialize};

/// Outcome of a recorded attempt, as the decision module is told it
/// ([`Outcome`](crate::interface::Outcome)).
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The backend served the request.
    Ok,
    /// The backend answered with an error.
    Error,
    /// The backend found the request malformed.
    Malformed,
    /// The backend rejected the call without processing it.
    #[serde(rename = "full")]
    Rejected,
    /// No answer arrived before the attempt's deadline.
    Timeout,
    /// No connection to the backend could be established.
    ConnectFailed,
    /// The connection broke during the call.
    Reset,
    /// The proxy cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    #[serde(rename = "moot")]
    NotSent,
}

/// How a recorded request ended for its client.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The proxy passed on a backend's answer.
    Served,
    /// The proxy refused the request; a retry by the client is harmless.
    Refused,
    /// The request failed or was not answered in time.
    Failed,
    /// The client left before the end.
    Left,
}

/// A sampled request, as one proxy recorded it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Trace {
    /// Hash of the request's id; the same at every proxy that the request passes.
    pub id: u64,
    /// Arrival of the request: Unix time in milliseconds by this proxy's clock.
    pub at_ms: f64,
    /// Index of the request's class in the proxy's settings.
    pub class: u16,
    /// Index of the request's tenant in the proxy's settings.
    pub tenant: u16,
    /// Hash of the request's key; 0 for none.
    pub key: u64,
    /// Time (ms) that the client waits for an answer.
    #[serde(rename = "patience_ms")]
    pub client_timeout_ms: f64,
    /// How the request ended for its client.
    pub ending: Ending,
    /// Time (ms) from the request's arrival to its end.
    pub took_ms: f64,
    /// The request's attempts in the order in which they were sent.
    #[serde(rename = "tries")]
    pub attempts: Vec<AttemptTrace>,
}

/// An attempt of a sampled request.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AttemptTrace {
    /// Index of the backend in the segment's list.
    pub backend: u32,
    /// Time (ms) from the request's arrival to the send of the attempt.
    pub after_ms: f64,
    /// Time (ms) from the send of the attempt to its end.
    pub wait_ms: f64,
    /// Outcome of the attempt.
    #[serde(rename = "reply")]
    pub outcome: AttemptOutcome,
    /// Other calls of this proxy in flight at the backend when the attempt was sent.
    pub in_flight: u32,
}

/// Membership as the decision module is told it in [`Event::Peers`](crate::interface::Event::Peers).
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Instances that are alive, this one included.
    pub alive: u32,
    /// Instances that are alive or left recently.
    pub known: u32,
    /// Rank of this instance among those alive.
    pub rank: Option<u32>,
}

/// The recorded traffic of one proxy over a span of time.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// Name of the proxy, as in its reports.
    pub name: String,
    /// Generation of the proxy, as in its reports.
    pub generation: u64,
    /// Sequence number of the segment within its generation, from 1: a gap is a segment that was lost.
    pub number: u64,
    /// Zone of the proxy.
    pub zone: String,
    /// Settings of the proxy, JSON in the platform's form, from which the replay starts the same decision module.
    pub settings: String,
    /// Revision of the route table in force, the same during the whole segment.
    pub revision: u64,
    /// Version of the endpoint list at the end of the segment.
    pub list_version: u64,
    /// Latest membership that the decision module was told; `None` without membership.
    pub peers: Option<Peers>,
    /// Name, machine class, zone and relative size of each backend in the list.
    pub backends: Vec<(String, String, String, f64)>,
    /// Start and end of the recording: Unix time in milliseconds by this proxy's clock. The segment holds the requests
    /// that ended within.
    pub span_ms: (f64, f64),
    /// Sampled requests of each 65,536.
    pub sampled: u32,
    /// Number of requests that arrived in the span, sampled or not.
    pub seen: u64,
    /// Number of sampled requests without a trace: there was no room, the route table changed while they were open, or
    /// one of their backends is not in the list.
    pub dropped: u64,
    /// Traces of the sampled requests, in the order of their arrival.
    pub traces: Vec<Trace>,
}
