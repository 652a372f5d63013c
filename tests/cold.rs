//! Cold backends fall under the sum of what a whole fleet sends: how near it comes to that, over a thousand days whose
//! figures lie anywhere in their ranges. `docs/incidents/standing.md` has the term.

mod cold_rig;

use cold_rig::{Day, Sent, play};
use load_balancer::interface::Rules;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// A day, and the time in which a cold backend that gets too much falls.
fn day(seed: u64, copies: usize) -> (Day, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut within = |from: f64, to: f64| from + (to - from) * rng.random::<f64>();
    let backends = within(4.0, 24.0) as usize;
    let cold = [1, 1 + backends / 3, 1 + backends / 2, backends][within(0.0, 4.0) as usize];
    let some = f64::from(u8::from(cold < backends));
    let fall = within(500.0, 2000.0);
    let rules = Rules {
        initial_capacity: within(0.1, 0.6),
        warm_up_ms: within(2000.0, 20_000.0),
        overload_multiple: within(1.5, 4.0),
        ..Rules::default()
    };
    let day = Day {
        seed,
        copies,
        backends,
        cold,
        lost: some * within(-1500.0, 1500.0).max(0.0),
        rules,
        load: within(0.3, 0.8),
        burst: within(0.5, 1.5).max(1.0),
        rate: within(0.0, 1.0).powi(2) * 40.0 + 2.0,
        fresh: within(-0.4, 0.6).max(0.0),
        unaware: within(-0.2, 0.3).max(0.0),
        bad: within(0.0, 1.0) < 0.3,
        leave: some * within(-1000.0, 2000.0).max(0.0),
        watch: fall + 2500.0,
    };
    (day, fall)
}

/// The most that a cold backend got within that time, over the budget and what is put down to chance, where over two thirds
/// came from processes that had been told of its start; and the mean over all spans of what they used of the budget alone.
///
/// The budget is counted at each call of a span: by the capacity that the backend has at that instant, so that a burst at
/// the start of a span is not excused by what the backend bears at its end, and never by more than the span's mean.
fn worst(day: &Day, fall: f64) -> (f64, f64) {
    let seen = play(day);
    let (mut worst, mut spans): (f64, Vec<f64>) = (0.0, Vec::new());
    for sent in &seen.sent {
        for (first, &Sent { at: from, .. }) in sent.iter().enumerate() {
            let allowed = |present: f64| day.rules.overload_multiple * present * seen.capacity * fall;
            let mean = (day.present(from) + day.present(from + fall)) / 2.0;
            let until = (from + fall).min(day.rules.warm_up_ms);
            let (mut calls, mut work, mut told) = (0.0, 0.0, 0.0);
            for call in sent[first..].iter().take_while(|call| call.at < until) {
                calls += 1.0;
                work += call.work;
                told += f64::from(u8::from(call.told));
                let n = allowed(day.present(call.at).min(mean));
                if told > calls * 2.0 / 3.0 {
                    worst = worst.max(f64::max(calls, work) / (n + 2.0 * n.sqrt() + 2.0));
                }
            }
            if told > calls * 2.0 / 3.0 {
                spans.push(told / allowed(mean));
            }
        }
    }
    (worst, spans.iter().sum::<f64>() / spans.len().max(1) as f64)
}

/// Some of the processes are new, some know an old list only, one in ten has several times the mean; a backend, a zone or
/// all come back cold, after a while away or at once; a backend fails, a burst comes, the warm ones leave soon after.
#[rstest]
#[case(10)]
#[case(20)]
#[case(30)]
fn a_fleet_pushes_no_cold_backend_over(#[case] copies: usize) {
    let seeds = (0..1002).filter(|seed| seed % 3 == copies as u64 / 10 - 1);
    let (mut broken, mut used) = (Vec::new(), 0.0);
    for seed in seeds.clone() {
        let (day, fall) = day(seed, copies);
        let (worst, mean) = worst(&day, fall);
        broken.extend((worst > 1.0).then_some((seed, worst)));
        used += mean / seeds.clone().count() as f64;
    }
    assert!(broken.is_empty(), "days on which a cold backend falls, and how far over: {broken:?}");
    assert!(used > 0.1, "cold backends are hardly used: {used:.2} of their budgets");
}
