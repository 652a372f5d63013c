//! Limits of the library at their border and one over: what fits is whole, and what does not is refused with what to do.

use load_balancer::client::membership::swim::{DropReason, MAX_MEMBERS, MemberId, Swim, Timing};
use load_balancer::interface::Arrival;
use load_balancer::replay::*;
use load_balancer::route_table::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The fleet that has to fit below each limit.
const FLEET: usize = 10_000;
const NOW: u64 = 1_764_633_600_000;

fn backends(count: usize) -> Vec<Backend> {
    let of = |n: usize| Backend { host: format!("b{n}"), class: "m".into(), zone: "z".into(), share: 1.0 };
    (0..count).map(of).collect()
}

fn weights(count: usize) -> Weights {
    Weights { backends: (0..count).map(|n| (format!("b{n}"), 1.5)).collect(), ..Weights::default() }
}

#[test]
fn a_table_of_as_many_weights_as_it_may_have_is_taken_and_one_more_is_refused() {
    const { assert!(MAX_WEIGHTS > FLEET) };
    let propose = |count: usize| {
        let mut control = Control::new(Config { require_verdict: false, ..Config::default() }, NOW);
        let proposal =
            Proposal { from: 0, weights: weights(count), by: "operator".into(), override_reason: None };
        let taken = control.propose(NOW, proposal, &backends(MAX_WEIGHTS + 1));
        (taken, control.newest_revision())
    };
    let (taken, _) = propose(MAX_WEIGHTS);
    assert_eq!(taken.expect("taken").table.weights.backends.len(), MAX_WEIGHTS);
    let (refused, newest) = propose(MAX_WEIGHTS + 1);
    let refused = refused.expect_err("refused");
    assert_eq!(
        (&refused, refused.status(), newest),
        (&ProposalError::TooMany { count: MAX_WEIGHTS + 1 }, 413, 0)
    );
    assert!(refused.to_string().contains("say it by class or zone"), "{refused}");
}

/// A registry stores a table, and a proxy reads it: both longest texts hold the longest one.
#[test]
fn the_longest_table_is_shorter_than_what_registry_and_proxies_read() {
    const PROXY_READS: usize = 8 << 20;
    let name = |n: usize| format!("{n:0>width$}", width = MAX_NAME_BYTES);
    let backends = (0..MAX_WEIGHTS).map(|n| (name(n), 0.123456789)).collect();
    let text = serde_json::to_string(&Weights { backends, ..Weights::default() }).expect("JSON");
    assert!(text.len() < PROXY_READS, "{} bytes", text.len());
}

fn report(name: &str, number: u64) -> Report {
    Report {
        name: name.into(),
        generation: NOW * 1000,
        number,
        digest: Weights::default().digest(),
        window_ms: 5000,
        requests: 270,
        calls: (0..18).map(|n| (format!("b{n}"), 15)).collect(),
        ..Report::default()
    }
}

#[test]
fn reports_of_as_many_proxies_as_are_kept_are_taken_and_those_of_one_more_are_refused() {
    let config = Config::default();
    let names = config.max_proxies;
    assert!(
        names > FLEET && config.max_backend_counts / FLEET > 100,
        "the fleet has room, each with a hundred backends"
    );
    let mut control = Control::new(config, NOW);
    control.update_backends(&backends(18));
    for n in 0..names {
        assert_eq!(control.receive_report(NOW, report(&format!("p{n}"), 1)), Ok(()), "proxy {n}");
    }
    let refused = control.receive_report(NOW, report("one-more", 1)).expect_err("refused");
    assert_eq!((&refused, refused.status()), (&ReportError::Full { max: names }, 503));
    assert!(refused.to_string().contains("raise routes.names"), "{refused}");
    assert_eq!(control.receive_report(NOW + 5000, report("p0", 2)), Ok(()), "the others go on");
    assert_eq!(control.drift_page(NOW + 5000).revisions.values().sum::<usize>(), names);
}

fn listed(count: usize) -> impl Iterator<Item = (u32, Listed)> {
    let one = |n: usize| Listed { host: format!("b{n}"), class: "m".into(), zone: "z".into(), share: 1.0 };
    (0..count).map(move |n| (n as u32, one(n)))
}

fn recorder() -> Recorder {
    let config = RecorderConfig {
        name: "n0".into(),
        generation: 1,
        zone: "z".into(),
        settings: "{}".into(),
        sampled: SAMPLED_OF,
        max_traces: 16,
        max_span_ms: 1000.0,
    };
    Recorder::new(config, NOW as f64)
}

/// Records a request that the last of so many backends answers.
fn recorded(count: usize) -> Segment {
    let (mut recorder, now) = (recorder(), NOW as f64);
    recorder.set_list(now, 1, listed(count));
    assert_eq!(recorder.omitted_backends(), count.saturating_sub(MAX_BACKENDS));
    let hash = recorder.sampled(b"r1").expect("all are");
    let arrival =
        Arrival { request: 1, key: 0, class: 0, tenant: 0, deadline_ms: 1000.0, body_pending: false };
    recorder.request_arrived(now, hash, &arrival, 1000.0);
    recorder.attempt_sent(now, 1, count as u32 - 1, 0);
    recorder.attempt_ended(now + 5.0, 1, 0, AttemptOutcome::Ok);
    recorder.request_ended(now + 5.0, 1, Ending::Served);
    recorder.cut(now + 10.0).expect("a segment")
}

#[test]
fn a_segment_holds_as_many_backends_as_it_may_and_counts_what_went_to_one_more() {
    const { assert!(MAX_BACKENDS > FLEET) };
    let full = recorded(MAX_BACKENDS);
    assert_eq!((full.backends.len(), full.traces.len(), full.dropped), (MAX_BACKENDS, 1, 0));
    assert_eq!(full.traces[0].attempts[0].backend as usize, MAX_BACKENDS - 1);
    let over = recorded(MAX_BACKENDS + 1);
    assert_eq!((over.backends.len(), over.traces.len(), over.dropped), (MAX_BACKENDS, 0, 1));
    assert_eq!(Segment::decode(&full.encode()).expect("it fits").backends, full.backends);
    let mut spoilt = full;
    spoilt.backends.push(spoilt.backends[0].clone());
    let Err(BadSegment::Invalid { field, reason, .. }) = Segment::decode(&spoilt.encode()) else {
        panic!("it was taken")
    };
    assert_eq!((field, reason), ("backends", "are too many"));
}

/// A report tells of as many backends and members as it may.
#[test]
fn a_report_of_as_many_backends_as_it_may_have_is_taken_and_one_more_is_refused() {
    let mut control = Control::new(Config::default(), NOW);
    control.update_backends(&backends(MAX_REPORTED));
    let with = |calls: usize, members: usize| {
        let calls: BTreeMap<String, u64> = (0..calls).map(|n| (format!("b{n}"), 1)).collect();
        let witness = |n: usize| Witness { name: format!("w{n}"), generation: 1, alive: true };
        Report { calls, members: (0..members).map(witness).collect(), ..report("p", 1) }
    };
    for (bad, what) in [(with(MAX_REPORTED + 1, 0), "calls"), (with(1, MAX_WITNESSED + 1), "members")] {
        let refused = control.receive_report(NOW, bad).expect_err("refused");
        assert_eq!(refused.status(), 413);
        let text = refused.to_string();
        assert!(text.contains(what) && text.contains("send the others in the next report"), "{text}");
    }
    assert_eq!(control.receive_report(NOW, with(MAX_REPORTED, MAX_WITNESSED)), Ok(()));
}

fn member(n: usize) -> Swim {
    let addr = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7946));
    let id = MemberId { addr, generation: 1, name: format!("n{n}"), zone: "z".into() };
    Swim::new(id, &Timing::default(), "tier", n as u64)
}

/// The datagram by which a process asks another one to be taken in.
fn asks(n: usize, of: &Swim) -> Vec<u8> {
    let mut newcomer = member(n);
    newcomer.announce(of.id().addr);
    newcomer.next_datagram().expect("it asks").1
}

#[test]
fn as_many_members_as_may_be_are_taken_in_and_one_more_is_not() {
    const { assert!(MAX_MEMBERS > FLEET) };
    let mut swim = member(0);
    for n in 1..=MAX_MEMBERS {
        let from = swim.receive(&asks(n, &swim)).expect("taken in");
        assert_eq!(from.name, format!("n{n}"));
        // What follows upon it is somebody else's.
        while swim.next_datagram().is_some()
            || swim.next_timer().is_some()
            || swim.next_notification().is_some()
        {}
    }
    assert_eq!(swim.members().count(), MAX_MEMBERS);
    assert_eq!(swim.receive(&asks(MAX_MEMBERS + 1, &swim)), Err(DropReason::TooManyMembers));
    assert_eq!(swim.members().count(), MAX_MEMBERS);
    for n in [1, MAX_MEMBERS] {
        assert!(swim.receive(&asks(n, &swim)).is_ok(), "who is known is heard still");
    }
    assert_eq!(swim.count().alive as usize, MAX_MEMBERS + 1);
}
