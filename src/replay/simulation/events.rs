//! The events of a simulation and their effects.

use super::Simulation;
use super::arrivals::SimulatedArrival;
use crate::interface::{Arrival, Event, RequestId};
use crate::replay::{Ending, Peers};

/// Maximum delay (ms) of a timer.
const MAX_TIMER_DELAY_MS: f64 = 1000.0;

/// An event in the queue. The derived order is that of time, then of scheduling.
#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
pub(super) struct ScheduledEvent {
    /// Bits of the event's time (ms). The time is not negative, so that the bits sort like the number.
    pub(super) at_ms_bits: u64,
    /// Number of the event in the order of scheduling.
    pub(super) sequence: u64,
    pub(super) kind: EventKind,
}

/// The kind of an event, with the objects that it is about.
#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
pub(super) enum EventKind {
    /// An attempt ends. `id` distinguishes it from later attempts that reuse the index.
    AttemptEnds { attempt: u32, id: u64 },
    /// A proxy's timer expires.
    TimerExpires { proxy: u32, token: u64 },
    /// The maximum delay of a delayed timer expires.
    DelayedTimerExpires { proxy: u32, token: u64 },
    /// A proxy learns how many instances are alive.
    PeersChange { proxy: u32, index: u32 },
    /// A client leaves.
    ClientLeaves { request: u32 },
}

impl Simulation<'_> {
    pub(super) fn request_arrives(&mut self, request: u32) {
        let SimulatedArrival { at_ms, replica, .. } = self.arrivals[request as usize];
        let recorded = self.recorded(request);
        self.unsettled += 1;
        if recorded.ending == Ending::Left {
            self.schedule(at_ms + recorded.took_ms, EventKind::ClientLeaves { request });
        }
        // The requests that a recorded one stands for have other keys.
        let key = if recorded.key == 0 { 0 } else { recorded.key ^ (u64::from(replica) << 32) };
        let arrival = Arrival {
            request: RequestId::from(request),
            key,
            class: recorded.proxy_class,
            tenant: recorded.tenant,
            deadline_ms: at_ms + recorded.client_timeout_ms,
            body_pending: false,
        };
        self.deliver(at_ms, recorded.proxy, Event::Request(arrival));
        self.update_queued(request);
    }

    pub(super) fn process(&mut self, event: ScheduledEvent) {
        let now_ms = f64::from_bits(event.at_ms_bits);
        match event.kind {
            EventKind::AttemptEnds { attempt, id } => {
                if self.attempts[attempt as usize].id == id {
                    self.attempt_ends(now_ms, attempt);
                }
            }
            EventKind::TimerExpires { proxy, token } => {
                if self.proxies[proxy as usize].may_delay_timers() {
                    self.proxies[proxy as usize].delayed_timers.push(token);
                    let kind = EventKind::DelayedTimerExpires { proxy, token };
                    self.schedule(now_ms + MAX_TIMER_DELAY_MS, kind);
                } else {
                    self.deliver(now_ms, proxy, Event::TimerFired { token });
                }
            }
            EventKind::DelayedTimerExpires { proxy, token } => {
                let delayed = &mut self.proxies[proxy as usize].delayed_timers;
                if let Some(index) = delayed.iter().position(|&other| other == token) {
                    delayed.remove(index);
                    self.deliver(now_ms, proxy, Event::TimerFired { token });
                }
            }
            EventKind::PeersChange { proxy, index } => {
                let (_, Peers { alive, known, rank }) =
                    self.records.proxies[proxy as usize].peers[index as usize];
                self.deliver(now_ms, proxy, Event::Peers { alive, known, rank });
            }
            EventKind::ClientLeaves { request } => {
                let proxy = self.recorded(request).proxy;
                self.request_ends(now_ms, request, Ending::Left);
                self.deliver(now_ms, proxy, Event::ClientGone { request: RequestId::from(request) });
            }
        }
    }

    /// Ends a request for its client. Only the first end counts.
    pub(super) fn request_ends(&mut self, now_ms: f64, request: u32, ending: Ending) {
        let pending = &mut self.requests[request as usize];
        if pending.ended {
            return;
        }
        pending.ended = true;
        self.unsettled -= 1;
        self.update_queued(request);
        let arrived_ms = self.arrivals[request as usize].at_ms;
        let class = self.recorded(request).class;
        let took_ms = now_ms - arrived_ms + self.model.proxy_time_ms[usize::from(class)];
        self.statistics.add_request(arrived_ms, class, ending, took_ms.max(0.0));
    }

    /// Keeps count of the requests that are open at a proxy and have no attempt in flight.
    pub(super) fn update_queued(&mut self, request: u32) {
        let proxy = self.recorded(request).proxy;
        let pending = &mut self.requests[request as usize];
        let queued = !pending.ended && pending.in_flight == 0;
        let was_queued = std::mem::replace(&mut pending.queued, queued);
        let count = &mut self.proxies[proxy as usize].queued;
        *count = *count + u32::from(queued) - u32::from(was_queued);
    }
}
