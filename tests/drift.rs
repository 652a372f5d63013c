//! The drift detector on a simulated fleet: which findings it raises for which faults, which it must not raise, and
//! that findings clear.

mod route_fleet;

use load_balancer::route_table::*;
use proptest::prelude::*;
use route_fleet::*;
use rstest::rstest;

/// A fleet of forty proxies that all have the same proposed table.
fn fleet_with_table(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(40, Config { min_stage_ms: 5000, ..config_without_verdicts() }, seed);
    fleet.run(40_000);
    fleet.propose(proposal(0, &[("b0", 2.0), ("b3", 0.5)])).expect("the proposal is accepted");
    assert!(
        fleet.run_until(200_000, |f| f.last_outcome() == Some(ProposalOutcome::Done)),
        "{:?}",
        fleet.control.state_page()
    );
    fleet.run(20_000);
    assert_eq!(fleet.raised, []);
    fleet
}

fn restart_repeatedly(fleet: &mut Fleet, n: usize) {
    for _ in 0..5 {
        fleet.restart_proxy(n);
        fleet.run(6000);
    }
}

#[rstest]
#[case::lagging(revert_table, FindingKind::Lagging, 40)]
#[case::diverged(report_wrong_digest, FindingKind::Diverged, 25)]
#[case::ahead(report_unissued_revision, FindingKind::Ahead, 25)]
#[case::effect(ignore_weights, FindingKind::Effect, 200)]
#[case::silent(disconnect, FindingKind::Silent, 30)]
#[case::gone(stop_proxy, FindingKind::Gone, 30)]
#[case::flapping(restart_repeatedly, FindingKind::Flapping, 60)]
fn a_fault_of_one_proxy_raises_one_finding_in_time_and_the_repair_clears_it(
    #[case] fault: Fault,
    #[case] kind: FindingKind,
    #[case] limit_s: u64,
) {
    let mut fleet = fleet_with_table(1);
    // The subset of proxy 4 has b0, whose weight differs from 1, beside other backends.
    let fault_ms = fleet.now_ms;
    fault(&mut fleet, 4);
    let expected = vec![(kind, Some("p4".to_string()), 1)];
    assert!(fleet.run_until(limit_s * 1000, |f| f.findings() == expected), "{:?}", fleet.findings());
    let (_, finding) = fleet.raised.last().expect("a finding was raised").clone();
    assert!(
        finding.since_ms >= fault_ms.saturating_sub(6000) && finding.what_to_do.len() > 20,
        "{finding:?}"
    );
    assert_eq!(fleet.raised.len(), 1);
    repair(&mut fleet, 4);
    assert!(fleet.run_until(600_000, |f| f.findings().is_empty()), "{:?}", fleet.findings());
    assert_eq!((fleet.raised.len(), fleet.cleared.len()), (1, 1));
}

#[test]
fn an_older_process_that_keeps_reporting_is_a_zombie_but_one_late_report_is_not() {
    let mut fleet = fleet_with_table(2);
    fleet.proxies[4].running = true;
    let old = fleet.proxies[4].clone();
    fleet.run(1000);
    fleet.restart_proxy(4);
    fleet.run(10_000);
    let new = fleet.proxies[4].clone();
    let mut report = fleet.build_report(4);
    for number in 1..20 {
        (report.generation, report.number) = (old.generation, old.number + number);
        fleet.control.receive_report(fleet.now_ms, report.clone()).expect("the report is accepted");
        fleet.run(5000);
        if number == 1 {
            assert_eq!(fleet.findings(), [], "one late report raises nothing");
        }
    }
    assert_eq!(fleet.findings(), [(FindingKind::Zombie, Some("p4".into()), 1)]);
    assert!(fleet.proxies[4].number > new.number);
    fleet.run(60_000);
    assert_eq!(fleet.findings(), []);
}

#[test]
fn deviations_of_many_proxies_with_one_cause_are_one_finding() {
    let mut fleet = fleet_with_table(3);
    (0..15).for_each(|n| fleet.proxies[n].connected = false);
    fleet.run(40_000);
    assert_eq!(fleet.findings(), [(FindingKind::Silent, None, 15)]);
    assert_eq!(fleet.raised.len(), 1, "none was raised for a single proxy");
    (0..15).for_each(|n| repair(&mut fleet, n));
    fleet.run(40_000);
    assert_eq!((fleet.findings(), fleet.cleared.len()), (vec![], 1));
}

#[test]
fn without_reports_of_a_majority_only_blind_is_raised_and_no_false_finding_follows() {
    let mut fleet = fleet_with_table(4);
    fleet.proxies[30].reported_digest = Some("0".repeat(16));
    fleet.run(30_000);
    let diverged = (FindingKind::Diverged, Some("p30".into()), 1);
    assert_eq!(fleet.findings(), std::slice::from_ref(&diverged));
    (0..20).for_each(|n| fleet.proxies[n].connected = false);
    repair(&mut fleet, 30);
    fleet.run(60_000);
    assert_eq!(
        fleet.findings(),
        [diverged, (FindingKind::Blind, None, 20)],
        "no other finding is raised or cleared while blind"
    );
    assert!(fleet.control.drift_page(fleet.now_ms).blind);
    (0..20).for_each(|n| repair(&mut fleet, n));
    fleet.run(120_000);
    assert_eq!((fleet.findings(), fleet.raised.len()), (vec![], 2));
}

#[test]
fn after_a_restart_or_a_pause_of_the_registry_nothing_is_raised_in_the_grace_time() {
    let mut fleet = fleet_with_table(5);
    fleet.proxies[4].reported_digest = Some("0".repeat(16));
    stop_proxy(&mut fleet, 5);
    fleet.restart_registry(usize::MAX);
    fleet.run(fleet.config.grace_ms - 1000);
    assert_eq!(fleet.raised, []);
    fleet.run(30_000);
    assert_eq!(
        fleet.findings(),
        [(FindingKind::Diverged, Some("p4".into()), 1)],
        "the restarted registry never heard of p5"
    );
    let raised = fleet.raised.len();
    fleet.now_ms += 3_600_000;
    fleet.run(60_000);
    assert_eq!(
        fleet.raised.len(),
        raised,
        "a pause of the registry itself does not count as silence of the proxies"
    );
}

#[test]
fn invalid_oversize_and_excess_reports_are_refused_and_do_not_affect_other_proxies() {
    let mut fleet =
        Fleet::new(3, Config { max_proxies: 4, max_backend_counts: 20, ..config_without_verdicts() }, 6);
    fleet.run(20_000);
    let (valid, now_ms) = (fleet.build_report(0), fleet.now_ms);
    let changed = |change: &dyn Fn(&mut Report)| {
        let mut report = valid.clone();
        change(&mut report);
        report
    };
    let witness = Witness { name: "x".into(), generation: 1, alive: true };
    let many = || (0..=MAX_REPORTED).map(|n| (n.to_string(), 1)).collect();
    for (invalid, status) in [
        (changed(&|r| r.name = String::new()), 400),
        (changed(&|r| r.name = "x".repeat(MAX_NAME_BYTES + 1)), 400),
        (changed(&|r| r.zone = "a\u{0}".into()), 400),
        (changed(&|r| r.digest = "zz".into()), 400),
        (changed(&|r| r.number = 0), 400),
        (changed(&|r| r.generation = u64::MAX), 400),
        (changed(&|r| r.revision = u64::MAX), 400),
        (changed(&|r| r.window_ms = 0), 400),
        (changed(&|r| r.failed = r.requests + 1), 400),
        (changed(&|r| *r.calls.get_mut("b0").expect("the subset of proxy 0 has b0") = MAX_COUNT + 1), 400),
        (changed(&|r| r.calls = many()), 413),
        (changed(&|r| r.members = vec![witness.clone(); MAX_WITNESSED + 1]), 413),
        (changed(&|r| (r.name, r.calls) = ("p9".into(), (0..30).map(|n| (n.to_string(), 1)).collect())), 503),
    ] {
        assert_eq!(fleet.control.receive_report(now_ms, invalid).map_err(|e| e.status()), Err(status));
    }
    for name in ["p9", "q"] {
        let received = fleet.control.receive_report(now_ms, changed(&|r| r.name = name.into()));
        assert_eq!(received.map_err(|e| e.status()), if name == "q" { Err(503) } else { Ok(()) }, "{name}");
    }
    let flood = (0..100).map(|n| fleet.control.receive_report(now_ms, changed(&|r| r.number = 100 + n)));
    assert!(flood.filter(|received| matches!(received, Err(ReportError::TooOften { .. }))).count() > 80);
    assert_eq!(fleet.control.drift_page(now_ms).revisions.values().sum::<usize>(), 4);
}

#[test]
fn a_healthy_fleet_of_300_raises_nothing_in_a_day_with_a_fifth_of_its_reports_lost() {
    let mut fleet = Fleet::new(300, config_without_verdicts(), 7);
    fleet.loss_rate = 0.2;
    fleet.run(86_400_000);
    assert_eq!(fleet.raised, []);
    let page = fleet.control.drift_page(fleet.now_ms);
    assert!(page.reporting > 270 && (0.15..0.25).contains(&page.report_loss), "{page:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever share of reports was lost, duplicated or late before: once all reports arrive, the findings match the
    /// injected faults.
    #[test]
    fn findings_match_the_faults_once_all_reports_arrive(
        seed: u64,
        loss_rate in 0.0..0.6f64,
        duplicate_rate in 0.0..0.5f64,
        delay_rate in 0.0..0.5f64,
        faults in proptest::collection::vec((0usize..40, 0usize..5), 0..4),
    ) {
        let mut fleet = fleet_with_table(seed);
        (fleet.loss_rate, fleet.duplicate_rate, fleet.delay_rate) = (loss_rate, duplicate_rate, delay_rate);
        let mut injected = std::collections::BTreeMap::new();
        for (n, fault) in faults {
            repair(&mut fleet, n);
            let faults: [(Fault, FindingKind); 5] = [
                (revert_table, FindingKind::Lagging),
                (report_wrong_digest, FindingKind::Diverged),
                (report_unissued_revision, FindingKind::Ahead),
                (disconnect, FindingKind::Silent),
                (stop_proxy, FindingKind::Gone),
            ];
            let (fault, kind) = faults[fault];
            fault(&mut fleet, n);
            injected.insert(n, kind);
            fleet.run(20_000);
        }
        fleet.run(100_000);
        (fleet.loss_rate, fleet.duplicate_rate, fleet.delay_rate) = (0.0, 0.0, 0.0);
        let matches_faults = |f: &Fleet| {
            let mut expected: Vec<_> = injected.iter().map(|(n, kind)| (*kind, format!("p{n}"))).collect();
            expected.sort();
            let mut actual: Vec<_> = f.control.drift_page(f.now_ms).findings.into_iter()
                .flat_map(|finding| finding.examples.into_iter().map(move |name| (finding.kind, name))).collect();
            actual.sort();
            actual == expected
        };
        prop_assert!(fleet.run_until(400_000, matches_faults), "{injected:?} {:?}", fleet.findings());
        fleet.run(60_000);
        prop_assert!(matches_faults(&fleet), "{injected:?} {:?}", fleet.findings());
    }
}
