//! Passes events to the balancer and performs the actions that it returns.
//!
//! Runs on each socket event, timer and change of the endpoint list. The queue of events for the balancer is in
//! [`State`].

use super::Engine;
use super::clock::millis;
use super::request::RequestEnd;
use super::state::State;
use load_balancer::interface::{Action, AttemptNo, Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl Engine {
    /// Passes an event to the balancer and performs the returned actions, then does the same for the events that those
    /// actions caused, until the queue is empty. Queuing the events keeps the balancer from being called reentrantly.
    pub(super) fn handle_event(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.set_connection_use(self.pool.connection_use());
            let shed_before = state.balancer.shed_for_connections();
            state.balancer.handle(self.clock.at(Instant::now()), event, &mut actions);
            self.pool.count_refused(state.balancer.shed_for_connections() - shed_before);
            for action in actions.drain(..) {
                self.perform(state, action);
            }
            state.actions = actions;
        }
    }

    fn perform(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, backend, deadline_ms } => {
                self.start_attempt(state, request, backend, deadline_ms);
            }
            Action::Reject { request, retry_after_ms } => {
                let retry_after = Some(millis(retry_after_ms)).filter(|d| !d.is_zero());
                self.count_refused(state, request);
                state.end_request(request, RequestEnd::Rejected { retry_after });
            }
            Action::Fail { request } => state.end_request(request, RequestEnd::UpstreamFailed),
            Action::Cancel { request, attempt } => cancel_attempt(state, request, attempt),
            Action::SetTimer { delay_ms, token } => self.set_timer(millis(delay_ms), token),
            Action::CloseIdle { backend } => {
                if let Some(target) = state.targets.get(&backend) {
                    self.pool.close_idle(target.address);
                }
            }
            Action::Watch { on } => {
                self.watch_wanted.send_replace(on);
            }
            Action::Withdraw { backend } => state.withdraw(backend, &self.pool),
            Action::Resync => {
                self.resync_requested.set(true);
                self.watch_wanted.send_replace(true);
            }
        }
    }

    /// Counts a refused request whose last attempt was not sent because the process lacked something.
    fn count_refused(&self, state: &State, request: RequestId) {
        let pending = state.requests.get(&request).filter(|pending| pending.is_unanswered());
        if let Some(shortage) = pending.and_then(|pending| pending.call.shortage.get()) {
            self.pool.refusals.add(shortage, 1);
        }
    }

    /// Tells the balancer of connections that became free after the end of their attempts.
    pub async fn watch_freed_connections(self: Rc<Self>) {
        loop {
            self.pool.reservations.freed().await;
            self.handle_event(Event::ConnectionsFreed);
        }
    }

    fn set_timer(self: &Rc<Self>, delay: Duration, token: u64) {
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            engine.handle_event(Event::TimerFired { token });
        });
    }
}

fn cancel_attempt(state: &mut State, request: RequestId, attempt: AttemptNo) {
    let pending = state.requests.get_mut(&request);
    let in_flight = pending.and_then(|r| r.attempts.get_mut(usize::from(attempt))?.as_mut());
    if let Some(cancel) = in_flight.and_then(|attempt| attempt.cancel.take()) {
        // The send fails if the attempt has just ended; then there is nothing to cancel.
        let _ = cancel.send(());
    }
}
