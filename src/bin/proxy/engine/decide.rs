//! Takes requests and waits for their answers.

use super::Engine;
use super::clock::millis;
use super::request::{Answer, Here, Incoming, Life, Open, backstop};
use super::state::hash;
use crate::body::Flow;
use crate::upstream::{MARGIN, margin};
use load_balancer::interface::{Arrival, Event, Idempotency};
use load_balancer::replay::Ending;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

impl Engine {
    /// Takes a request and waits for its one answer. Dropped before that, the caller has hung up.
    pub async fn decide(self: &Rc<Self>, incoming: Incoming) -> Answer {
        // With no time left for an attempt it is not sent: refused, it can be asked for elsewhere without harm.
        let too_late = |last: Instant| last.saturating_duration_since(incoming.received) <= MARGIN;
        if self.last.get().is_some_and(too_late) {
            return Answer::Refused { retry_after: None };
        }
        let limit = |from: Instant| {
            let until = |last: Instant| incoming.patience.min(last.saturating_duration_since(from));
            self.last.get().map_or(incoming.patience, until)
        };
        let due = |from: Instant| self.clock.at(from + limit(from) - margin(limit(from)));
        let rest = incoming.call.rest.clone();
        let deadline = if rest.is_some() { f64::MAX } else { due(incoming.received) };
        let key = incoming.key.map_or(0, |k| hash(&k).max(1));
        let (caller, mut answer) = oneshot::channel();
        let name = self.observer.as_ref().map(|_| incoming.call.id.clone());
        let request = {
            let s = &mut *self.state.borrow_mut();
            if s.requests.len() >= self.facts.site.max_open_requests {
                return Answer::Refused { retry_after: None };
            }
            let id = s.next;
            s.next += 1;
            let call = Rc::new(incoming.call);
            let window = match self.facts.settings.classes[usize::from(incoming.class)].idempotency {
                Idempotency::Keyed { dedup_window_ms: window, .. } => {
                    Some(millis(window - self.facts.settings.tick_ms))
                }
                Idempotency::Idempotent | Idempotency::NonIdempotent => None,
            };
            let (life, attempts) = (Life::Owed(caller), Vec::new());
            s.requests.insert(id, Open { call, life, attempts, window, ran: None });
            id
        };
        let here = Here { engine: self.clone(), request, ending: Cell::new(Ending::Left) };
        let (class, tenant, coming) = (incoming.class, incoming.tenant, rest.is_some());
        let arrival = Arrival { request, key, class, tenant, deadline_ms: deadline, body_pending: coming };
        self.observe_arrival(name, &arrival, incoming.patience);
        self.tell(Event::Request(arrival));
        let mut whole = incoming.received;
        if let Some(rest) = rest {
            let flow = tokio::select! {
                biased;
                answer = &mut answer => return here.ends(answer.unwrap_or(Answer::Failed)),
                flow = rest.settled() => flow,
            };
            let Flow::Whole(at) = flow else { return Answer::Broken };
            whole = at;
            self.tell(Event::BodyComplete { request, deadline_ms: due(at) });
        }
        let limit = limit(whole);
        here.ends(tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed),
            // The module answers in time; this guards against a late loop and against its silence.
            () = sleep_until(whole + limit - backstop(limit)) => Answer::TimedOut,
        })
    }
}
