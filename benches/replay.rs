//! The what-if replay's figures: `cargo bench --bench replay`, or with a number of proxies after `--`.
//!
//! 1. Requests replayed a second of one core, by proxies and requests; the whole verdict, model included.
//! 2. Bytes of a recorded request, on the wire and on disk.
//! 3. Predicted against measured after three proposals, on a fleet whose backends are queues before slots.
//! 4. What the recorder takes of a request, beside a loop that records nothing.

#[path = "../tests/replay_rig/mod.rs"]
mod replay_rig;

use load_balancer::interface::Arrival;
use load_balancer::replay::{About, Ending, Job, Recorder, Reply, judge};
use replay_rig::{START, World, weights};
use std::hint::black_box;

const SEEDS: usize = 3;
const FLEET_RATE: f64 = 600.0; // requests a second of all proxies
const PASSES: u64 = 1_000_000;

fn main() {
    println!("proxies requests/s-each recorded bytes/request verdict-s replayed/s-of-one-core");
    let only: Option<usize> = std::env::args().find_map(|a| a.parse().ok());
    for proxies in [10, 100, 300].into_iter().filter(|p| only.is_none_or(|o| o == *p)) {
        for (busier, seconds) in [(1.0, 30.0), (1.0, 120.0), (5.0, 120.0)] {
            replayed(proxies, busier * FLEET_RATE / proxies as f64, seconds);
        }
    }
    if only.is_none() {
        predicted();
    }
    recorder();
}

/// Other arrivals, other luck: the fleet again, under the proposal.
fn predicted() {
    println!("proposal: decision; error of the share (mean, most), p50 and p99, per cent");
    let world = World { rate: 90.0, slots: 6, seconds: 60.0, ..World::default() };
    let (segments, _) = world.run();
    for proposal in
        [&[("s1", 1.1), ("s2", 0.8)][..], &[("s0", 0.5), ("s1", 0.9)], &[("s3", 0.7), ("s4", 0.7)]]
    {
        let verdict =
            judge(&world.job(weights(proposal)), &segments, &|_| (), &|| false).expect("not cancelled");
        let Some(said) = verdict.proposed else {
            println!("{proposal:?}: {:?}", verdict.decision);
            continue;
        };
        let (after, sent) = World { weights: weights(proposal), seed: 99, ..world.clone() }.run();
        let all: u64 = sent.iter().sum();
        let error = |said: f64, is: f64| 100.0 * (said - is).abs() / is;
        let shares: Vec<f64> = (0..world.backends)
            .map(|b| error(said.backends[&format!("s{b}")].share.mean, sent[b] as f64 / all as f64))
            .collect();
        let (mean, most) =
            (shares.iter().sum::<f64>() / shares.len() as f64, shares.iter().fold(0.0, |a, b| b.max(a)));
        let warm = START + 15_000.0;
        let late = after.iter().flat_map(|s| &s.traces).filter(|t| t.class == 0 && t.at_ms > warm);
        let mut took: Vec<f64> = late.map(|t| t.took_ms).collect();
        took.sort_by(f64::total_cmp);
        let [p50, p99] = [(0.5, said.classes["look"].p50_ms), (0.99, said.classes["look"].p99_ms)]
            .map(|(u, range)| error(range.mean, took[(u * took.len() as f64) as usize]));
        let decision = serde_json::to_value(&verdict.decision).expect("JSON")["decision"].to_string();
        println!("{proposal:?}: {decision}; {mean:.1} {most:.1} {p50:.1} {p99:.1}");
    }
}

/// Time that this thread has had a core, as the kernel counts it: other work on the machine takes nothing from it.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("a kernel that counts");
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("nanoseconds") / 1e9
}

fn replayed(proxies: usize, rate: f64, seconds: f64) {
    let (backends, slots) = (60, 16);
    let world = World { proxies, backends, slots, rate, seconds, ..World::default() };
    let (segments, _) = world.run();
    let recorded: usize = segments.iter().map(|s| s.traces.len()).sum();
    let bytes: usize = segments.iter().map(|s| s.encode().len()).sum();
    let job = Job { threads: 1, seeds: SEEDS, ..world.job(weights(&[("s1", 1.1)])) };
    let started = cpu_seconds();
    let verdict = judge(&job, &segments, &|_| (), &|| false).expect("not cancelled");
    let took = cpu_seconds() - started;
    let tables = 1 + usize::from(verdict.proposed.is_some());
    println!(
        "{proxies:7} {rate:15.0} {recorded:8} {:13.1} {took:9.2} {:23.0}",
        bytes as f64 / recorded as f64,
        (tables * SEEDS * recorded) as f64 / took,
    );
}

fn recorder() {
    let about = |sampled| About {
        name: "p".into(),
        generation: 1,
        zone: "a".into(),
        settings: String::new(),
        sampled,
        traces: 50_000,
        span_ms: 5000.0,
    };
    let arrival =
        |request| Arrival { request, key: 0, class: 0, tenant: 0, deadline_ms: 0.0, body_pending: false };
    let id = |i: u64| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_le_bytes();
    let each = |label: &str, pass: &mut dyn FnMut(u64)| {
        let started = cpu_seconds();
        (0..PASSES).for_each(pass);
        let ns = (cpu_seconds() - started) * 1e9 / PASSES as f64;
        println!("{label}: {ns:.1} ns a request");
        ns
    };
    let none = each("no recorder", &mut |i| {
        black_box((id(i), arrival(i)));
    });
    for sampled in [1, 655, 65_536] {
        let mut recorder = Recorder::new(about(sampled), START);
        recorder.list(START, 1, World::default().listed().into_iter().zip(0..).map(|(l, b)| (b, l)));
        let with = each(&format!("{sampled} in 65,536 sampled"), &mut |i| {
            let (id, arrival, now) = black_box((id(i), arrival(i), START + i as f64));
            if let Some(hash) = recorder.sampled(&id) {
                recorder.arrived(now, hash, &arrival, 1000.0);
                recorder.sent(now, i, (i % 8) as u32, 3);
                recorder.ended(now + 50.0, i, Ending::Served);
                recorder.closed(now + 50.0, i, 0, Reply::Ok);
            }
            black_box(recorder.cut(now));
        });
        println!("  beside none: {:.1} ns more", with - none);
    }
}
