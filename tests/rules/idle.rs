//! A copy that is asked never turns all away for seconds on end, whatever its backends do.

use crate::common::*;
use load_balancer::interface::*;
use rstest::rstest;

/// A span, and the arrivals in it, after which a copy without a single attempt counts as idle.
const SPAN: f64 = 4000.0;
const ASKED: usize = 15;

/// How a call ends that began at the first time, if it ends by the second; `None` is one that hangs.
type Answers = fn(at: f64, now: f64) -> Option<Outcome>;

fn after(ms: f64, outcome: Outcome, at: f64, now: f64) -> Option<Outcome> {
    (now - at >= ms).then_some(outcome)
}

/// Asks every `every` ms for 40 s; the trouble begins after 10 s and ends after 30.
fn live(backends: u32, every: f64, trouble: Answers) -> Proxy {
    let mut p =
        Proxy::new(settings(20, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 3, entries(backends));
    let begun = p.now;
    while p.now < begun + 40_000.0 {
        p.ask(0, 0, 1500.0);
        let next = p.now + every;
        while p.now < next {
            p.advance((p.now + 5.0).min(next));
            for (id, n, s) in p.out() {
                let bad = (10_000.0..30_000.0).contains(&(s.at - begun));
                let ended = if bad { trouble(s.at, p.now) } else { after(50.0, Outcome::Ok, s.at, p.now) };
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
fn a_copy_that_is_asked_goes_on_trying_whatever_its_backends_do(
    #[case] trouble: Answers,
    #[values(20.0, 200.0)] every: f64,
    #[values(1, 30)] backends: u32,
) {
    let p = live(backends, every, trouble);
    let arrivals: Vec<f64> = p.asked.values().map(|a| a.deadline - 1500.0).collect();
    let mut sends: Vec<f64> = p.asked.values().flat_map(|a| &a.sends).map(|s| s.at).collect();
    sends.sort_by(f64::total_cmp);
    // The longest spans without a send lie between two sends.
    for gap in sends.windows(2).filter(|gap| gap[1] - gap[0] >= SPAN) {
        let asked = arrivals.iter().filter(|&&at| at > gap[0] && at < gap[1]).count();
        assert!(asked < ASKED, "no attempt from {} to {} ms, {asked} arrivals", gap[0], gap[1]);
    }
    let (first, last) = (sends[0], sends[sends.len() - 1]);
    assert!(first < 1000.0 + SPAN && last > p.now - SPAN, "sends from {first} to {last} ms");
}
