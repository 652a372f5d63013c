//! An instance with requests never rejects all of them for seconds, whatever its backends do.

use crate::common::*;
use load_balancer::interface::*;
use rstest::rstest;

/// Time (ms) without an attempt after which an instance counts as idle, if it had as many arrivals.
const MAX_IDLE_MS: f64 = 4000.0;
/// Arrivals in it.
const MIN_ARRIVALS: usize = 15;

/// How a call ends that began at the first time, if it ends by the second; `None` is one that hangs.
type Answers = fn(at: f64, now: f64) -> Option<Outcome>;

fn after(ms: f64, outcome: Outcome, at: f64, now: f64) -> Option<Outcome> {
    (now - at >= ms).then_some(outcome)
}

/// One request every `every` ms for 40 s; the failure begins after 10 s and ends after 30.
fn live(backends: u32, every: f64, failure: Answers) -> Proxy {
    let mut p =
        Proxy::new(settings(20, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 3, entries(backends));
    let begun = p.now;
    while p.now < begun + 40_000.0 {
        p.request(0, 0, 1500.0);
        let next = p.now + every;
        while p.now < next {
            p.advance((p.now + 5.0).min(next));
            for (id, n, s) in p.in_flight() {
                let bad = (10_000.0..30_000.0).contains(&(s.at - begun));
                let ended = if bad { failure(s.at, p.now) } else { after(50.0, Outcome::Ok, s.at, p.now) };
                if let Some(outcome) = ended {
                    p.resolve(id, n, outcome);
                }
            }
        }
    }
    p
}

#[rstest]
#[case::slow(|at, now| after(1200.0, Outcome::Ok, at, now))]
#[case::fails(|at, now| after(20.0, Outcome::Error, at, now))]
#[case::full(|at, now| after(2.0, Outcome::Rejected, at, now))]
#[case::resets(|at, now| after(30.0, Outcome::Reset, at, now))]
#[case::refuses(|at, now| after(0.0, Outcome::ConnectFailed, at, now))]
#[case::hangs(|_, _| None)]
fn an_instance_keeps_sending_whatever_its_backends_do(
    #[case] failure: Answers,
    #[values(20.0, 200.0)] every: f64,
    #[values(1, 30)] backends: u32,
) {
    let p = live(backends, every, failure);
    let arrivals: Vec<f64> = p.requests.values().map(|a| a.deadline - 1500.0).collect();
    let mut sends: Vec<f64> = p.requests.values().flat_map(|a| &a.sends).map(|s| s.at).collect();
    sends.sort_by(f64::total_cmp);
    // The longest spans without a send lie between two sends.
    for gap in sends.windows(2).filter(|gap| gap[1] - gap[0] >= MAX_IDLE_MS) {
        let arrived = arrivals.iter().filter(|&&at| at > gap[0] && at < gap[1]).count();
        assert!(arrived < MIN_ARRIVALS, "no attempt from {} to {} ms, {arrived} arrivals", gap[0], gap[1]);
    }
    let (first, last) = (sends[0], sends[sends.len() - 1]);
    assert!(first < 1000.0 + MAX_IDLE_MS && last > p.now - MAX_IDLE_MS, "sends from {first} to {last} ms");
}
