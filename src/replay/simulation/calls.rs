//! The attempts of a simulation: sent to a backend, answered by the model, reported to the decision module.

use super::Simulation;
use super::events::EventKind;
use crate::interface::{Event, Outcome, RequestId, Resolved};
use crate::replay::common_random_numbers::CommonRandomNumbers;
use crate::replay::model::SimulatedCall;
use crate::replay::{AttemptOutcome, Ending};

/// The `id` of an attempt that has ended.
const NO_ATTEMPT: u64 = u64::MAX;

/// An attempt in flight, or one that has ended and whose index may be reused.
pub(super) struct InFlightAttempt {
    /// Distinguishes the attempt from earlier ones with the same index; [`NO_ATTEMPT`] once it has ended.
    pub(super) id: u64,
    request: u32,
    proxy: u32,
    backend: u32,
    /// Number of the attempt among those of its request.
    attempt: u8,
    sent_ms: f64,
    /// Outcome with which the attempt will end.
    pub(super) outcome: Outcome,
}

impl InFlightAttempt {
    /// Whether this is the given attempt of the given request, and in flight.
    pub(super) fn is(&self, request: RequestId, attempt: u8) -> bool {
        self.id != NO_ATTEMPT && RequestId::from(self.request) == request && self.attempt == attempt
    }
}

impl Simulation<'_> {
    pub(super) fn send(&mut self, now_ms: f64, proxy: u32, request: u32, backend: u32, deadline_ms: f64) {
        let recorded = self.recorded(request);
        let attempt = self.requests[request as usize].attempts;
        self.requests[request as usize].attempts = attempt.wrapping_add(1);
        self.in_flight[backend as usize] += 1;
        let call = SimulatedCall {
            proxy: recorded.proxy as usize,
            backend: backend as usize,
            class: usize::from(recorded.class),
            in_flight: f64::from(self.in_flight[backend as usize]),
            at_ms: now_ms,
        };
        let (outcome, end_ms) = self.answer(&call, request, attempt, deadline_ms);
        let crosses = self.records.proxies[call.proxy].zone != self.records.backends[call.backend].zone;
        self.statistics.add_call(now_ms, backend, call.in_flight, crosses, 1.0);
        let id = self.scheduled;
        let sent = InFlightAttempt { id, request, proxy, backend, attempt, sent_ms: now_ms, outcome };
        let index = self.free_attempts.pop().unwrap_or(self.attempts.len() as u32);
        match self.attempts.get_mut(index as usize) {
            Some(ended) => *ended = sent,
            None => self.attempts.push(sent),
        }
        self.unsettled += 1;
        self.requests[request as usize].in_flight += 1;
        self.update_queued(request);
        self.schedule(end_ms, EventKind::AttemptEnds { attempt: index, id });
    }

    /// Outcome and end (ms) of an attempt. An attempt that would end after its deadline times out at the deadline.
    fn answer(&self, call: &SimulatedCall, request: u32, attempt: u8, deadline_ms: f64) -> (Outcome, f64) {
        let recorded = self.recorded(request);
        let replica = self.arrivals[request as usize].replica;
        let mut random =
            CommonRandomNumbers::new(self.seed ^ u64::from(replica), recorded.id, u64::from(attempt));
        let (recorded_outcome, wait_ms) = self.model.answer(call, &mut random);
        let end_ms = call.at_ms + wait_ms;
        let outcome = module_outcome(recorded_outcome);
        if outcome == Outcome::Timeout || end_ms > deadline_ms {
            return (Outcome::Timeout, deadline_ms.max(call.at_ms));
        }
        if recorded.malformed && outcome == Outcome::Ok {
            return (Outcome::Malformed, end_ms);
        }
        (outcome, end_ms)
    }

    pub(super) fn attempt_ends(&mut self, now_ms: f64, index: u32) {
        let ended = &mut self.attempts[index as usize];
        ended.id = NO_ATTEMPT;
        let InFlightAttempt { request, proxy, backend, attempt, sent_ms, outcome, .. } = *ended;
        self.free_attempts.push(index);
        self.in_flight[backend as usize] -= 1;
        self.unsettled -= 1;
        self.proxies[proxy as usize].answers_since_timer += 1;
        self.requests[request as usize].in_flight -= 1;
        match outcome {
            Outcome::Ok => self.request_ends(now_ms, request, Ending::Served),
            Outcome::Malformed => self.request_ends(now_ms, request, self.recorded(request).ending),
            _ => {}
        }
        let resolved = Resolved {
            request: RequestId::from(request),
            attempt,
            backend: self.backend_ids[backend as usize],
            outcome,
            latency_ms: now_ms - sent_ms,
            request_ended: self.requests[request as usize].ended,
            body_consumed: false,
        };
        self.deliver(now_ms, proxy, Event::Resolved(resolved));
        self.update_queued(request);
    }
}

/// The decision module's form of a recorded outcome.
fn module_outcome(outcome: AttemptOutcome) -> Outcome {
    match outcome {
        AttemptOutcome::Ok => Outcome::Ok,
        AttemptOutcome::Error => Outcome::Error,
        AttemptOutcome::Malformed => Outcome::Malformed,
        AttemptOutcome::Rejected => Outcome::Rejected,
        AttemptOutcome::Timeout => Outcome::Timeout,
        AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
        AttemptOutcome::Reset => Outcome::Reset,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::NotSent => Outcome::NotSent,
    }
}
