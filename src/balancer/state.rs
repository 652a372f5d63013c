//! The decision module's records: plain fields, no logic. What they mean is decided in `balancer/`.

use crate::interface::{BackendId, Entry, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A backend, as the list and its answers tell of it.
#[derive(Default)]
pub struct Backend {
    pub entry: Entry,
    pub calls: VecDeque<(RequestId, f64)>,
    pub heard: f64,
    pub slow: f64, // latency over its class's mean
    pub seen: f64,
    pub error: f64,
    pub ejected_until: f64, // 0: in service
    pub ejections: u32,
    pub cold_tokens: f64,
    pub route: f64,            // the route table's weight
    pub turn: f64,             // picks so far, each over the weight beside the others'
    pub unlisted: Option<f64>, // since when the list lacks it and is not believed
}

/// An attempt of a request.
pub struct Attempt {
    pub backend: BackendId,
    pub place: (u16, u16), // zone and cell
    pub sent: f64,
    pub out: bool,
    pub never_ran: bool,
    pub counted: bool, // against the limit
}

/// A request that is owed an answer, or has attempts out.
pub struct Request {
    pub key: u64, // of an ordered class, else 0
    pub class: usize,
    pub slice: usize,
    pub deadline: f64,
    pub hold_until: f64,
    pub ended: bool,
    pub coming: bool, // its body flows still: no backend can begin
    pub attempts: Vec<Attempt>,
}

/// The requests of a key whose class asks for order, in the order they came.
#[derive(Default)]
pub struct Line {
    pub ids: VecDeque<RequestId>,
    pub turn: bool, // the first has been let go ahead
    pub rest_until: f64,
}

/// A slice of the limit.
#[derive(Default)]
pub struct Slice {
    pub share: f64,
    pub busy: f64,
    pub held: VecDeque<RequestId>,
}

/// What the limiter knows of a class.
#[derive(Default)]
pub struct Latency {
    pub aim: f64,
    pub samples: f64,
    pub mean: f64,
    pub base: f64,
    pub busy: f64,
}

/// The learned total, judged in windows by two views: the answers' latencies, and Little's law (calls in
/// flight over the rate of answers is the mean latency, slow ones counted while they are still out).
#[derive(Default)]
pub struct Limiter {
    pub total: f64,
    pub classes: Vec<Latency>,
    pub elapsed: f64,
    pub area: f64, // calls in flight, each over its class's target, times time
    pub answers: f64,
    pub ratios: f64, // of the answers: latency over the class's target, summed
    pub drops: f64,
    pub timeouts: f64,
    pub used: bool,
    pub flight: f64, // calls in flight times time
    pub waits: f64,  // of the answers
    pub bases: f64,  // their classes' baselines, summed alike
    pub rate: f64,
    pub best: f64, // rate of answers in the last minute or so
    pub served: f64,
    pub warm: f64,        // most members in the window, cold ones in part
    pub member_rate: f64, // rate of what was served, for each of them
    pub mean: f64,
}

/// A member of the roster that may bear other than 1: it is cold, or out of service.
pub struct Exception {
    pub id: BackendId,
    pub started_at: f64,
    pub ejected_until: f64,
    pub rank: usize, // place among all members ...
    pub part: usize,
    pub rank_in_part: usize, // ... and in its part
}

/// What the roster's members surely bear, each 1 if it is warm.
pub struct Capacity {
    pub all: f64,
    pub parts: [f64; 2], // without those out of service
}

/// The backends that take work.
#[derive(Default)]
pub struct Roster {
    pub home: Option<u16>,       // this copy's zone, where leaving it has a price
    pub members: Vec<BackendId>, // in order
    pub zones: Vec<u16>,         // of each member
    pub zone_sizes: BTreeMap<u16, usize>,
    pub parts: [Vec<BackendId>; 2],            // of the members: at home, beyond
    pub exceptions: Vec<Exception>,            // in order
    pub ranked: bool,                          // their ranks hold
    pub uneven: BTreeMap<BackendId, [f64; 2]>, // weight and route of members where one is not 1
    pub changed: BTreeSet<BackendId>,          // whose phase or entry the members do not show yet
    pub doubted: BTreeSet<BackendId>,          // members that the list lacks
    pub moved: bool, // members or who of them is out of service, since the subset was drawn
}

/// What the subset takes of a part of the roster: from a place onwards, round its end, until so many healthy
/// ones are in, and how many that are in all.
#[derive(Default)]
pub struct Segment {
    pub from: usize,
    pub healthy: f64,
    pub taken: usize,
}
