//! The actions of the balancer, checked against the four rules and the proxy's own record.

use super::*;

impl Proxy {
    /// Connections to a draining backend are closed when its draining is known and after each outcome there.
    pub(super) fn check_idle_close(&self, backend: BackendId) {
        if self.settings.rules.idle_close_within_ms > 0.0 && self.listed[&backend].phase == Phase::Draining {
            assert_eq!(self.closed.get(&backend), Some(&self.now), "connections to {backend} are kept open");
        }
    }

    /// Nothing is sent for a key while an earlier request is open, has an attempt in flight or may still run.
    fn check_order(&self, request: RequestId) {
        let a = &self.requests[&request];
        let ordered = |class: usize| self.settings.classes[class].in_order;
        if a.key == 0 || !ordered(a.class) {
            return;
        }
        for (id, earlier) in
            self.requests.range(..request).filter(|(_, e)| e.key == a.key && ordered(e.class))
        {
            assert!(earlier.ended.is_some(), "{request} sent before {id} is over");
            for s in &earlier.sends {
                let settle = match s.outcome.expect("every attempt has its outcome") {
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                        self.settings.rules.key_settle_ms
                    }
                    _ => 0.0,
                };
                assert!(self.now >= s.over + settle, "{request} sent while {id} may still run");
            }
        }
    }

    /// Delivers an event and checks each action against the four rules.
    pub fn notify(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, backend, deadline_ms } => self.on_send(request, backend, deadline_ms),
                Action::Reject { request, .. } => self.on_reject(request),
                Action::Fail { request } => self.close(request, "failed"),
                Action::SetTimer { delay_ms: delay, token } => {
                    assert!(delay.is_finite() && delay > 0.0, "timers lie ahead");
                    self.timers.push((self.now + delay, token));
                }
                Action::CloseIdle { backend } => {
                    self.closed.insert(backend, self.now);
                }
                Action::Watch { on } => {
                    assert!(on);
                    self.watches.push(self.now);
                }
                Action::Withdraw { backend } => {
                    self.withdrawn.push(backend);
                    self.listed.get_mut(&backend).expect("listed").phase = Phase::Gone;
                }
                Action::Resync => self.resyncs.push(self.now),
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(self.settings.caps.cancelling, "cancelled where that is not allowed");
                    assert!(
                        self.requests[&request].sends.len() > usize::from(attempt),
                        "cancelled what was never sent"
                    );
                }
            }
        }
    }

    fn on_send(&mut self, request: RequestId, backend: BackendId, deadline: f64) {
        self.check_order(request);
        let entry = self.listed.get(&backend).expect("sent to a backend that no list named");
        assert_eq!(entry.phase, Phase::Ready, "sent to a draining or gone backend");
        let (zone, cell) = (entry.zone, entry.cell);
        let arrived = self.requests.get_mut(&request).expect("sent a request that never arrived");
        assert!(arrived.ended.is_none(), "sent after its end");
        assert!(deadline <= arrived.deadline);
        assert!(arrived.sends.len() < self.settings.caps.max_attempts as usize, "too many attempts");
        let out = arrived.sends.iter().filter(|s| s.outcome.is_none()).count();
        assert_eq!(out, 0, "two attempts in flight at once");
        if let Some(ran) = arrived.sends.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran())) {
            let group = self.listed.get(&ran.backend).map(|e| (e.zone, e.cell));
            match self.settings.classes[arrived.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a request that is not idempotent and may have run was sent again")
                }
                Idempotency::Keyed { scope, dedup_window_ms } => {
                    assert!(self.now < ran.at + dedup_window_ms, "repeated after the window");
                    let (first_zone, first_cell) = group.expect("listed");
                    assert!(scope != DedupScope::Zone || first_zone == zone, "repeated in another zone");
                    assert!(scope != DedupScope::Cell || first_cell == cell, "repeated in another cell");
                }
            }
        }
        arrived.sends.push(Sent { backend, at: self.now, deadline, outcome: None, over: 0.0 });
    }

    fn on_reject(&mut self, request: RequestId) {
        let a = &self.requests[&request];
        let idempotency = self.settings.classes[a.class].idempotency;
        let unrun = a.sends.iter().all(|s| s.outcome.is_some_and(Outcome::never_ran));
        let all = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        assert!(unrun || all, "rejected what may have run");
        self.close(request, "rejected");
    }

    pub fn close(&mut self, request: RequestId, how: &'static str) {
        let a = self.requests.get_mut(&request).expect("ended a request that never arrived");
        assert!(a.ended.is_none(), "answered twice");
        assert!(self.now <= a.deadline + GRACE, "answered {} ms late", self.now - a.deadline);
        a.ended = Some((self.now, how));
    }
}
