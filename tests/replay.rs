//! Verdicts of the what-if replay on the recorded traffic of simulated fleets.

mod replay_rig;

use load_balancer::replay::{CannotTellReason, Decision, Job, Segment, Verdict, judge};
use replay_rig::{FleetScenario, weights};
use rstest::rstest;

/// The verdict on new weights for some backends.
fn evaluate(scenario: &FleetScenario, proposal: &[(&str, f64)], segments: &[Segment]) -> Verdict {
    judge(&scenario.job(weights(proposal)), segments, &|_| (), &|| false)
        .expect("the evaluation is not cancelled")
}

/// A short simulation, for tests that do not depend on the quality of the prediction.
fn short_scenario() -> FleetScenario {
    FleetScenario { proxies: 5, duration_s: 10.0, ..FleetScenario::default() }
}

#[test]
fn verdicts_with_the_same_seed_do_not_depend_on_threads_or_segment_order() {
    let scenario = short_scenario();
    let proposal = weights(&[("s1", 1.3)]);
    let mut segments = scenario.run().segments;
    let verdict = |threads, segments: &[Segment]| {
        let job = Job { threads, seeds: 4, ..scenario.job(proposal.clone()) };
        serde_json::to_string(&judge(&job, segments, &|_| (), &|| false)).expect("a verdict is valid JSON")
    };
    let single_threaded = verdict(1, &segments);
    assert_eq!(single_threaded, verdict(4, &segments));
    segments.reverse();
    assert_eq!(
        single_threaded,
        verdict(2, &segments),
        "the verdict does not depend on the order of the segments"
    );
    let other_job = Job { seed: 9, ..scenario.job(proposal.clone()) };
    let other_seed = serde_json::to_string(&judge(&other_job, &segments, &|_| (), &|| false))
        .expect("a verdict is valid JSON");
    assert_ne!(single_threaded, other_seed, "another seed gives other figures");
}

/// A fleet whose backends often have no free slot, so that the records show their capacity.
fn busy_scenario() -> FleetScenario {
    FleetScenario { requests_per_s: 90.0, slots: 6, ..FleetScenario::default() }
}

#[test]
fn a_proposal_that_overloads_a_backend_is_refused_and_its_largest_step_is_admitted() {
    let scenario = busy_scenario();
    let segments = scenario.run().segments;
    let proposal = [("s1", 8.0)];
    let verdict = evaluate(&scenario, &proposal, &segments);
    let Decision::Refuse { breach, largest_step } = verdict.decision else {
        panic!("{:?}", verdict.decision)
    };
    assert_eq!((breach.kind.as_str(), breach.name.as_str()), ("backend", "s1"));
    assert!(breach.predicted > breach.bound && largest_step > 0.0 && largest_step < 1.0, "{largest_step}");
    let job = scenario.job(weights(&proposal));
    let step_job = Job { proposal: job.interpolate(largest_step), ..job };
    let verdict = judge(&step_job, &segments, &|_| (), &|| false).expect("the evaluation is not cancelled");
    assert_eq!(verdict.decision, Decision::Admit);
}

#[test]
fn a_small_change_is_admitted_and_the_measured_figures_lie_in_the_predicted_intervals() {
    let scenario = busy_scenario();
    let segments = scenario.run().segments;
    let proposal = [("s1", 1.1), ("s2", 0.8)];
    let verdict = evaluate(&scenario, &proposal, &segments);
    assert_eq!(verdict.decision, Decision::Admit);
    let after = FleetScenario { weights: weights(&proposal), seed: 77, ..scenario };
    let measured = after.run();
    let predicted = verdict.proposed.expect("an admitted proposal has a prediction");
    let all_calls: u64 = measured.late_calls.iter().sum();
    for (index, &calls) in measured.late_calls.iter().enumerate() {
        let share = calls as f64 / all_calls as f64;
        let range = predicted.backends[&format!("s{index}")].share;
        assert!((range.low..=range.high).contains(&share), "s{index}: {share} {range:?}");
    }
    for (class, name) in ["look", "book"].iter().enumerate() {
        let traces = measured.segments.iter().flat_map(|segment| &segment.traces);
        let of_class = traces.filter(|trace| usize::from(trace.class) == class);
        let mut latencies_ms: Vec<f64> = of_class.map(|trace| trace.took_ms).collect();
        latencies_ms.sort_by(f64::total_cmp);
        for (quantile, range) in
            [(0.5, predicted.classes[*name].p50_ms), (0.99, predicted.classes[*name].p99_ms)]
        {
            let latency_ms = latencies_ms[(quantile * latencies_ms.len() as f64) as usize];
            assert!(
                (range.low..=range.high).contains(&latency_ms),
                "{name} {quantile}: {latency_ms} {range:?}"
            );
        }
    }
}

#[test]
fn a_cancelled_evaluation_gives_no_verdict() {
    let scenario = short_scenario();
    let segments = scenario.run().segments;
    let checks = std::cell::Cell::new(0);
    let job = scenario.job(weights(&[("s1", 1.3)]));
    let cancelled = || checks.replace(checks.get() + 1) >= 1;
    assert_eq!(judge(&job, &segments, &|_| (), &cancelled), None);
    assert!(checks.get() >= 2, "cancellation is checked again during the replay");
}

#[rstest]
#[case::only_one_proxy_of_five(&|s: &mut Vec<Segment>| s.retain(|s| s.name == "p0"), "coverage")]
#[case::records_of_another_table(&|s: &mut Vec<Segment>| s.iter_mut().for_each(|s| s.revision = 2), "coverage")]
#[case::most_traces_dropped(&|s: &mut Vec<Segment>| s.iter_mut().for_each(|s| s.dropped = 4 * s.seen), "coverage")]
#[case::half_of_the_segments_lost(&|s: &mut Vec<Segment>| s.retain(|s| (s.number + s.name.len() as u64 + u64::from(s.name.as_bytes()[1])).is_multiple_of(2)), "coverage")]
#[case::another_list(&|s: &mut Vec<Segment>| {
    s.iter_mut().flat_map(|s| &mut s.backends).filter(|b| b.0 == "s3").for_each(|b| b.0 = "old".into());
}, "other_list")]
#[case::old_records(&|s: &mut Vec<Segment>| s.iter_mut().for_each(|s| {
    (s.span_ms.0, s.span_ms.1) = (s.span_ms.0 - 2e6, s.span_ms.1 - 2e6);
    s.traces.iter_mut().for_each(|t| t.at_ms -= 2e6);
}), "old")]
#[case::shares_that_the_module_does_not_reproduce(&|s: &mut Vec<Segment>| {
    let attempts = s.iter_mut().flat_map(|s| &mut s.traces).flat_map(|t| &mut t.attempts);
    attempts.filter(|a| a.backend == 0).for_each(|a| a.backend = 1);
}, "back_test")]
fn insufficient_or_inconsistent_records_give_the_reason(
    #[case] corrupt: &dyn Fn(&mut Vec<Segment>),
    #[case] why: &str,
) {
    let scenario = short_scenario();
    let mut segments = scenario.run().segments;
    // A segment that arrives twice must count once.
    segments.extend(segments.clone());
    corrupt(&mut segments);
    let verdict = evaluate(&scenario, &[("s1", 1.3)], &segments);
    let Decision::CannotTell(reason) = &verdict.decision else { panic!("{:?}", verdict.decision) };
    assert_eq!(serde_json::to_value(reason).expect("a verdict is valid JSON")["why"], why);
    if let CannotTellReason::ListMismatch { differing_backends } = reason {
        assert_eq!(*differing_backends, ["old", "s3"]);
    }
}

#[test]
fn a_wrong_clock_a_killed_proxy_and_a_lost_segment_do_not_prevent_a_verdict() {
    let scenario = FleetScenario {
        proxies: 6,
        duration_s: 30.0,
        clock_offsets_ms: [(2, 5000.0)].into(),
        ..FleetScenario::default()
    };
    let mut segments = scenario.run().segments;
    segments.retain(|s| s.name != "p4" || s.number <= 3);
    segments.retain(|s| s.name != "p1" || s.number != 3);
    let verdict = evaluate(&scenario, &[("s1", 1.1)], &segments);
    assert_eq!(verdict.decision, Decision::Admit);
}

#[test]
fn proxies_ranked_by_membership_have_the_same_subsets_in_the_replay() {
    // With few proxies for many backends, the shares of calls show which proxy has which subset.
    let scenario = FleetScenario {
        ranks_by_membership: true,
        proxies: 3,
        backends: 36,
        slots: 2,
        requests_per_s: 40.0,
        ..FleetScenario::default()
    };
    let mut segments = scenario.run().segments;
    assert_eq!(evaluate(&scenario, &[("s1", 1.1)], &segments).decision, Decision::Admit);
    segments.iter_mut().for_each(|s| s.peers = None);
    let without_ranks = evaluate(&scenario, &[("s1", 1.1)], &segments).decision;
    assert!(
        matches!(without_ranks, Decision::CannotTell(CannotTellReason::BackTest { .. })),
        "{without_ranks:?}"
    );
}

#[test]
fn requests_shared_with_another_tier_align_the_clocks() {
    // Each request of p0 and p1 runs within an attempt of the proxy `front` of another tier. The clock of p0 is 5 s ahead,
    // those of the others are right.
    let scenario = FleetScenario {
        proxies: 3,
        duration_s: 12.0,
        clock_offsets_ms: [(0, 5000.0)].into(),
        ..FleetScenario::default()
    };
    let segments = scenario.run().segments;
    let mut front: Vec<Segment> = segments.iter().filter(|s| s.name != "p2").cloned().collect();
    for s in &mut front {
        let offset_ms = if s.name == "p0" { 5000.0 } else { 0.0 };
        s.settings = s.settings.replace("\"slotNo\":1", "\"slotNo\":0");
        s.settings = s.settings.replace("\"tier\":0", "\"tier\":1");
        (s.name, s.span_ms) = ("front".into(), (s.span_ms.0 - offset_ms, s.span_ms.1 - offset_ms));
        for t in &mut s.traces {
            t.at_ms -= offset_ms + 10.0;
            t.attempts.truncate(1);
            t.attempts.iter_mut().for_each(|a| (a.after_ms, a.wait_ms) = (5.0, t.took_ms + 10.0));
        }
    }
    for (i, s) in front.iter_mut().enumerate() {
        s.number = 1 + i as u64;
    }
    let in_tier_2 =
        |s: &Segment| Segment { settings: s.settings.replace("\"tier\":0", "\"tier\":2"), ..s.clone() };
    let behind: Vec<Segment> = segments.iter().map(in_tier_2).collect();
    let job = Job { tier: Some(2), ..scenario.job(weights(&[("s1", 1.1)])) };
    let requests = |segments: &[Segment]| {
        judge(&job, segments, &|_| (), &|| false).expect("the evaluation is not cancelled").requests
    };
    let all: usize = behind.iter().map(|s| s.traces.len()).sum();
    let aligned = requests(&[behind.clone(), front].concat());
    assert!(aligned as f64 > 0.99 * all as f64, "{aligned} of {all} requests lie in the fleet's window");
    assert!(
        (requests(&behind) as f64) < 0.9 * all as f64,
        "without shared requests, those of the proxy that is ahead lie outside of it"
    );
}

#[test]
fn a_sample_of_one_request_in_five_gives_the_same_decisions() {
    let scenario = FleetScenario { sampled: 13_107, duration_s: 60.0, ..busy_scenario() };
    let segments = scenario.run().segments;
    assert_eq!(evaluate(&scenario, &[("s1", 1.1), ("s2", 0.8)], &segments).decision, Decision::Admit);
    let decision = evaluate(&scenario, &[("s1", 8.0)], &segments).decision;
    let Decision::Refuse { breach, .. } = decision else { panic!("{decision:?}") };
    assert_eq!(breach.name, "s1");
}
