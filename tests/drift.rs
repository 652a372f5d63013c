//! Drift: what is raised of whom, what is not, and that it clears.

mod route_fleet;

use load_balancer::route_table::*;
use proptest::prelude::*;
use route_fleet::*;
use rstest::rstest;

/// Forty proxies of which all have a table.
fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(40, Config { min_stage_ms: 5000, ..unjudged() }, seed);
    fleet.run(40_000);
    fleet.propose(proposal(0, &[("b0", 2.0), ("b3", 0.5)])).expect("taken");
    assert!(
        fleet.until(200_000, |f| f.end() == Some(ProposalOutcome::Done)),
        "{:?}",
        fleet.control.state_page()
    );
    fleet.run(20_000);
    assert_eq!(fleet.raised, []);
    fleet
}

fn restarts(fleet: &mut Fleet, n: usize) {
    for _ in 0..5 {
        fleet.restart(n);
        fleet.run(6000);
    }
}

#[rstest]
#[case::lagging(older, FindingKind::Lagging, 40)]
#[case::diverged(spoil, FindingKind::Diverged, 25)]
#[case::ahead(unknown, FindingKind::Ahead, 25)]
#[case::effect(even, FindingKind::Effect, 200)]
#[case::silent(cut, FindingKind::Silent, 30)]
#[case::gone(down, FindingKind::Gone, 30)]
#[case::flapping(restarts, FindingKind::Flapping, 60)]
fn what_one_proxy_does_wrong_is_found_in_time_and_clears(
    #[case] fault: Fault,
    #[case] kind: FindingKind,
    #[case] seconds: u64,
) {
    let mut fleet = settled(1);
    // Of the zone and place that have b0 and b3 beside others.
    let began = fleet.now;
    fault(&mut fleet, 4);
    let wanted = vec![(kind, Some("p4".to_string()), 1)];
    assert!(fleet.until(seconds * 1000, |f| f.findings() == wanted), "{:?}", fleet.findings());
    let (_, finding) = fleet.raised.last().expect("raised").clone();
    assert!(finding.since_ms >= began.saturating_sub(6000) && finding.what_to_do.len() > 20, "{finding:?}");
    assert_eq!(fleet.raised.len(), 1);
    heal(&mut fleet, 4);
    assert!(fleet.until(600_000, |f| f.findings().is_empty()), "{:?}", fleet.findings());
    assert_eq!((fleet.raised.len(), fleet.cleared.len()), (1, 1));
}

#[test]
fn an_older_process_that_still_reports_is_a_zombie_and_a_late_report_of_it_is_not() {
    let mut fleet = settled(2);
    fleet.proxies[4].up = true;
    let old = fleet.proxies[4].clone();
    fleet.run(1000);
    fleet.restart(4);
    fleet.run(10_000);
    let new = fleet.proxies[4].clone();
    let mut report = fleet.report_of(4);
    for number in 1..20 {
        (report.generation, report.number) = (old.generation, old.number + number);
        fleet.control.receive_report(fleet.now, report.clone()).expect("taken");
        fleet.run(5000);
        if number == 1 {
            assert_eq!(fleet.findings(), [], "late");
        }
    }
    assert_eq!(fleet.findings(), [(FindingKind::Zombie, Some("p4".into()), 1)]);
    assert!(fleet.proxies[4].number > new.number);
    fleet.run(60_000);
    assert_eq!(fleet.findings(), []);
}

#[test]
fn many_with_one_cause_are_one_finding() {
    let mut fleet = settled(3);
    (0..15).for_each(|n| fleet.proxies[n].linked = false);
    fleet.run(40_000);
    assert_eq!(fleet.findings(), [(FindingKind::Silent, None, 15)]);
    assert_eq!(fleet.raised.len(), 1, "never one by one");
    (0..15).for_each(|n| heal(&mut fleet, n));
    fleet.run(40_000);
    assert_eq!((fleet.findings(), fleet.cleared.len()), (vec![], 1));
}

#[test]
fn without_a_majority_it_says_blind_and_nothing_else_and_nothing_false_after_the_heal() {
    let mut fleet = settled(4);
    fleet.proxies[30].spoilt = Some("0".repeat(16));
    fleet.run(30_000);
    let diverged = (FindingKind::Diverged, Some("p30".into()), 1);
    assert_eq!(fleet.findings(), std::slice::from_ref(&diverged));
    (0..20).for_each(|n| fleet.proxies[n].linked = false);
    heal(&mut fleet, 30);
    fleet.run(60_000);
    assert_eq!(fleet.findings(), [diverged, (FindingKind::Blind, None, 20)], "neither raised nor cleared");
    assert!(fleet.control.drift_page(fleet.now).blind);
    (0..20).for_each(|n| heal(&mut fleet, n));
    fleet.run(120_000);
    assert_eq!((fleet.findings(), fleet.raised.len()), (vec![], 2));
}

#[test]
fn after_a_restart_or_a_stand_still_nothing_is_raised_before_the_grace_is_over() {
    let mut fleet = settled(5);
    fleet.proxies[4].spoilt = Some("0".repeat(16));
    down(&mut fleet, 5);
    fleet.kill(usize::MAX);
    fleet.run(fleet.config.grace_ms - 1000);
    assert_eq!(fleet.raised, []);
    fleet.run(30_000);
    assert_eq!(fleet.findings(), [(FindingKind::Diverged, Some("p4".into()), 1)], "p5 was never known here");
    let raised = fleet.raised.len();
    fleet.now += 3_600_000;
    fleet.run(60_000);
    assert_eq!(fleet.raised.len(), raised, "the registry's own stand-still is nobody's silence");
}

#[test]
fn spoilt_oversize_and_too_many_reports_are_refused_and_leave_the_others_alone() {
    let mut fleet = Fleet::new(3, Config { max_proxies: 4, max_backend_counts: 20, ..unjudged() }, 6);
    fleet.run(20_000);
    let (good, now) = (fleet.report_of(0), fleet.now);
    let spoil = |change: &dyn Fn(&mut Report)| {
        let mut report = good.clone();
        change(&mut report);
        report
    };
    let witness = Witness { name: "x".into(), generation: 1, alive: true };
    let many = || (0..=MAX_REPORTED).map(|n| (n.to_string(), 1)).collect();
    for (bad, status) in [
        (spoil(&|r| r.name = String::new()), 400),
        (spoil(&|r| r.name = "x".repeat(MAX_NAME_BYTES + 1)), 400),
        (spoil(&|r| r.zone = "a\u{0}".into()), 400),
        (spoil(&|r| r.digest = "zz".into()), 400),
        (spoil(&|r| r.number = 0), 400),
        (spoil(&|r| r.generation = u64::MAX), 400),
        (spoil(&|r| r.revision = u64::MAX), 400),
        (spoil(&|r| r.window_ms = 0), 400),
        (spoil(&|r| r.failed = r.requests + 1), 400),
        (spoil(&|r| *r.calls.get_mut("b0").expect("b0") = MAX_COUNT + 1), 400),
        (spoil(&|r| r.calls = many()), 413),
        (spoil(&|r| r.members = vec![witness.clone(); MAX_WITNESSED + 1]), 413),
        (spoil(&|r| (r.name, r.calls) = ("p9".into(), (0..30).map(|n| (n.to_string(), 1)).collect())), 503),
    ] {
        assert_eq!(fleet.control.receive_report(now, bad).map_err(|e| e.status()), Err(status));
    }
    for name in ["p9", "q"] {
        let taken = fleet.control.receive_report(now, spoil(&|r| r.name = name.into()));
        assert_eq!(taken.map_err(|e| e.status()), if name == "q" { Err(503) } else { Ok(()) }, "{name}");
    }
    let flood = (0..100).map(|n| fleet.control.receive_report(now, spoil(&|r| r.number = 100 + n)));
    assert!(flood.filter(|taken| matches!(taken, Err(ReportError::TooOften { .. }))).count() > 80);
    assert_eq!(fleet.control.drift_page(now).revisions.values().sum::<usize>(), 4);
}

#[test]
fn a_healthy_fleet_of_300_raises_nothing_in_a_day_while_a_fifth_of_its_reports_is_lost() {
    let mut fleet = Fleet::new(300, unjudged(), 7);
    fleet.loss = 0.2;
    fleet.run(86_400_000);
    assert_eq!(fleet.raised, []);
    let page = fleet.control.drift_page(fleet.now);
    assert!(page.reporting > 270 && (0.15..0.25).contains(&page.report_loss), "{page:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever was lost, doubled and late before: once reports flow, the findings are the truth.
    #[test]
    fn findings_converge_to_the_truth_once_reports_flow(
        seed: u64,
        loss in 0.0..0.6f64,
        twice in 0.0..0.5f64,
        late in 0.0..0.5f64,
        faults in proptest::collection::vec((0usize..40, 0usize..5), 0..4),
    ) {
        let mut fleet = settled(seed);
        (fleet.loss, fleet.twice, fleet.late) = (loss, twice, late);
        let mut truth = std::collections::BTreeMap::new();
        for (n, fault) in faults {
            heal(&mut fleet, n);
            let faults: [(Fault, FindingKind); 5] = [
                (older, FindingKind::Lagging),
                (spoil, FindingKind::Diverged),
                (unknown, FindingKind::Ahead),
                (cut, FindingKind::Silent),
                (down, FindingKind::Gone),
            ];
            let (fault, kind) = faults[fault];
            fault(&mut fleet, n);
            truth.insert(n, kind);
            fleet.run(20_000);
        }
        fleet.run(100_000);
        (fleet.loss, fleet.twice, fleet.late) = (0.0, 0.0, 0.0);
        let wanted = |f: &Fleet| {
            let mut wanted: Vec<_> = truth.iter().map(|(n, kind)| (*kind, format!("p{n}"))).collect();
            wanted.sort();
            let mut seen: Vec<_> = f.control.drift_page(f.now).findings.into_iter()
                .flat_map(|found| found.examples.into_iter().map(move |name| (found.kind, name))).collect();
            seen.sort();
            seen == wanted
        };
        prop_assert!(fleet.until(400_000, wanted), "{truth:?} {:?}", fleet.findings());
        fleet.run(60_000);
        prop_assert!(wanted(&fleet), "{truth:?} {:?}", fleet.findings());
    }
}
