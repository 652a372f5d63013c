//! Rollouts, stage by stage, and their ends.

use crate::route_fleet::*;
use load_balancer::route_table::*;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

fn tables(fleet: &Fleet) -> BTreeMap<Revision, String> {
    fleet.proxies.iter().map(|p| (p.table.revision, p.table.digest.clone())).collect()
}

#[test]
fn a_good_table_goes_to_few_a_tenth_half_and_all_through_a_kill_in_each_stage() {
    let mut fleet = Fleet::new(40, unjudged(), 1);
    fleet.run(60_000);
    let revision = fleet.propose(proposal(0, &[("b0", 2.0)])).expect("taken");
    for (stage, size) in [(Stage::Few, 2), (Stage::Tenth, 4), (Stage::Half, 20), (Stage::All, 40)] {
        let at = |f: &Fleet| f.control.state_page().active?.rollout.map(|r| (r.stage, !r.members.is_empty()));
        assert!(fleet.until(90_000, |f| at(f) == Some((stage, true))), "{stage:?}: {:?}", fleet.end());
        fleet.run(10_000);
        assert_eq!(fleet.having(revision), size);
        let before: Vec<_> =
            fleet.proxies.iter().map(|p| fleet.control.target_table(&p.name).clone()).collect();
        fleet.kill(usize::MAX);
        let after: Vec<_> =
            fleet.proxies.iter().map(|p| fleet.control.target_table(&p.name).clone()).collect();
        assert_eq!(before, after);
        fleet.run(25_000);
        assert_eq!(fleet.having(revision), size, "the stage stands anew");
    }
    assert!(
        fleet.until(60_000, |f| f.end() == Some(ProposalOutcome::Done)),
        "{:?}",
        fleet.control.state_page()
    );
    assert_eq!((fleet.control.in_force().revision, fleet.raised.len()), (revision, 0));
}

#[test]
fn a_table_that_makes_calls_fail_stops_at_its_stage_and_the_last_good_weights_go_out() {
    let mut fleet = Fleet::new(40, unjudged(), 2);
    fleet.run(60_000);
    fleet.ill.insert("b0".into(), 0.5);
    let revision = fleet.propose(proposal(0, &[("b0", 4.0)])).expect("taken");
    assert!(fleet.until(120_000, |f| f.end().is_some()));
    let Some(ProposalOutcome::Stopped { stage, why, rollback_revision: Some(back) }) = fleet.end() else {
        panic!("{:?}", fleet.end())
    };
    assert!(stage < Stage::All && why.contains("failed") && back > revision, "{stage:?} {why}");
    fleet.run(5000);
    assert_eq!((fleet.having(back), &fleet.control.in_force().weights), (40, &Weights::default()));
    assert_eq!(fleet.propose(proposal(0, &[])), Err(ProposalError::Conflict { from: 0, newest: back }));
}

#[rstest]
#[case::not_taken(|f: &mut Fleet| f.proxies.iter_mut().for_each(|p| p.takes = false), "do not report the table")]
#[case::silent(|f: &mut Fleet| f.proxies.iter_mut().for_each(|p| p.linked = false), "too few proxies are heard")]
#[case::spoilt(|f: &mut Fleet| f.proxies.iter_mut().for_each(|p| p.spoilt = Some("0".repeat(16))), "drift")]
fn a_rollout_that_cannot_go_on_stops_and_says_why(#[case] fault: fn(&mut Fleet), #[case] says: &str) {
    let mut fleet = Fleet::new(10, Config { stage_timeout_ms: 60_000, ..unjudged() }, 3);
    fleet.run(60_000);
    fleet.propose(proposal(0, &[("b0", 2.0)])).expect("taken");
    fleet.run(3000);
    fault(&mut fleet);
    assert!(fleet.until(200_000, |f| f.end().is_some()));
    assert!(
        matches!(fleet.end(), Some(ProposalOutcome::Stopped { why, .. }) if why.contains(says)),
        "{:?}",
        fleet.end()
    );
}

#[test]
fn an_older_copy_of_the_log_rolls_nobody_back_and_goes_on_above_what_the_fleet_has() {
    let mut fleet = Fleet::new(20, Config { min_stage_ms: 5000, ..unjudged() }, 4);
    fleet.run(60_000);
    let first = fleet.propose(proposal(0, &[("b0", 2.0)])).expect("taken");
    assert!(fleet.until(120_000, |f| f.end() == Some(ProposalOutcome::Done)));
    let kept = fleet.log.len();
    let lost = fleet.propose(proposal(first, &[("b0", 1.5)])).expect("taken");
    assert!(fleet.until(120_000, |f| f.having(lost) == 20));
    fleet.run(60_000);
    fleet.kill(kept);
    fleet.run(30_000);
    assert_eq!(fleet.findings(), [(FindingKind::Ahead, None, 20)], "one finding of the fleet");
    assert_eq!(fleet.having(lost), 20);
    let again = proposal(first, &[("b0", 1.0)]);
    assert_eq!(fleet.propose(again.clone()), Err(ProposalError::Ahead { proxies: 20 }));
    let whole = Proposal { override_why: Some("the log was lost".into()), ..again };
    let next = fleet.propose(whole).expect("taken");
    assert!(next > lost);
    let done = |f: &Fleet| f.control.in_force().revision == next;
    assert!(fleet.until(200_000, done), "{:?}", fleet.control.state_page());
    fleet.run(30_000);
    assert_eq!((fleet.having(next), fleet.findings()), (20, vec![]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever is lost, late, killed or ill: one table for one revision, no stage exceeded, and an end.
    #[test]
    fn a_rollout_always_ends_and_no_revision_has_two_tables(
        seed: u64,
        size in 1usize..40,
        loss in 0.0..0.5f64,
        ill in 0.0..0.2f64,
        kills in proptest::collection::vec((1u64..120, any::<bool>()), 0..6),
    ) {
        let mut fleet = Fleet::new(size, Config { stage_timeout_ms: 120_000, ..unjudged() }, seed);
        (fleet.loss, fleet.twice, fleet.late) = (loss, 0.1, 0.1);
        fleet.run(40_000);
        fleet.ill.insert("b1".into(), ill);
        let revision = fleet.propose(proposal(0, &[("b1", 3.0)])).expect("taken");
        let mut seen = tables(&fleet);
        let mut hold = |fleet: &Fleet| {
            for (revision, digest) in tables(fleet) {
                assert_eq!(seen.entry(revision).or_insert_with(|| digest.clone()), &digest);
            }
            let rollout = fleet.control.state_page().active.and_then(|work| work.rollout);
            if let Some(rollout) = rollout.filter(|r| r.stage < Stage::All) {
                assert!(rollout.members.len() <= 2 * stage_size(rollout.stage, size, 2));
                assert!(fleet.having(revision) <= rollout.members.len());
            }
        };
        for (seconds, torn) in kills {
            for _ in 0..seconds {
                fleet.run(1000);
                hold(&fleet);
            }
            // A decision dies with the process: before it was written, or written but not yet shown.
            for effect in fleet.control.tick(fleet.now) {
                match effect {
                    Effect::Persist(record) if !torn => fleet.log.push(*record),
                    _ => {}
                }
            }
            fleet.kill(usize::MAX);
        }
        for _ in 0..1000 {
            fleet.run(1000);
            hold(&fleet);
        }
        prop_assert!(matches!(fleet.end(), Some(ProposalOutcome::Done | ProposalOutcome::Stopped { .. })), "{:?}", fleet.control.state_page());
        let meant = fleet.control.in_force().revision;
        prop_assert_eq!(fleet.having(meant), size);
    }
}
