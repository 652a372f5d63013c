//! Events delivered to the balancer: requests, outcomes, client disconnects and timers.

use super::*;

impl Proxy {
    /// Delivers a new request and returns its id.
    pub fn request(&mut self, class: usize, tenant: u16, time_left_ms: f64) -> RequestId {
        self.request_with_key(0, class, tenant, time_left_ms)
    }

    /// Delivers a new request with a key and returns its id.
    pub fn request_with_key(&mut self, key: u64, class: usize, tenant: u16, time_left_ms: f64) -> RequestId {
        self.arrive(key, class, tenant, time_left_ms, false)
    }

    /// Delivers a new request with a pending body and returns its id.
    pub fn request_with_pending_body(&mut self, class: usize) -> RequestId {
        self.arrive(0, class, 0, f64::MAX, true)
    }

    fn arrive(
        &mut self,
        key: u64,
        class: usize,
        tenant: u16,
        time_left_ms: f64,
        body_pending: bool,
    ) -> RequestId {
        let (request, deadline) = (self.next_request, self.now + time_left_ms);
        self.next_request += 1;
        self.requests.insert(request, RequestRecord { key, class, deadline, sends: Vec::new(), ended: None });
        let class = class as u16;
        self.notify(Event::Request(Arrival {
            request,
            key,
            class,
            tenant,
            deadline_ms: deadline,
            body_pending,
        }));
        request
    }

    /// Completes the body of a request; the time of its attempt counts from here.
    pub fn complete_body(&mut self, request: RequestId, time_left_ms: f64) {
        let (now, record) = (self.now, self.requests.get_mut(&request).expect("the request is known"));
        record.deadline = now + time_left_ms;
        let attempt = record
            .sends
            .iter_mut()
            .find(|s| s.outcome.is_none())
            .expect("the request has an attempt in flight");
        (attempt.sent_at, attempt.deadline) = (now, now + time_left_ms);
        let deadline = record.deadline;
        self.notify(Event::BodyComplete { request, deadline_ms: deadline });
    }

    /// Resolves an attempt with an outcome.
    pub fn resolve(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        let record = self.requests.get_mut(&request).expect("the request is known");
        let s = &mut record.sends[attempt];
        assert!(s.outcome.is_none());
        (s.outcome, s.resolved_at) = (Some(outcome), self.now);
        let (backend, latency_ms) = (s.backend, self.now - s.sent_at);
        if outcome == Outcome::Ok && record.ended.is_none() {
            self.close(request, RequestEnd::Served);
        }
        let request_ended = self.requests[&request].ended.is_some();
        let attempt = attempt as AttemptNo;
        self.notify(Event::Resolved(Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms,
            request_ended,
            body_consumed: false,
        }));
        self.check_idle_close(backend);
    }

    /// Ends a request whose client has disconnected.
    pub fn client_gone(&mut self, request: RequestId) {
        self.close(request, RequestEnd::ClientGone);
        self.notify(Event::ClientGone { request });
    }

    /// The attempts in flight, oldest request first.
    pub fn in_flight(&self) -> Vec<(RequestId, usize, Sent)> {
        let sends = |(&id, record): (&RequestId, &RequestRecord)| {
            let pending = record.sends.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
            pending.map(|(n, s)| (id, n, s.clone())).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(sends).collect()
    }

    /// Advances the clock, firing timers and timing out attempts on the way.
    pub fn advance(&mut self, to: f64) {
        while self.now < to {
            self.now = (self.now + self.settings.tick_ms).min(to);
            let now = self.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|token| self.notify(Event::TimerFired { token }));
            let timed_out: Vec<_> =
                self.in_flight().into_iter().filter(|(_, _, s)| s.deadline <= now).collect();
            timed_out.into_iter().for_each(|(id, n, _)| self.resolve(id, n, Outcome::Timeout));
            for (id, n) in std::mem::take(&mut self.cancelled) {
                if self.requests.get(&id).is_some_and(|record| record.sends[n].outcome.is_none()) {
                    self.resolve(id, n, Outcome::Cancelled);
                }
            }
        }
    }

    /// Drops the records of finished requests, which would slow down long tests.
    pub fn drop_finished(&mut self) {
        self.requests
            .retain(|_, record| record.ended.is_none() || record.sends.iter().any(|s| s.outcome.is_none()));
    }

    /// Serves `per_tick` requests of a class each tick, each response after `latency_ms`, and returns the
    /// number of rejected requests.
    pub fn serve(&mut self, ms: f64, per_tick: usize, class: usize, latency_ms: f64) -> usize {
        let (end, mut rejected) = (self.now + ms, 0);
        while self.now < end {
            for _ in 0..per_tick {
                self.request(class, 0, 1e5);
            }
            self.advance(self.now + self.settings.tick_ms);
            for (id, n, s) in self.in_flight() {
                if self.now - s.sent_at >= latency_ms {
                    self.resolve(id, n, Outcome::Ok);
                }
            }
            rejected += self
                .requests
                .values()
                .filter(|record| record.ended.is_some_and(|e| e.1 == RequestEnd::Rejected))
                .count();
            self.drop_finished();
        }
        rejected
    }
}
