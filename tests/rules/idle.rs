//! Liveness: an instance with requests does not stop sending for seconds, whatever its backends do.

use crate::common::*;
use load_balancer::interface::*;
use rstest::rstest;

/// The longest time (ms) without an attempt, if at least `MIN_ARRIVALS` requests arrive in it.
const MAX_IDLE_MS: f64 = 4000.0;
/// The number of arrivals from which a time without an attempt counts.
const MIN_ARRIVALS: usize = 15;

/// The outcome of a call by its start and the current time; `None` while it is in flight.
type CallOutcome = fn(sent_at: f64, now: f64) -> Option<Outcome>;

fn after(ms: f64, outcome: Outcome, sent_at: f64, now: f64) -> Option<Outcome> {
    (now - sent_at >= ms).then_some(outcome)
}

/// Runs one request every `interval_ms` for 40 s; calls sent from 10 to 30 s get the outcome of `failure`.
fn run_with_failure(backends: u32, interval_ms: f64, failure: CallOutcome) -> Proxy {
    let mut p =
        Proxy::new(settings(20, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 3, entries(backends));
    let started_at = p.now;
    while p.now < started_at + 40_000.0 {
        p.request(0, 0, 1500.0);
        let next = p.now + interval_ms;
        while p.now < next {
            p.advance((p.now + 5.0).min(next));
            for (id, n, s) in p.in_flight() {
                let is_failing = (10_000.0..30_000.0).contains(&(s.sent_at - started_at));
                let outcome = if is_failing {
                    failure(s.sent_at, p.now)
                } else {
                    after(50.0, Outcome::Ok, s.sent_at, p.now)
                };
                if let Some(outcome) = outcome {
                    p.resolve(id, n, outcome);
                }
            }
        }
    }
    p
}

#[rstest]
#[case::slow(|sent_at, now| after(1200.0, Outcome::Ok, sent_at, now))]
#[case::fails(|sent_at, now| after(20.0, Outcome::Error, sent_at, now))]
#[case::rejects(|sent_at, now| after(2.0, Outcome::Rejected, sent_at, now))]
#[case::resets(|sent_at, now| after(30.0, Outcome::Reset, sent_at, now))]
#[case::refuses(|sent_at, now| after(0.0, Outcome::ConnectFailed, sent_at, now))]
#[case::hangs(|_, _| None)]
fn an_instance_keeps_sending_whatever_its_backends_do(
    #[case] failure: CallOutcome,
    #[values(20.0, 200.0)] interval_ms: f64,
    #[values(1, 30)] backends: u32,
) {
    let p = run_with_failure(backends, interval_ms, failure);
    let arrivals: Vec<f64> = p.requests.values().map(|a| a.deadline - 1500.0).collect();
    let mut sends: Vec<f64> = p.requests.values().flat_map(|a| &a.sends).map(|s| s.sent_at).collect();
    sends.sort_by(f64::total_cmp);
    // The longest spans without an attempt lie between two attempts.
    for gap in sends.windows(2).filter(|gap| gap[1] - gap[0] >= MAX_IDLE_MS) {
        let arrived = arrivals.iter().filter(|&&at| at > gap[0] && at < gap[1]).count();
        assert!(arrived < MIN_ARRIVALS, "no attempt from {} to {} ms, {arrived} arrivals", gap[0], gap[1]);
    }
    let (first, last) = (sends[0], sends[sends.len() - 1]);
    assert!(
        first < 1000.0 + MAX_IDLE_MS && last > p.now - MAX_IDLE_MS,
        "attempts only from {first} to {last} ms"
    );
}
