//! Proposals: what is refused, which of two wins, and verdicts.

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
fn a_table_that_cannot_be_is_refused_with_what_to_do(
    #[case] weights: &[(&str, f64)],
    #[case] says: &str,
    #[case] status: u16,
) {
    let mut control = Control::new(unjudged(), START);
    let refused = control.propose(START, proposal(0, weights), &backends(8)).expect_err("refused");
    assert!(refused.to_string().contains(says), "{refused}");
    assert_eq!(refused.status(), status);
    assert_eq!(control.newest_revision(), 0);
}

#[test]
fn bounds_of_names_counts_classes_and_steps_hold() {
    let listed = backends(2);
    let checked = |p: &Proposal| check_proposal(p, &Weights::default(), &listed, 4.0);
    let mut many = proposal(0, &[]);
    many.weights.classes = (0..=MAX_WEIGHTS).map(|n| (n.to_string(), 1.0)).collect();
    assert_eq!(checked(&many).map_err(|e| e.status()), Err(413));
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    for by in ["", "a\n", &long] {
        assert!(checked(&Proposal { by: by.into(), ..proposal(0, &[]) }).is_err());
    }
    assert!(
        checked(&Proposal { override_why: Some("x".repeat(MAX_OVERRIDE_REASON + 1)), ..proposal(0, &[]) })
            .is_err()
    );
    let mut zone = proposal(0, &[]);
    zone.weights.zones = BTreeMap::from([("north".into(), 1.0)]);
    assert_eq!(checked(&zone), Err(ProposalError::Unknown { kind: "zone", name: "north".into() }));
    zone.weights.zones = BTreeMap::from([("east".into(), 0.0)]);
    assert_eq!(checked(&zone), Ok(()), "one of two is emptied in one step");
    zone.weights.classes = BTreeMap::from([("m".into(), 0.0)]);
    assert_eq!(checked(&zone), Err(ProposalError::AllZero));
    assert!(matches!(
        check_proposal(&proposal(0, &[]), &Weights::default(), &[], 4.0),
        Err(ProposalError::NoBackends)
    ));
}

#[test]
fn of_two_proposals_from_one_table_one_wins_and_the_other_is_told_which() {
    let mut fleet = Fleet::new(3, Config { verdict_timeout_ms: 1000, ..Config::default() }, 1);
    let propose = |fleet: &mut Fleet, from, weight| {
        fleet.control.propose(fleet.now, proposal(from, &[("b0", weight)]), &fleet.listed.clone())
    };
    let first = propose(&mut fleet, 0, 1.0 + 1.0 / 3.0).expect("taken");
    let text = serde_json::to_string(&first.table).expect("written");
    let read: Table = serde_json::from_str(&text).expect("read");
    assert_eq!(
        (read.weights.digest(), &read.weights.backends["b0"]),
        (first.table.digest.clone(), &1.333333333)
    );
    assert_eq!(propose(&mut fleet, 0, 3.0), Err(ProposalError::Writing), "not on disk yet");
    fleet.control.discard_pending();
    assert_eq!(fleet.control.newest_revision(), 0, "never written, never there");
    let judge = fleet.control.apply(fleet.now, first.record.clone());
    assert!(matches!(&judge[..], [Effect::Evaluate { table, .. }] if *table == first.table));
    assert!(fleet.control.apply(fleet.now, first.record).is_empty(), "met twice");
    let newest = first.table.revision;
    assert_eq!(propose(&mut fleet, 0, 3.0), Err(ProposalError::Conflict { from: 0, newest }));
    let second = propose(&mut fleet, newest, 3.0).expect("knows the first");
    assert!(second.table.revision > newest && second.table.from == 0);
    let effects = fleet.control.apply(fleet.now, second.record);
    assert!(
        matches!(&effects[..], [Effect::CancelEvaluation { revision }, Effect::Evaluate { .. }] if *revision == newest)
    );
    fleet.run(3000);
    assert!(matches!(fleet.end(), Some(ProposalOutcome::Lapsed { why }) if why.contains("no verdict")));
}

#[test]
fn only_a_verdict_to_admit_or_an_override_begins_a_rollout() {
    let breach = Breach {
        kind: "backend".into(),
        name: "b0".into(),
        figure: "peak".into(),
        predicted: 9.0,
        bound: 3.0,
    };
    let mut fleet = Fleet::new(3, Config::default(), 1);
    fleet.says = Decision::Refuse { breach, largest_step: 0.5 };
    fleet.propose(proposal(0, &[("b0", 3.0)])).expect("taken");
    assert_eq!((fleet.end(), fleet.control.newest_revision()), (Some(ProposalOutcome::Refused), 0));
    fleet.says = Decision::CannotTell(CannotTellReason::Stale { age_ms: 2.0, max_age_ms: 1.0 });
    fleet.propose(proposal(0, &[("b0", 3.0)])).expect("taken");
    assert_eq!(fleet.end(), Some(ProposalOutcome::CannotTell));
    let judged = fleet.judged;
    let with = Proposal { override_why: Some("an outage".into()), ..proposal(0, &[("b0", 3.0)]) };
    let revision = fleet.propose(with).expect("taken");
    assert_eq!(fleet.judged, judged, "whatever a replay says");
    let work = fleet.control.state_page().active.expect("in work");
    assert_eq!(work.admission, Admission::Override { why: "an outage".into() });
    let busy = fleet.propose(proposal(revision, &[]));
    assert_eq!(busy, Err(ProposalError::RollingOut { revision }));
}

#[test]
fn a_proposal_is_judged_anew_after_a_kill_and_with_another_list() {
    let mut fleet = Fleet::new(3, Config::default(), 1);
    let taken =
        fleet.control.propose(fleet.now, proposal(0, &[("b0", 2.0)]), &fleet.listed.clone()).expect("taken");
    fleet.log.push(taken.record);
    let (mut control, effects) = Control::restore(Config::default(), fleet.log.clone(), fleet.now);
    assert!(matches!(&effects[..], [Effect::Evaluate { table, .. }] if *table == taken.table));
    control.update_backends(&fleet.listed[..4]);
    let effects = control.tick(fleet.now + 1000);
    let [Effect::Persist(record)] = &effects[..] else { panic!("{effects:?}") };
    let effects = control.apply(fleet.now, *record.clone());
    assert!(matches!(&effects[..], [Effect::CancelEvaluation { .. }, Effect::Evaluate { .. }]));
    control.update_backends(&fleet.listed[1..]);
    let effects = control.tick(fleet.now + 2000);
    let [Effect::Persist(record)] = &effects[..] else { panic!("{effects:?}") };
    assert!(
        matches!(&record.ended[0].end, ProposalOutcome::Lapsed { why } if why.contains("\"b0\" is not in the list"))
    );
}
