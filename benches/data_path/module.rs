//! The decision module alone: the time of one housekeeping, one change of the list, one call.

use load_balancer::Balancer;
use load_balancer::interface::*;
use serde_json::{Value, json};
use std::time::Instant;

const ROUNDS: u32 = 200;
/// Of so many batches the quickest counts: on a shared machine the others were interrupted.
const BATCHES: u32 = 5;
const CALLS: u32 = 5;
const LONG_AGO: f64 = 100_000.0;
const NOW: f64 = 1_000_000.0;

struct Copy {
    balancer: Balancer,
    now: f64,
    next: RequestId,
    actions: Vec<Action>,
}

fn settings(copies: u32, cold: bool) -> Settings {
    let cold = if cold { 1e9 } else { 1.0 };
    Settings {
        instance_count: copies,
        tick_ms: 5.0,
        classes: vec![Class {
            latency_objective_ms: 300.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            in_order: false,
        }],
        caps: Caps { max_attempts: 3, ..Caps::default() },
        rules: Rules { initial_capacity: 0.1, warm_up_ms: cold, overload_multiple: 3.0, ..Rules::default() },
        ..Settings::default()
    }
}

fn entry(n: u32, started_at: f64) -> Entry {
    // Spread over all numbers, as names are.
    let backend = n.wrapping_mul(2_654_435_761);
    Entry { backend, started_at_ms: started_at, weight: 1.0, zone: (n % 3) as u16, ..Entry::default() }
}

impl Copy {
    fn tell(&mut self, passed: f64, event: Event) {
        self.now += passed;
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    fn call(&mut self) {
        let (request, deadline) = (self.next, self.now + 1000.0);
        self.next += 1;
        let arrival =
            Arrival { request, key: 0, class: 0, tenant: 0, deadline_ms: deadline, body_pending: false };
        self.tell(1.0, Event::Request(arrival));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        let Some(backend) = sent else { return };
        let (attempt, outcome, wait) = (0, Outcome::Ok, 1.0);
        let over = Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms: wait,
            request_ended: true,
            body_consumed: false,
        };
        self.tell(1.0, Event::Resolved(over));
    }
}

/// Mean time of what is done so many times, in microseconds, in the quickest batch.
fn each(times: u32, mut what: impl FnMut(u32)) -> f64 {
    let mut batch = |batch: u32| {
        let begun = Instant::now();
        (batch * times..(batch + 1) * times).for_each(&mut what);
        begun.elapsed().as_secs_f64() * 1e6 / f64::from(times)
    };
    (0..BATCHES).map(&mut batch).fold(f64::INFINITY, f64::min)
}

/// A row of figures of a copy among so many, whose backends are all warm or all cold.
pub fn measure(backends: u32, copies: u32, cold: bool) -> Value {
    let balancer = Balancer::new(settings(copies, cold), 1).expect("sound settings");
    let mut copy = Copy { balancer, now: NOW, next: 1, actions: Vec::new() };
    let whole = || Event::List {
        kind: ListKind::Full,
        entries: (1..=backends).map(|n| entry(n, LONG_AGO)).collect(),
    };
    let whole_us = each(1, |_| copy.tell(1.0, whole()));
    let house_us = each(ROUNDS, |_| copy.tell(50.0, Event::TimerFired { token: 0 }));
    let change_us = each(ROUNDS, |n| {
        let entries = vec![entry(1 + n % backends, LONG_AGO + f64::from(n))];
        copy.tell(1.0, Event::List { kind: ListKind::Delta, entries });
    });
    let call_us = each(ROUNDS * CALLS, |_| copy.call());
    let busy_us = each(ROUNDS, |_| {
        (0..CALLS).for_each(|_| copy.call());
        copy.tell(40.0, Event::TimerFired { token: 0 });
    });
    json!({"backends": backends, "copies": copies, "cold": cold, "whole_list_us": whole_us,
           "housekeeping_us": house_us, "change_us": change_us, "call_us": call_us,
           "housekeeping_and_5_calls_us": busy_us})
}
