//! Proposals: refusals, concurrent proposals, and verdicts.

use crate::route_fleet::*;
use load_balancer::replay::{Breach, CannotTellReason, Decision};
use load_balancer::route_table::*;
use rstest::rstest;
use std::collections::BTreeMap;

#[rstest]
#[case::negative(&[("b0", -1.0)], "must be a number", 400)]
#[case::nan(&[("b0", f64::NAN)], "must be a number", 400)]
#[case::infinite(&[("b0", f64::INFINITY)], "must be a number", 400)]
#[case::unknown(&[("b9", 1.0)], "\"b9\" is not in the list", 400)]
#[case::unnamed(&[("", 1.0)], "printable", 400)]
#[case::step(&[("b0", 20.0), ("b1", 0.1)], "smaller step", 400)]
fn an_invalid_proposal_is_refused_with_its_cause(
    #[case] weights: &[(&str, f64)],
    #[case] message: &str,
    #[case] status: u16,
) {
    let mut control = Control::new(config_without_verdicts(), START);
    let refused =
        control.propose(START, proposal(0, weights), &backends(8)).expect_err("the proposal is invalid");
    assert!(refused.to_string().contains(message), "{refused}");
    assert_eq!(refused.status(), status);
    assert_eq!(control.newest_revision(), 0);
}

#[test]
fn names_counts_and_zero_weights_are_checked() {
    let listed = backends(2);
    let check = |p: &Proposal| check_proposal(p, &Weights::default(), &listed, 4.0);
    let mut many = proposal(0, &[]);
    many.weights.classes = (0..=MAX_WEIGHTS).map(|n| (n.to_string(), 1.0)).collect();
    assert_eq!(check(&many).map_err(|e| e.status()), Err(413));
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    for by in ["", "a\n", &long] {
        assert!(check(&Proposal { by: by.into(), ..proposal(0, &[]) }).is_err());
    }
    assert!(
        check(&Proposal { override_reason: Some("x".repeat(MAX_OVERRIDE_REASON + 1)), ..proposal(0, &[]) })
            .is_err()
    );
    let mut zone = proposal(0, &[]);
    zone.weights.zones = BTreeMap::from([("north".into(), 1.0)]);
    assert_eq!(check(&zone), Err(ProposalError::Unknown { kind: "zone", name: "north".into() }));
    zone.weights.zones = BTreeMap::from([("east".into(), 0.0)]);
    assert_eq!(check(&zone), Ok(()), "one of two zones may be set to 0 in one step");
    zone.weights.classes = BTreeMap::from([("m".into(), 0.0)]);
    assert_eq!(check(&zone), Err(ProposalError::AllZero));
    assert!(matches!(
        check_proposal(&proposal(0, &[]), &Weights::default(), &[], 4.0),
        Err(ProposalError::NoBackends)
    ));
}

#[test]
fn of_two_proposals_from_one_revision_the_second_is_refused_with_the_newest_revision() {
    let mut fleet = Fleet::new(3, Config { verdict_timeout_ms: 1000, ..Config::default() }, 1);
    let propose = |fleet: &mut Fleet, from, weight| {
        fleet.control.propose(fleet.now_ms, proposal(from, &[("b0", weight)]), &fleet.listed.clone())
    };
    let first = propose(&mut fleet, 0, 1.0 + 1.0 / 3.0).expect("the first proposal is accepted");
    let text = serde_json::to_string(&first.table).expect("a table is written as JSON");
    let read: Table = serde_json::from_str(&text).expect("a written table is read again");
    assert_eq!(
        (read.weights.digest(), &read.weights.backends["b0"]),
        (first.table.digest.clone(), &1.333333333)
    );
    assert_eq!(
        propose(&mut fleet, 0, 3.0),
        Err(ProposalError::Writing),
        "the first record is not on disk yet"
    );
    fleet.control.discard_pending();
    assert_eq!(fleet.control.newest_revision(), 0, "a record that was not written has no effect");
    let effects = fleet.control.apply(fleet.now_ms, first.record.clone());
    assert!(matches!(&effects[..], [Effect::Evaluate { table, .. }] if *table == first.table));
    assert!(fleet.control.apply(fleet.now_ms, first.record).is_empty(), "a repeated record has no effect");
    let newest = first.table.revision;
    assert_eq!(propose(&mut fleet, 0, 3.0), Err(ProposalError::Conflict { from: 0, newest }));
    let second = propose(&mut fleet, newest, 3.0).expect("a proposal from the newest revision is accepted");
    assert!(second.table.revision > newest && second.table.from == 0);
    let effects = fleet.control.apply(fleet.now_ms, second.record);
    assert!(
        matches!(&effects[..], [Effect::CancelEvaluation { revision }, Effect::Evaluate { .. }] if *revision == newest)
    );
    fleet.run(3000);
    assert!(
        matches!(fleet.last_outcome(), Some(ProposalOutcome::Lapsed { why }) if why.contains("no verdict"))
    );
}

#[test]
fn only_an_admitting_verdict_or_an_override_begins_a_rollout() {
    let breach = Breach {
        kind: "backend".into(),
        name: "b0".into(),
        figure: "peak".into(),
        predicted: 9.0,
        bound: 3.0,
    };
    let mut fleet = Fleet::new(3, Config::default(), 1);
    fleet.decision = Decision::Refuse { breach, largest_step: 0.5 };
    fleet.propose(proposal(0, &[("b0", 3.0)])).expect("the proposal is accepted");
    assert_eq!((fleet.last_outcome(), fleet.control.newest_revision()), (Some(ProposalOutcome::Refused), 0));
    fleet.decision = Decision::CannotTell(CannotTellReason::Stale { age_ms: 2.0, max_age_ms: 1.0 });
    fleet.propose(proposal(0, &[("b0", 3.0)])).expect("the proposal is accepted");
    assert_eq!(fleet.last_outcome(), Some(ProposalOutcome::CannotTell));
    let evaluations = fleet.evaluations;
    let overriding = Proposal { override_reason: Some("an outage".into()), ..proposal(0, &[("b0", 3.0)]) };
    let revision = fleet.propose(overriding).expect("the proposal is accepted");
    assert_eq!(fleet.evaluations, evaluations, "an override is not evaluated");
    let active = fleet.control.state_page().active.expect("the rollout is in progress");
    assert_eq!(active.admission, Admission::Override { why: "an outage".into() });
    let concurrent = fleet.propose(proposal(revision, &[]));
    assert_eq!(concurrent, Err(ProposalError::RollingOut { revision }));
}

#[test]
fn a_proposal_is_evaluated_again_after_a_restart_and_for_a_changed_list() {
    let mut fleet = Fleet::new(3, Config::default(), 1);
    let accepted = fleet
        .control
        .propose(fleet.now_ms, proposal(0, &[("b0", 2.0)]), &fleet.listed.clone())
        .expect("the proposal is accepted");
    fleet.log.push(accepted.record);
    let (mut control, effects) = Control::restore(Config::default(), fleet.log.clone(), fleet.now_ms);
    assert!(matches!(&effects[..], [Effect::Evaluate { table, .. }] if *table == accepted.table));
    control.update_backends(&fleet.listed[..4]);
    let effects = control.tick(fleet.now_ms + 1000);
    let [Effect::Persist(record)] = &effects[..] else { panic!("{effects:?}") };
    let effects = control.apply(fleet.now_ms, *record.clone());
    assert!(matches!(&effects[..], [Effect::CancelEvaluation { .. }, Effect::Evaluate { .. }]));
    control.update_backends(&fleet.listed[1..]);
    let effects = control.tick(fleet.now_ms + 2000);
    let [Effect::Persist(record)] = &effects[..] else { panic!("{effects:?}") };
    assert!(
        matches!(&record.ended[0].end, ProposalOutcome::Lapsed { why } if why.contains("\"b0\" is not in the list"))
    );
}
