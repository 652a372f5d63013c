//! Benchmark of the what-if replay: `cargo bench --bench replay`, with an optional number of proxies after `--`.
//!
//! 1. Requests replayed per CPU second, by number of proxies and of requests, for a whole evaluation with its model fit.
//! 2. Encoded bytes per recorded request, on the wire and on disk.
//! 3. Errors of the predictions for three proposals, against a simulated fleet whose backends are queues in front of slots.
//! 4. CPU time of the recorder per request, compared with a loop that records nothing.

#[path = "../tests/replay_rig/mod.rs"]
mod replay_rig;

use load_balancer::interface::Arrival;
use load_balancer::replay::{AttemptOutcome, Ending, Job, Recorder, RecorderConfig, judge};
use replay_rig::{FleetScenario, START_MS, weights};
use std::hint::black_box;

const SEEDS: usize = 3;
/// Requests per second of all proxies together.
const FLEET_RATE: f64 = 600.0;
/// Requests in each measurement of the recorder.
const RECORDER_REQUESTS: u64 = 1_000_000;

fn main() {
    println!("proxies requests/s-each recorded bytes/request verdict-s replayed/s-of-one-core");
    let only_proxies: Option<usize> = std::env::args().find_map(|a| a.parse().ok());
    for proxies in [10, 100, 300].into_iter().filter(|p| only_proxies.is_none_or(|only| only == *p)) {
        for (load_factor, duration_s) in [(1.0, 30.0), (1.0, 120.0), (5.0, 120.0)] {
            bench_evaluation(proxies, load_factor * FLEET_RATE / proxies as f64, duration_s);
        }
    }
    if only_proxies.is_none() {
        bench_prediction_errors();
    }
    bench_recorder();
}

/// Compares predictions with a run of the fleet under the proposal, with another seed.
fn bench_prediction_errors() {
    println!("proposal: decision; error of the share (mean, most), p50 and p99, per cent");
    let scenario =
        FleetScenario { requests_per_s: 90.0, slots: 6, duration_s: 60.0, ..FleetScenario::default() };
    let segments = scenario.run().segments;
    for proposal in
        [&[("s1", 1.1), ("s2", 0.8)][..], &[("s0", 0.5), ("s1", 0.9)], &[("s3", 0.7), ("s4", 0.7)]]
    {
        let verdict = judge(&scenario.job(weights(proposal)), &segments, &|_| (), &|| false)
            .expect("the evaluation is not cancelled");
        let Some(prediction) = verdict.proposed else {
            println!("{proposal:?}: {:?}", verdict.decision);
            continue;
        };
        let after = FleetScenario { weights: weights(proposal), seed: 99, ..scenario.clone() }.run();
        let calls = after.late_calls;
        let all: u64 = calls.iter().sum();
        let error = |predicted: f64, measured: f64| 100.0 * (predicted - measured).abs() / measured;
        let shares: Vec<f64> = (0..scenario.backends)
            .map(|b| error(prediction.backends[&format!("s{b}")].share.mean, calls[b] as f64 / all as f64))
            .collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let max = shares.iter().fold(0.0, |a, b| b.max(a));
        let warm_up_end = START_MS + 15_000.0;
        let measured =
            after.segments.iter().flat_map(|s| &s.traces).filter(|t| t.class == 0 && t.at_ms > warm_up_end);
        let mut latencies_ms: Vec<f64> = measured.map(|t| t.took_ms).collect();
        latencies_ms.sort_by(f64::total_cmp);
        let [p50, p99] =
            [(0.5, prediction.classes["look"].p50_ms), (0.99, prediction.classes["look"].p99_ms)].map(
                |(quantile, range)| {
                    error(range.mean, latencies_ms[(quantile * latencies_ms.len() as f64) as usize])
                },
            );
        let decision = serde_json::to_value(&verdict.decision).expect("a decision is valid JSON")["decision"]
            .to_string();
        println!("{proposal:?}: {decision}; {mean:.1} {max:.1} {p50:.1} {p99:.1}");
    }
}

/// CPU time of this thread as the kernel counts it, which does not depend on other work on the machine.
fn cpu_seconds() -> f64 {
    let text =
        std::fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel has scheduler statistics");
    text.split(' ')
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .expect("the first field is the CPU time in nanoseconds")
        / 1e9
}

fn bench_evaluation(proxies: usize, requests_per_s: f64, duration_s: f64) {
    let (backends, slots) = (60, 16);
    let scenario =
        FleetScenario { proxies, backends, slots, requests_per_s, duration_s, ..FleetScenario::default() };
    let segments = scenario.run().segments;
    let recorded: usize = segments.iter().map(|s| s.traces.len()).sum();
    let bytes: usize = segments.iter().map(|s| s.encode().len()).sum();
    let job = Job { threads: 1, seeds: SEEDS, ..scenario.job(weights(&[("s1", 1.1)])) };
    let started = cpu_seconds();
    let verdict = judge(&job, &segments, &|_| (), &|| false).expect("the evaluation is not cancelled");
    let took = cpu_seconds() - started;
    let tables = 1 + usize::from(verdict.proposed.is_some());
    println!(
        "{proxies:7} {requests_per_s:15.0} {recorded:8} {:13.1} {took:9.2} {:23.0}",
        bytes as f64 / recorded as f64,
        (tables * SEEDS * recorded) as f64 / took,
    );
}

fn bench_recorder() {
    let config = |sampled| RecorderConfig {
        name: "p".into(),
        generation: 1,
        zone: "a".into(),
        settings: String::new(),
        sampled,
        max_traces: 50_000,
        max_span_ms: 5000.0,
    };
    let arrival =
        |request| Arrival { request, key: 0, class: 0, tenant: 0, deadline_ms: 0.0, body_pending: false };
    let id = |i: u64| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_le_bytes();
    let measure = |label: &str, pass: &mut dyn FnMut(u64)| {
        let started = cpu_seconds();
        (0..RECORDER_REQUESTS).for_each(pass);
        let ns = (cpu_seconds() - started) * 1e9 / RECORDER_REQUESTS as f64;
        println!("{label}: {ns:.1} ns a request");
        ns
    };
    let baseline_ns = measure("no recorder", &mut |i| {
        black_box((id(i), arrival(i)));
    });
    for sampled in [1, 655, 65_536] {
        let mut recorder = Recorder::new(config(sampled), START_MS);
        recorder.set_list(
            START_MS,
            1,
            FleetScenario::default().listed().into_iter().zip(0..).map(|(l, b)| (b, l)),
        );
        let with_ns = measure(&format!("{sampled} in 65,536 sampled"), &mut |i| {
            let (id, arrival, now) = black_box((id(i), arrival(i), START_MS + i as f64));
            if let Some(hash) = recorder.sampled(&id) {
                recorder.request_arrived(now, hash, &arrival, 1000.0);
                recorder.attempt_sent(now, i, (i % 8) as u32, 3);
                recorder.request_ended(now + 50.0, i, Ending::Served);
                recorder.attempt_ended(now + 50.0, i, 0, AttemptOutcome::Ok);
            }
            black_box(recorder.cut_if_due(now));
        });
        println!("  beside none: {:.1} ns more", with_ns - baseline_ns);
    }
}
