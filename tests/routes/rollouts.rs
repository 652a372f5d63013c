//! Rollouts on a simulated fleet: their stages, their ends, and restarts of the registry in between.

use crate::route_fleet::*;
use load_balancer::route_table::*;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

/// The digests that the proxies have in force, by revision.
fn digests_by_revision(fleet: &Fleet) -> BTreeMap<Revision, String> {
    fleet.proxies.iter().map(|p| (p.table.revision, p.table.digest.clone())).collect()
}

#[test]
fn a_rollout_passes_all_stages_with_a_restart_of_the_registry_in_each() {
    let mut fleet = Fleet::new(40, config_without_verdicts(), 1);
    fleet.run(60_000);
    let revision = fleet.propose(proposal(0, &[("b0", 2.0)])).expect("the proposal is accepted");
    for (stage, size) in [(Stage::Few, 2), (Stage::Tenth, 4), (Stage::Half, 20), (Stage::All, 40)] {
        let current =
            |f: &Fleet| f.control.state_page().active?.rollout.map(|r| (r.stage, !r.members.is_empty()));
        assert!(
            fleet.run_until(90_000, |f| current(f) == Some((stage, true))),
            "{stage:?}: {:?}",
            fleet.last_outcome()
        );
        fleet.run(10_000);
        assert_eq!(fleet.count_with_revision(revision), size);
        let before: Vec<_> =
            fleet.proxies.iter().map(|p| fleet.control.target_table(&p.name).clone()).collect();
        fleet.restart_registry(usize::MAX);
        let after: Vec<_> =
            fleet.proxies.iter().map(|p| fleet.control.target_table(&p.name).clone()).collect();
        assert_eq!(before, after);
        fleet.run(25_000);
        assert_eq!(fleet.count_with_revision(revision), size, "the minimum time of the stage restarts");
    }
    assert!(
        fleet.run_until(60_000, |f| f.last_outcome() == Some(ProposalOutcome::Done)),
        "{:?}",
        fleet.control.state_page()
    );
    assert_eq!((fleet.control.in_force().revision, fleet.raised.len()), (revision, 0));
}

#[test]
fn a_table_that_makes_calls_fail_is_stopped_in_its_stage_and_rolled_back() {
    let mut fleet = Fleet::new(40, config_without_verdicts(), 2);
    fleet.run(60_000);
    fleet.error_rates.insert("b0".into(), 0.5);
    let revision = fleet.propose(proposal(0, &[("b0", 4.0)])).expect("the proposal is accepted");
    assert!(fleet.run_until(120_000, |f| f.last_outcome().is_some()));
    let Some(ProposalOutcome::Stopped { stage, why, rollback_revision: Some(rollback) }) =
        fleet.last_outcome()
    else {
        panic!("{:?}", fleet.last_outcome())
    };
    assert!(stage < Stage::All && why.contains("failed") && rollback > revision, "{stage:?} {why}");
    fleet.run(5000);
    assert_eq!(
        (fleet.count_with_revision(rollback), &fleet.control.in_force().weights),
        (40, &Weights::default())
    );
    assert_eq!(fleet.propose(proposal(0, &[])), Err(ProposalError::Conflict { from: 0, newest: rollback }));
}

#[rstest]
#[case::tables_not_applied(|f: &mut Fleet| f.proxies.iter_mut().for_each(|p| p.applies_tables = false), "do not report the table")]
#[case::silent(|f: &mut Fleet| f.proxies.iter_mut().for_each(|p| p.connected = false), "too few proxies are heard")]
#[case::wrong_digest(|f: &mut Fleet| f.proxies.iter_mut().for_each(|p| p.reported_digest = Some("0".repeat(16))), "drift")]
fn a_rollout_that_cannot_advance_stops_with_the_cause(#[case] fault: fn(&mut Fleet), #[case] cause: &str) {
    let mut fleet = Fleet::new(10, Config { stage_timeout_ms: 60_000, ..config_without_verdicts() }, 3);
    fleet.run(60_000);
    fleet.propose(proposal(0, &[("b0", 2.0)])).expect("the proposal is accepted");
    fleet.run(3000);
    fault(&mut fleet);
    assert!(fleet.run_until(200_000, |f| f.last_outcome().is_some()));
    assert!(
        matches!(fleet.last_outcome(), Some(ProposalOutcome::Stopped { why, .. }) if why.contains(cause)),
        "{:?}",
        fleet.last_outcome()
    );
}

#[test]
fn an_older_copy_of_the_log_rolls_no_proxy_back_and_new_revisions_exceed_the_fleets() {
    let mut fleet = Fleet::new(20, Config { min_stage_ms: 5000, ..config_without_verdicts() }, 4);
    fleet.run(60_000);
    let first = fleet.propose(proposal(0, &[("b0", 2.0)])).expect("the proposal is accepted");
    assert!(fleet.run_until(120_000, |f| f.last_outcome() == Some(ProposalOutcome::Done)));
    let kept = fleet.log.len();
    let lost = fleet.propose(proposal(first, &[("b0", 1.5)])).expect("the proposal is accepted");
    assert!(fleet.run_until(120_000, |f| f.count_with_revision(lost) == 20));
    fleet.run(60_000);
    fleet.restart_registry(kept);
    fleet.run(30_000);
    assert_eq!(fleet.findings(), [(FindingKind::Ahead, None, 20)], "there is one finding of the fleet");
    assert_eq!(fleet.count_with_revision(lost), 20);
    let without_override = proposal(first, &[("b0", 1.0)]);
    assert_eq!(fleet.propose(without_override.clone()), Err(ProposalError::Ahead { proxies: 20 }));
    let overriding = Proposal { override_reason: Some("the log was lost".into()), ..without_override };
    let next = fleet.propose(overriding).expect("the proposal is accepted");
    assert!(next > lost);
    let done = |f: &Fleet| f.control.in_force().revision == next;
    assert!(fleet.run_until(200_000, done), "{:?}", fleet.control.state_page());
    fleet.run(30_000);
    assert_eq!((fleet.count_with_revision(next), fleet.findings()), (20, vec![]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// With lost, repeated and late reports, failing calls and kills of the registry, each revision has one table, no
    /// stage exceeds its size, and the rollout ends.
    #[test]
    fn a_rollout_always_ends_and_no_revision_has_two_tables(
        seed: u64,
        size in 1usize..40,
        loss_rate in 0.0..0.5f64,
        error_rate in 0.0..0.2f64,
        kills in proptest::collection::vec((1u64..120, any::<bool>()), 0..6),
    ) {
        let mut fleet = Fleet::new(size, Config { stage_timeout_ms: 120_000, ..config_without_verdicts() }, seed);
        (fleet.loss_rate, fleet.duplicate_rate, fleet.delay_rate) = (loss_rate, 0.1, 0.1);
        fleet.run(40_000);
        fleet.error_rates.insert("b1".into(), error_rate);
        let revision = fleet.propose(proposal(0, &[("b1", 3.0)])).expect("the proposal is accepted");
        let mut digests = digests_by_revision(&fleet);
        let mut check_invariants = |fleet: &Fleet| {
            for (revision, digest) in digests_by_revision(fleet) {
                assert_eq!(digests.entry(revision).or_insert_with(|| digest.clone()), &digest);
            }
            let rollout = fleet.control.state_page().active.and_then(|active| active.rollout);
            if let Some(rollout) = rollout.filter(|r| r.stage < Stage::All) {
                assert!(rollout.members.len() <= 2 * stage_size(rollout.stage, size, 2));
                assert!(fleet.count_with_revision(revision) <= rollout.members.len());
            }
        };
        for (seconds, lost) in kills {
            for _ in 0..seconds {
                fleet.run(1000);
                check_invariants(&fleet);
            }
            // The process is killed after a decision: before its record is written, or after that but before it is
            // applied.
            for effect in fleet.control.tick(fleet.now_ms) {
                match effect {
                    Effect::Persist(record) if !lost => fleet.log.push(*record),
                    _ => {}
                }
            }
            fleet.restart_registry(usize::MAX);
        }
        for _ in 0..1000 {
            fleet.run(1000);
            check_invariants(&fleet);
        }
        prop_assert!(matches!(fleet.last_outcome(), Some(ProposalOutcome::Done | ProposalOutcome::Stopped { .. })), "{:?}", fleet.control.state_page());
        let in_force = fleet.control.in_force().revision;
        prop_assert_eq!(fleet.count_with_revision(in_force), size);
    }
}
