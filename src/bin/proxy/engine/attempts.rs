//! Attempts: each one's send and end is here and nowhere else.

use super::Engine;
use super::request::{Answer, Life, Open, Out};
use super::state::State;
use crate::body::Flow;
use crate::upstream::{Attempt, End};
use load_balancer::interface::{BackendId, Event, Outcome, RequestId, Resolved};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl Engine {
    pub(super) fn send(
        self: &Rc<Self>,
        s: &mut State,
        request: RequestId,
        backend: BackendId,
        not_past: f64,
    ) {
        let Some(open) = s.requests.get_mut(&request) else { return };
        let number = open.attempts.len();
        if matches!(open.life, Life::Owed(_)) && open.call.left() {
            open.answer(Answer::Broken);
            s.events.push_back(Event::ClientGone { request });
        }
        let sent = Instant::now();
        let target = s.targets.get(&backend);
        let within = number < self.facts.settings.caps.max_attempts as usize;
        let Some(target) = target.filter(|_| within && matches!(open.life, Life::Owed(_))) else {
            open.attempts.push(None);
            s.events.push_back(resolved(request, number, backend, Outcome::NotSent, 0.0, open));
            self.observe_moot(request, number, backend);
            return;
        };
        self.observe_send(request, backend);
        let (cancel, cancelled) = oneshot::channel();
        let begin_by = open.begin_by();
        open.attempts.push(Some(Out { backend, sent, cancel: Some(cancel) }));
        let (call, target, not_past) = (open.call.clone(), target.clone(), self.clock.instant(not_past));
        let attempt = Attempt { call, target, not_past, begin_by, cancelled };
        let (engine, pool) = (self.clone(), self.pool.clone());
        tokio::task::spawn_local(attempt.run(pool, move |end| engine.ended(request, number, end)));
    }

    /// An attempt ended. The first served answer goes to the caller by itself.
    fn ended(self: &Rc<Self>, request: RequestId, number: usize, end: End) {
        let event = {
            let s = &mut *self.state.borrow_mut();
            let Some(open) = s.requests.get_mut(&request) else { return };
            let Some(out) = open.attempts.get_mut(number).and_then(Option::take) else { return };
            let outcome = end.outcome();
            if !outcome.never_ran() {
                open.ran = Some(open.ran.map_or(out.sent, |ran| ran.min(out.sent)));
            }
            if let End::Served(body) = end {
                open.answer(Answer::Served(body));
            }
            // A backend begins with the last byte.
            let begun = match open.call.rest.as_ref().map(|r| r.state()) {
                Some(Flow::Whole(at)) => at.max(out.sent),
                _ => out.sent,
            };
            let wait = begun.elapsed().as_secs_f64() * 1000.0;
            self.observe_reply(request, number, out.backend, outcome);
            let event = resolved(request, number, out.backend, outcome, wait, open);
            s.forget(request);
            event
        };
        self.tell(event);
    }
}

fn resolved(
    request: RequestId,
    number: usize,
    backend: BackendId,
    outcome: Outcome,
    wait: f64,
    open: &Open,
) -> Event {
    let (attempt, closed) = (number as u8, matches!(open.life, Life::Over));
    let spent = open.call.rest.as_ref().is_some_and(|r| r.passed());
    Event::Resolved(Resolved {
        request,
        attempt,
        backend,
        outcome,
        latency_ms: wait,
        request_ended: closed,
        body_consumed: spent,
    })
}
