//! The drift detector's figures, on a simulated clock: `cargo bench --bench drift`.
//!
//! 1. Time from a fault of one proxy of 300 to its finding (p50, p99), by kind and share of reports lost.
//! 2. False findings in a simulated day of 300 healthy proxies, by share of reports lost.
//! 3. Processor time and bytes that 300 reporting proxies cost, against reading their reports alone.

#[path = "../tests/route_fleet/mod.rs"]
mod route_fleet;

use hdrhistogram::Histogram;
use load_balancer::route_table::*;
use route_fleet::*;
use std::time::Instant;

const PROXIES: usize = 300;
const FAULTS: usize = 100;
const LOSSES: [f64; 3] = [0.0, 0.1, 0.2];
/// What a report names where 60 backends are listed: those of the subset, the others, and members.
const NAMED: (usize, usize, usize) = (10, 50, 16);

fn restart_and_revert_table(fleet: &mut Fleet, n: usize) {
    fleet.restart_proxy(n);
    revert_table(fleet, n);
}

/// All have a table that says something else than even parts.
fn settled(loss: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(PROXIES, Config { min_stage_ms: 5000, ..config_without_verdicts() }, seed);
    fleet.run(40_000);
    fleet.propose(proposal(0, &[("b0", 2.0), ("b3", 0.5)])).expect("the proposal is accepted");
    assert!(
        fleet.run_until(300_000, |f| f.last_outcome() == Some(ProposalOutcome::Done)),
        "{:?}",
        fleet.last_outcome()
    );
    fleet.loss_rate = loss;
    fleet.run(600_000);
    assert_eq!(fleet.raised, []);
    fleet
}

fn time_to_finding(kind: FindingKind, fault: Fault, loss: f64) -> String {
    let mut fleet = settled(loss, 1);
    let mut times = Histogram::<u64>::new(3).expect("made");
    for _ in 0..FAULTS {
        let (n, wait) = (fleet.rng.usize(0..PROXIES), fleet.rng.u64(0..10_000));
        fleet.run(wait);
        let name = Some(format!("p{n}"));
        let began = fleet.now_ms;
        fault(&mut fleet, n);
        let found = |f: &Fleet| f.raised.iter().any(|(_, r)| r.kind == kind && r.proxy == name);
        assert!(fleet.run_until(3_600_000, found), "{kind:?} {:?}", fleet.findings());
        times.record(fleet.now_ms - began).expect("in range");
        repair(&mut fleet, n);
        // Until none of its starts counts for flapping any more.
        assert!(fleet.run_until(3_600_000, |f| f.findings().is_empty()), "{:?}", fleet.findings());
        fleet.run(400_000);
        fleet.raised.clear();
    }
    let grace = fleet.config.grace_ms as f64;
    let [p50, p99] = [0.5, 0.99].map(|q| times.value_at_quantile(q) as f64);
    format!("{:.0} / {:.0} s ({:.1} / {:.1})", p50 / 1000.0, p99 / 1000.0, p50 / grace, p99 / grace)
}

fn report(n: usize) -> Report {
    let (called, left_out, members) = NAMED;
    let backend = |i: usize| format!("backend-{:03}", (n + i) % 60);
    let witness = |i: usize| Witness {
        name: format!("proxy-{:03}", (n + i) % PROXIES),
        generation: START * 1000,
        alive: true,
    };
    Report {
        name: format!("proxy-{n:03}"),
        generation: START * 1000,
        zone: "east".into(),
        digest: Weights::default().digest(),
        window_ms: 5000,
        requests: 500,
        calls: (0..called).map(|i| (backend(i), 50)).collect(),
        left_out: (0..left_out).map(|i| (backend(called + i), ExclusionReason::Subset)).collect(),
        alive: PROXIES as u32,
        members: (0..members).map(witness).collect(),
        ..Report::default()
    }
}

/// Milliseconds of processor for an hour of reports: read only, and taken with a tick a second.
fn cost() {
    let config = config_without_verdicts();
    let mut reports: Vec<_> = (0..PROXIES).map(report).collect();
    let bytes: usize = reports.iter().map(|r| serde_json::to_vec(r).expect("written").len()).sum();
    let windows = 3_600_000 / config.report_ms;
    let mut control = Control::new(config.clone(), START);
    let (mut read, mut taken) = (0.0, 0.0);
    for window in 0..windows {
        for (n, report) in reports.iter_mut().enumerate() {
            let now = START + window * config.report_ms + n as u64 * config.report_ms / PROXIES as u64;
            report.number = window + 1;
            let text = serde_json::to_vec(report).expect("written");
            let began = Instant::now();
            let report: Report = serde_json::from_slice(&text).expect("read");
            let middle = Instant::now();
            control.receive_report(now, report).expect("the report is accepted");
            if n % 60 == 0 {
                let effects = control.tick(now);
                assert!(effects.is_empty(), "{effects:?}");
            }
            read += (middle - began).as_secs_f64();
            taken += middle.elapsed().as_secs_f64();
        }
    }
    let share = |seconds: f64| seconds / 3600.0 * 100.0;
    println!("\n| figure at {PROXIES} proxies | value |\n| --- | --- |");
    let a_second = bytes as f64 * 1000.0 / config.report_ms as f64;
    println!("| a report, JSON | {} bytes |", bytes / PROXIES);
    println!("| reports | {:.1} KB/s |", a_second / 1000.0);
    println!("| reading them, baseline | {:.3} % of a core |", share(read));
    println!(
        "| deciding, with a tick a second | {:.3} % of a core, ratio {:.2} |",
        share(taken),
        taken / read
    );
}

fn main() {
    let kinds: [(FindingKind, Fault); 6] = [
        (FindingKind::Lagging, restart_and_revert_table),
        (FindingKind::Diverged, report_wrong_digest),
        (FindingKind::Ahead, report_unissued_revision),
        (FindingKind::Effect, ignore_weights),
        (FindingKind::Silent, disconnect),
        (FindingKind::Gone, stop_proxy),
    ];
    println!("time to the finding, p50 / p99 (over the grace), {FAULTS} faults each");
    println!("| finding | no loss | 10 % lost | 20 % lost |\n| --- | --- | --- | --- |");
    for (kind, fault) in kinds {
        let columns = std::thread::scope(|scope| {
            let all = LOSSES.map(|loss| scope.spawn(move || time_to_finding(kind, fault, loss)));
            all.map(|thread| thread.join().expect("measured")).join(" | ")
        });
        println!("| {kind:?} | {columns} |");
    }
    println!("\n| reports lost | false findings in a day of {PROXIES} proxies |\n| --- | --- |");
    let days = std::thread::scope(|scope| {
        let day = |loss: f64| {
            let mut fleet = Fleet::new(PROXIES, config_without_verdicts(), 1);
            fleet.loss_rate = loss;
            fleet.run(86_400_000);
            fleet.raised.len()
        };
        LOSSES.map(|loss| scope.spawn(move || day(loss))).map(|thread| thread.join().expect("measured"))
    });
    for (loss, found) in LOSSES.iter().zip(days) {
        println!("| {:.0} % | {found} |", loss * 100.0);
    }
    cost();
}
