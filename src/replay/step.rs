//! One step of a replay: an event to a copy, and what it answers.

use super::model::Ask;
use super::play::{Coming, Copy, Due, Out, Play, What};
use super::quantiles::Luck;
use super::{Ending, Peers, Reply};
use crate::interface::{Action, Arrival, Event, Outcome, RequestId, Resolved};
use std::cmp::Reverse;

// A copy's timers do the housekeeping: they free and refuse what is held, and learn from what was answered. With
// nothing held and hardly an answer they come late, or hundreds of copies would do little else.
const LATE: f64 = 1000.0; // ms, at the most
const HEARD: u32 = 10; // answers without which the module's limiter learns nothing

fn outcome(reply: Reply) -> Outcome {
    match reply {
        Reply::Ok => Outcome::Ok,
        Reply::Error => Outcome::Error,
        Reply::Malformed => Outcome::Malformed,
        Reply::Full => Outcome::Rejected,
        Reply::Timeout => Outcome::Timeout,
        Reply::ConnectFailed => Outcome::ConnectFailed,
        Reply::Reset => Outcome::Reset,
        Reply::Cancelled => Outcome::Cancelled,
        Reply::Moot => Outcome::NotSent,
    }
}

impl Copy {
    fn may_be_late(&self) -> bool {
        self.waiting == 0 && self.heard < HEARD
    }
}

impl Play<'_> {
    pub(super) fn plan(&mut self, at: f64, what: What) {
        self.made += 1;
        self.due.push(Reverse(Due { at: at.max(0.0).to_bits(), made: self.made, what }));
    }

    pub(super) fn arrive(&mut self, request: u32) {
        let Coming { at, of, nth } = self.coming[request as usize];
        let r = &self.r.requests[of as usize];
        self.unsettled += 1;
        if r.ending == Ending::Left {
            self.plan(at + r.took, What::Leave { request });
        }
        // Those that a recorded one stands for are about other things.
        let key = if r.key == 0 { 0 } else { r.key ^ (u64::from(nth) << 32) };
        let arrival = Arrival {
            request: RequestId::from(request),
            key,
            class: r.own_class,
            tenant: r.tenant,
            deadline_ms: at + r.patience,
            body_pending: false,
        };
        self.tell(at, r.proxy, Event::Request(arrival));
        self.waits(request);
    }

    /// What is due has come.
    pub(super) fn come(&mut self, due: Due) {
        let now = f64::from_bits(due.at);
        match due.what {
            What::End { call, sent } if self.calls[call as usize].sent == sent => self.resolve(now, call),
            What::End { .. } => {}
            What::Wake { copy, token } if self.copies[copy as usize].may_be_late() => {
                self.copies[copy as usize].late.push(token);
                self.plan(now + LATE, What::Late { copy, token });
            }
            What::Wake { copy, token } => self.tell(now, copy, Event::TimerFired { token }),
            What::Late { copy, token } => {
                let late = &mut self.copies[copy as usize].late;
                if let Some(i) = late.iter().position(|&t| t == token) {
                    late.remove(i);
                    self.tell(now, copy, Event::TimerFired { token });
                }
            }
            What::Peers { copy, nth } => {
                let (_, Peers { alive, known, rank }) = self.r.proxies[copy as usize].peers[nth as usize];
                self.tell(now, copy, Event::Peers { alive, known, rank });
            }
            What::Leave { request } => {
                let copy = self.recorded(request).proxy;
                self.end(now, request, Ending::Left);
                self.tell(now, copy, Event::ClientGone { request: RequestId::from(request) });
            }
        }
    }

    /// One event to a copy, after the timers that waited for it.
    pub(super) fn tell(&mut self, now: f64, copy: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let c = &mut self.copies[copy as usize];
        if !c.may_be_late() {
            while let Some(token) = c.late.pop() {
                c.heard = 0;
                c.balancer.handle(now, Event::TimerFired { token }, &mut actions);
            }
        }
        if matches!(event, Event::TimerFired { .. }) {
            c.heard = 0;
        }
        c.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, backend, deadline_ms: not_past } => {
                    if let Some(&backend) = self.ids.get(&backend) {
                        self.send(now, copy, request as u32, backend, not_past);
                    }
                }
                Action::Reject { request, .. } => self.end(now, request as u32, Ending::Refused),
                Action::Fail { request } => self.end(now, request as u32, Ending::Failed),
                Action::Cancel { request, attempt } => {
                    let of = |c: &Out| c.live && u64::from(c.request) == request && c.attempt == attempt;
                    if let Some(call) = self.calls.iter().position(of) {
                        self.calls[call].outcome = Outcome::Cancelled;
                        let sent = self.calls[call].sent;
                        self.plan(now, What::End { call: call as u32, sent });
                    }
                }
                Action::SetTimer { delay_ms: delay, token } => {
                    self.plan(now + delay, What::Wake { copy, token })
                }
                // The list is as it was recorded, and connections cost nothing here.
                Action::CloseIdle { .. }
                | Action::Watch { .. }
                | Action::Withdraw { .. }
                | Action::Resync => {}
            }
        }
        self.actions = actions;
    }

    fn recorded(&self, request: u32) -> &super::records::Request {
        &self.r.requests[self.coming[request as usize].of as usize]
    }

    fn send(&mut self, now: f64, copy: u32, request: u32, backend: u32, not_past: f64) {
        let Coming { of, nth, .. } = self.coming[request as usize];
        let recorded = &self.r.requests[of as usize];
        let attempt = self.open[request as usize].attempts;
        self.open[request as usize].attempts = attempt.wrapping_add(1);
        let flight = &mut self.flight[backend as usize];
        *flight += 1;
        let flight = f64::from(*flight);
        let (proxy, class) = (recorded.proxy as usize, usize::from(recorded.class));
        let ask = Ask { proxy, backend: backend as usize, class, flight, at: now };
        let mut luck = Luck::new(self.seed ^ u64::from(nth), recorded.id, u64::from(attempt));
        let (reply, wait) = self.model.answer(&ask, &mut luck);
        let (end, mut outcome) = (now + wait, outcome(reply));
        if recorded.malformed && outcome == Outcome::Ok {
            outcome = Outcome::Malformed;
        }
        if outcome == Outcome::Timeout || end > not_past {
            outcome = Outcome::Timeout;
        }
        let end = if outcome == Outcome::Timeout { not_past.max(now) } else { end };
        let crosses = self.r.proxies[proxy].zone != self.r.backends[backend as usize].zone;
        self.tally.call(now, backend, flight, crosses, 1.0);
        let sent = self.made;
        let out = Out { live: true, request, copy, backend, attempt, sent, at: now, outcome };
        let call = self.free.pop().unwrap_or(self.calls.len() as u32);
        match self.calls.get_mut(call as usize) {
            Some(place) => *place = out,
            None => self.calls.push(out),
        }
        self.unsettled += 1;
        self.open[request as usize].out += 1;
        self.waits(request);
        self.plan(end, What::End { call, sent });
    }

    fn resolve(&mut self, now: f64, call: u32) {
        let out = &mut self.calls[call as usize];
        (out.live, out.sent) = (false, u64::MAX);
        let Out { request, copy, backend, attempt, at, outcome, .. } = *out;
        self.free.push(call);
        self.flight[backend as usize] -= 1;
        self.unsettled -= 1;
        self.copies[copy as usize].heard += 1;
        self.open[request as usize].out -= 1;
        if outcome == Outcome::Ok {
            self.end(now, request, Ending::Served);
        } else if outcome == Outcome::Malformed {
            let ending = self.recorded(request).ending;
            self.end(now, request, ending);
        }
        let closed = self.open[request as usize].over;
        let (id, request) = (request, RequestId::from(request));
        let resolved = Resolved {
            request,
            attempt,
            backend: self.numbers[backend as usize],
            outcome,
            latency_ms: now - at,
            request_ended: closed,
            body_consumed: false,
        };
        self.tell(now, copy, Event::Resolved(resolved));
        self.waits(id);
    }

    /// Keeps count of a copy's requests that are open without a call.
    fn waits(&mut self, request: u32) {
        let copy = self.recorded(request).proxy;
        let open = &mut self.open[request as usize];
        let waits = !open.over && open.out == 0;
        let waited = std::mem::replace(&mut open.waits, waits);
        let waiting = &mut self.copies[copy as usize].waiting;
        *waiting = *waiting + u32::from(waits) - u32::from(waited);
    }

    /// A request has ended for its client; the first end counts.
    fn end(&mut self, now: f64, request: u32, ending: Ending) {
        if std::mem::replace(&mut self.open[request as usize].over, true) {
            return;
        }
        let arrived = self.coming[request as usize].at;
        let class = self.recorded(request).class;
        self.unsettled -= 1;
        self.waits(request);
        let took = now - arrived + self.model.beside[usize::from(class)];
        self.tally.request(arrived, class, ending, took.max(0.0));
    }
}
