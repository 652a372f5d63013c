//! The proxies of a simulation: starts their decision modules, delivers events to them and carries out their actions.
//!
//! A decision module's timers do its periodic work: they release and reject queued requests and learn from answers.
//! While a proxy has nothing queued and few answers, its timers are delayed: else hundreds of proxies would spend most of
//! the simulation on them.

use super::Simulation;
use super::events::EventKind;
use crate::Balancer;
use crate::interface::{Action, BackendId, Entry, Event, ListKind, Outcome, Phase};
use crate::replay::Ending;

/// Answers since the last timer from which timers are not delayed: with fewer, the concurrency limit does not change.
const MIN_ANSWERS_FOR_TIMER: u32 = 10;

/// A proxy of the simulation.
pub(super) struct SimulatedProxy {
    balancer: Balancer,
    /// Number of requests that are open and have no attempt in flight.
    pub(super) queued: u32,
    /// Number of attempts that ended since the proxy's last timer.
    pub(super) answers_since_timer: u32,
    /// Tokens of the timers that are delayed.
    pub(super) delayed_timers: Vec<u64>,
}

impl SimulatedProxy {
    pub(super) fn may_delay_timers(&self) -> bool {
        self.queued == 0 && self.answers_since_timer < MIN_ANSWERS_FOR_TIMER
    }

    /// Passes an event to the decision module; before it, the delayed timers if they may be delayed no longer.
    fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if !self.may_delay_timers() {
            while let Some(token) = self.delayed_timers.pop() {
                self.answers_since_timer = 0;
                self.balancer.handle(now_ms, Event::TimerFired { token }, actions);
            }
        }
        if matches!(event, Event::TimerFired { .. }) {
            self.answers_since_timer = 0;
        }
        self.balancer.handle(now_ms, event, actions);
    }
}

impl Simulation<'_> {
    /// Starts a proxy at time 0 with the weights and the list, and schedules the changes of its membership.
    pub(super) fn start_proxy(&mut self, index: u32, balancer: Balancer, weights: &[f64]) {
        let records = self.records;
        let recorded = &records.proxies[index as usize];
        self.proxies.push(SimulatedProxy {
            balancer,
            queued: 0,
            answers_since_timer: 0,
            delayed_timers: Vec::new(),
        });
        let entry = |(&backend, listed): (&BackendId, &crate::replay::Listed)| {
            let zone = recorded.zones.iter().position(|zone| *zone == listed.zone)? as u16;
            Some(Entry { backend, phase: Phase::Ready, zone, weight: listed.share, ..Entry::default() })
        };
        let entries = self.backend_ids.iter().zip(&records.backends).filter_map(entry).collect();
        let weights = self.backend_ids.iter().copied().zip(weights.iter().copied()).collect();
        self.deliver(0.0, index, Event::RouteWeights { weights });
        self.deliver(0.0, index, Event::List { kind: ListKind::Full, entries });
        for (peers, (at_ms, _)) in (0..).zip(&recorded.peers) {
            self.schedule(*at_ms, EventKind::PeersChange { proxy: index, index: peers });
        }
    }

    /// Delivers an event to a proxy and carries out the actions that it answers with.
    pub(super) fn deliver(&mut self, now_ms: f64, proxy: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.proxies[proxy as usize].handle(now_ms, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now_ms, proxy, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now_ms: f64, proxy: u32, action: Action) {
        match action {
            Action::Send { request, backend, deadline_ms } => {
                if let Some(&backend) = self.backend_indices.get(&backend) {
                    self.send(now_ms, proxy, request as u32, backend, deadline_ms);
                }
            }
            Action::Reject { request, .. } => self.request_ends(now_ms, request as u32, Ending::Refused),
            Action::Fail { request } => self.request_ends(now_ms, request as u32, Ending::Failed),
            Action::Cancel { request, attempt } => {
                let index = self.attempts.iter().position(|in_flight| in_flight.is(request, attempt));
                if let Some(index) = index {
                    self.attempts[index].outcome = Outcome::Cancelled;
                    let id = self.attempts[index].id;
                    self.schedule(now_ms, EventKind::AttemptEnds { attempt: index as u32, id });
                }
            }
            Action::SetTimer { delay_ms, token } => {
                self.schedule(now_ms + delay_ms, EventKind::TimerExpires { proxy, token });
            }
            // The list stays as recorded, and connections are not simulated.
            Action::CloseIdle { .. } | Action::Watch { .. } | Action::Withdraw { .. } | Action::Resync => {}
        }
    }
}
