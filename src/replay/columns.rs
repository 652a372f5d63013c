//! The columnar layout of a segment: each column holds one field of all traces or attempts, as similar values next to
//! each other compress best. Times are in whole microseconds.

use super::{AttemptOutcome, AttemptTrace, BadSegment, Ending, Segment, Trace};
use serde::{Deserialize, Serialize};

/// Maximum number of attempts of a trace; further ones are not encoded.
const MAX_ATTEMPTS_OF_TRACE: usize = u8::MAX as usize;

/// A segment without its traces, and the traces as columns. The order of the fields is the encoding.
#[derive(Serialize, Deserialize)]
pub(super) struct Columns {
    /// The segment without its traces.
    #[serde(rename = "head")]
    segment: Segment,
    // One value for each trace.
    ids: Vec<[u8; 8]>,
    /// Time from the trace before.
    #[serde(rename = "gaps")]
    arrival_deltas: Vec<i64>,
    classes: Vec<u16>,
    tenants: Vec<u16>,
    keys: Vec<u64>,
    #[serde(rename = "patience")]
    client_timeouts: Vec<u64>,
    endings: Vec<Ending>,
    #[serde(rename = "took")]
    durations: Vec<u64>,
    #[serde(rename = "counts")]
    attempt_counts: Vec<u8>,
    // One value for each attempt.
    backends: Vec<u32>,
    /// Time from the arrival of the request to the send.
    #[serde(rename = "after")]
    send_delays: Vec<u64>,
    waits: Vec<u64>,
    #[serde(rename = "replies")]
    outcomes: Vec<AttemptOutcome>,
    in_flight: Vec<u32>,
}

fn to_micros(ms: f64) -> u64 {
    (ms * 1000.0).round() as u64
}

fn to_millis(us: u64) -> f64 {
    us as f64 / 1000.0
}

/// Copies a segment without its traces.
fn without_traces(segment: &Segment) -> Segment {
    Segment {
        name: segment.name.clone(),
        zone: segment.zone.clone(),
        settings: segment.settings.clone(),
        backends: segment.backends.clone(),
        traces: Vec::new(),
        ..*segment
    }
}

impl Columns {
    pub fn from_segment(segment: &Segment) -> Columns {
        let traces = &segment.traces;
        let mut last_arrival = 0;
        let arrival_delta = |trace: &Trace| {
            let arrival = to_micros(trace.at_ms) as i64;
            arrival.wrapping_sub(std::mem::replace(&mut last_arrival, arrival))
        };
        let attempts = || traces.iter().flat_map(|trace| trace.attempts.iter().take(MAX_ATTEMPTS_OF_TRACE));
        let attempt_count = |trace: &Trace| trace.attempts.len().min(MAX_ATTEMPTS_OF_TRACE) as u8;
        Columns {
            segment: without_traces(segment),
            ids: traces.iter().map(|trace| trace.id.to_le_bytes()).collect(),
            arrival_deltas: traces.iter().map(arrival_delta).collect(),
            classes: traces.iter().map(|trace| trace.class).collect(),
            tenants: traces.iter().map(|trace| trace.tenant).collect(),
            keys: traces.iter().map(|trace| trace.key).collect(),
            client_timeouts: traces.iter().map(|trace| to_micros(trace.client_timeout_ms)).collect(),
            endings: traces.iter().map(|trace| trace.ending).collect(),
            durations: traces.iter().map(|trace| to_micros(trace.took_ms)).collect(),
            attempt_counts: traces.iter().map(attempt_count).collect(),
            backends: attempts().map(|attempt| attempt.backend).collect(),
            send_delays: attempts().map(|attempt| to_micros(attempt.after_ms)).collect(),
            waits: attempts().map(|attempt| to_micros(attempt.wait_ms)).collect(),
            outcomes: attempts().map(|attempt| attempt.outcome).collect(),
            in_flight: attempts().map(|attempt| attempt.in_flight).collect(),
        }
    }

    /// Converts the columns back to a segment; fails if their lengths contradict each other.
    pub fn into_segment(self) -> Result<Segment, BadSegment> {
        if !self.has_consistent_lengths() {
            return Err(BadSegment::Undecodable("columns of unequal length".into()));
        }
        let Columns { mut segment, .. } = self;
        let attempt_count: usize = self.attempt_counts.iter().map(|&count| usize::from(count)).sum();
        let mut attempts = (0..attempt_count).map(|index| AttemptTrace {
            backend: self.backends[index],
            after_ms: to_millis(self.send_delays[index]),
            wait_ms: to_millis(self.waits[index]),
            outcome: self.outcomes[index],
            in_flight: self.in_flight[index],
        });
        let mut arrival = 0_i64;
        let trace = |index: usize| {
            arrival = arrival.wrapping_add(self.arrival_deltas[index]);
            Trace {
                id: u64::from_le_bytes(self.ids[index]),
                at_ms: arrival as f64 / 1000.0,
                class: self.classes[index],
                tenant: self.tenants[index],
                key: self.keys[index],
                client_timeout_ms: to_millis(self.client_timeouts[index]),
                ending: self.endings[index],
                took_ms: to_millis(self.durations[index]),
                attempts: attempts.by_ref().take(usize::from(self.attempt_counts[index])).collect(),
            }
        };
        segment.traces = (0..self.ids.len()).map(trace).collect();
        Ok(segment)
    }

    /// Whether there is one value for each trace, or for each attempt, in every column.
    fn has_consistent_lengths(&self) -> bool {
        let attempt_count: usize = self.attempt_counts.iter().map(|&count| usize::from(count)).sum();
        let of_traces = [
            self.arrival_deltas.len(),
            self.classes.len(),
            self.tenants.len(),
            self.keys.len(),
            self.client_timeouts.len(),
            self.endings.len(),
            self.durations.len(),
            self.attempt_counts.len(),
        ];
        let of_attempts = [
            self.backends.len(),
            self.send_delays.len(),
            self.waits.len(),
            self.outcomes.len(),
            self.in_flight.len(),
        ];
        of_traces.iter().all(|&len| len == self.ids.len())
            && of_attempts.iter().all(|&len| len == attempt_count)
    }
}
