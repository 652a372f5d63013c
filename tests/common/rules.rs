//! Checks of the balancer's actions against the four rules and the proxy's record of attempts.

use super::*;

impl Proxy {
    /// Checks that the idle connections to a draining backend were closed when the draining became known and
    /// after each outcome there.
    pub(super) fn check_idle_close(&self, backend: BackendId) {
        if self.settings.rules.idle_close_within_ms > 0.0 && self.listed[&backend].phase == Phase::Draining {
            assert_eq!(
                self.idle_closed_at.get(&backend),
                Some(&self.now),
                "idle connections to draining backend {backend} were not closed"
            );
        }
    }

    /// Checks that no earlier request of the same key is open, has an attempt in flight or may still run.
    fn check_order(&self, request: RequestId) {
        let record = &self.requests[&request];
        let ordered = |class: usize| self.settings.classes[class].in_order;
        if record.key == 0 || !ordered(record.class) {
            return;
        }
        for (id, earlier) in
            self.requests.range(..request).filter(|(_, e)| e.key == record.key && ordered(e.class))
        {
            assert!(earlier.ended.is_some(), "{request} sent before {id} has ended");
            for s in &earlier.sends {
                let settle_ms = match s.outcome.expect("no attempt of an ended request is in flight") {
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                        self.settings.rules.key_settle_ms
                    }
                    _ => 0.0,
                };
                assert!(self.now >= s.resolved_at + settle_ms, "{request} sent while {id} may still run");
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
                Action::Fail { request } => self.close(request, RequestEnd::Failed),
                Action::SetTimer { delay_ms, token } => {
                    assert!(
                        delay_ms.is_finite() && delay_ms > 0.0,
                        "a timer's delay must be finite and positive"
                    );
                    self.timers.push((self.now + delay_ms, token));
                }
                Action::CloseIdle { backend } => {
                    self.idle_closed_at.insert(backend, self.now);
                }
                Action::Watch { on } => {
                    assert!(on, "the watch was turned off");
                    self.watches.push(self.now);
                }
                Action::Withdraw { backend } => {
                    self.withdrawn.push(backend);
                    self.listed.get_mut(&backend).expect("a withdrawn backend is listed").phase = Phase::Gone;
                }
                Action::Resync => self.resyncs.push(self.now),
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(self.settings.caps.cancelling, "cancelled although cancelling is not supported");
                    assert!(
                        self.requests[&request].sends.len() > usize::from(attempt),
                        "cancelled an attempt that was never sent"
                    );
                }
            }
        }
    }

    fn on_send(&mut self, request: RequestId, backend: BackendId, deadline: f64) {
        self.check_order(request);
        let entry = self.listed.get(&backend).expect("sent to a backend that was never listed");
        assert_eq!(entry.phase, Phase::Ready, "sent to a draining or gone backend");
        let (zone, cell) = (entry.zone, entry.cell);
        let record = self.requests.get_mut(&request).expect("sent a request that never arrived");
        assert!(record.ended.is_none(), "sent after the request had ended");
        assert!(deadline <= record.deadline, "the attempt's deadline is past the request's");
        assert!(record.sends.len() < self.settings.caps.max_attempts as usize, "too many attempts");
        let in_flight = record.sends.iter().filter(|s| s.outcome.is_none()).count();
        assert_eq!(in_flight, 0, "two attempts in flight at once");
        if let Some(ran) = record.sends.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran())) {
            let location = self.listed.get(&ran.backend).map(|e| (e.zone, e.cell));
            match self.settings.classes[record.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a request that is not idempotent and may have run was sent again")
                }
                Idempotency::Keyed { scope, dedup_window_ms } => {
                    assert!(
                        self.now < ran.sent_at + dedup_window_ms,
                        "repeated after the deduplication window"
                    );
                    let (first_zone, first_cell) =
                        location.expect("the backend of the first attempt is listed");
                    assert!(scope != DedupScope::Zone || first_zone == zone, "repeated in another zone");
                    assert!(scope != DedupScope::Cell || first_cell == cell, "repeated in another cell");
                }
            }
        }
        record.sends.push(Sent { backend, sent_at: self.now, deadline, outcome: None, resolved_at: 0.0 });
    }

    fn on_reject(&mut self, request: RequestId) {
        let record = &self.requests[&request];
        let idempotency = self.settings.classes[record.class].idempotency;
        let never_ran = record.sends.iter().all(|s| s.outcome.is_some_and(Outcome::never_ran));
        let repeatable = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        assert!(never_ran || repeatable, "rejected a request that may have run and must not be repeated");
        self.close(request, RequestEnd::Rejected);
    }

    /// Records the end of a request and checks that it is the only one and in time.
    pub fn close(&mut self, request: RequestId, end: RequestEnd) {
        let record = self.requests.get_mut(&request).expect("ended a request that never arrived");
        assert!(record.ended.is_none(), "the request ended twice");
        assert!(
            self.now <= record.deadline + DEADLINE_GRACE_MS,
            "ended {} ms after its deadline",
            self.now - record.deadline
        );
        record.ended = Some((self.now, end));
    }
}
