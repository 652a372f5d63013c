//! Size limits of the library: input at the limit is accepted whole, and input one above it is rejected with an error
//! that says what to do.

use load_balancer::client::membership::swim::{DropReason, MAX_MEMBERS, MemberId, Swim, Timing};
use load_balancer::interface::Arrival;
use load_balancer::replay::*;
use load_balancer::route_table::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Fleet size that each limit must exceed.
const FLEET_SIZE: usize = 10_000;
const NOW: u64 = 1_764_633_600_000;

fn backends(count: usize) -> Vec<Backend> {
    let backend =
        |n: usize| Backend { host: format!("b{n}"), class: "m".into(), zone: "z".into(), share: 1.0 };
    (0..count).map(backend).collect()
}

fn weights(count: usize) -> Weights {
    Weights { backends: (0..count).map(|n| (format!("b{n}"), 1.5)).collect(), ..Weights::default() }
}

#[test]
fn a_table_with_the_maximum_of_weights_is_accepted_and_one_more_is_rejected() {
    const { assert!(MAX_WEIGHTS > FLEET_SIZE) };
    let propose = |count: usize| {
        let mut control = Control::new(Config { require_verdict: false, ..Config::default() }, NOW);
        let proposal =
            Proposal { from: 0, weights: weights(count), by: "operator".into(), override_reason: None };
        let result = control.propose(NOW, proposal, &backends(MAX_WEIGHTS + 1));
        (result, control.newest_revision())
    };
    let (accepted, _) = propose(MAX_WEIGHTS);
    assert_eq!(accepted.expect("accepted proposal").table.weights.backends.len(), MAX_WEIGHTS);
    let (rejected, newest) = propose(MAX_WEIGHTS + 1);
    let rejected = rejected.expect_err("a limit error");
    assert_eq!(
        (&rejected, rejected.status(), newest),
        (&ProposalError::TooMany { count: MAX_WEIGHTS + 1 }, 413, 0)
    );
    assert!(rejected.to_string().contains("say it by class or zone"), "{rejected}");
}

/// The longest table must fit the size that a proxy reads from a registry.
#[test]
fn the_longest_table_fits_the_size_limit_of_a_proxy() {
    const PROXY_READ_LIMIT: usize = 8 << 20;
    let name = |n: usize| format!("{n:0>width$}", width = MAX_NAME_BYTES);
    let backends = (0..MAX_WEIGHTS).map(|n| (name(n), 0.123456789)).collect();
    let text = serde_json::to_string(&Weights { backends, ..Weights::default() }).expect("valid JSON");
    assert!(text.len() < PROXY_READ_LIMIT, "{} bytes", text.len());
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
fn reports_of_the_maximum_of_proxies_are_accepted_and_those_of_one_more_are_rejected() {
    let config = Config::default();
    let max_proxies = config.max_proxies;
    assert!(
        max_proxies > FLEET_SIZE && config.max_backend_counts / FLEET_SIZE > 100,
        "the limits are below the fleet size with a hundred backends each"
    );
    let mut control = Control::new(config, NOW);
    control.update_backends(&backends(18));
    for n in 0..max_proxies {
        assert_eq!(control.receive_report(NOW, report(&format!("p{n}"), 1)), Ok(()), "proxy {n}");
    }
    let rejected = control.receive_report(NOW, report("one-more", 1)).expect_err("a limit error");
    assert_eq!((&rejected, rejected.status()), (&ReportError::Full { max: max_proxies }, 503));
    assert!(rejected.to_string().contains("raise routes.names"), "{rejected}");
    assert_eq!(control.receive_report(NOW + 5000, report("p0", 2)), Ok(()), "a known proxy is rejected");
    assert_eq!(control.drift_page(NOW + 5000).revisions.values().sum::<usize>(), max_proxies);
}

fn listed_backends(count: usize) -> impl Iterator<Item = (u32, Listed)> {
    let entry = |n: usize| Listed { host: format!("b{n}"), class: "m".into(), zone: "z".into(), share: 1.0 };
    (0..count).map(move |n| (n as u32, entry(n)))
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

/// Records a request that the last of `count` backends answers, and returns the segment.
fn record_segment(count: usize) -> Segment {
    let (mut recorder, now) = (recorder(), NOW as f64);
    recorder.set_list(now, 1, listed_backends(count));
    assert_eq!(recorder.omitted_backends(), count.saturating_sub(MAX_BACKENDS));
    let hash = recorder.sampled(b"r1").expect("every request is sampled");
    let arrival =
        Arrival { request: 1, key: 0, class: 0, tenant: 0, deadline_ms: 1000.0, body_pending: false };
    recorder.request_arrived(now, hash, &arrival, 1000.0);
    recorder.attempt_sent(now, 1, count as u32 - 1, 0);
    recorder.attempt_ended(now + 5.0, 1, 0, AttemptOutcome::Ok);
    recorder.request_ended(now + 5.0, 1, Ending::Served);
    recorder.cut(now + 10.0).expect("a segment")
}

#[test]
fn a_segment_holds_the_maximum_of_backends_and_counts_dropped_traces_to_one_more() {
    const { assert!(MAX_BACKENDS > FLEET_SIZE) };
    let full = record_segment(MAX_BACKENDS);
    assert_eq!((full.backends.len(), full.traces.len(), full.dropped), (MAX_BACKENDS, 1, 0));
    assert_eq!(full.traces[0].attempts[0].backend as usize, MAX_BACKENDS - 1);
    let over = record_segment(MAX_BACKENDS + 1);
    assert_eq!((over.backends.len(), over.traces.len(), over.dropped), (MAX_BACKENDS, 0, 1));
    assert_eq!(Segment::decode(&full.encode()).expect("a valid segment").backends, full.backends);
    let mut oversized = full;
    oversized.backends.push(oversized.backends[0].clone());
    let Err(BadSegment::Invalid { field, reason, .. }) = Segment::decode(&oversized.encode()) else {
        panic!("an oversized segment was decoded")
    };
    assert_eq!((field, reason), ("backends", "are too many"));
}

#[test]
fn a_report_with_the_maximum_of_calls_and_members_is_accepted_and_one_more_is_rejected() {
    let mut control = Control::new(Config::default(), NOW);
    control.update_backends(&backends(MAX_REPORTED));
    let report_with = |calls: usize, members: usize| {
        let calls: BTreeMap<String, u64> = (0..calls).map(|n| (format!("b{n}"), 1)).collect();
        let witness = |n: usize| Witness { name: format!("w{n}"), generation: 1, alive: true };
        Report { calls, members: (0..members).map(witness).collect(), ..report("p", 1) }
    };
    for (oversized, field) in
        [(report_with(MAX_REPORTED + 1, 0), "calls"), (report_with(1, MAX_WITNESSED + 1), "members")]
    {
        let rejected = control.receive_report(NOW, oversized).expect_err("a limit error");
        assert_eq!(rejected.status(), 413);
        let text = rejected.to_string();
        assert!(text.contains(field) && text.contains("send the others in the next report"), "{text}");
    }
    assert_eq!(control.receive_report(NOW, report_with(MAX_REPORTED, MAX_WITNESSED)), Ok(()));
}

fn member(n: usize) -> Swim {
    let addr = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7946));
    let id = MemberId { addr, generation: 1, name: format!("n{n}"), zone: "z".into() };
    Swim::new(id, &Timing::default(), "tier", n as u64)
}

/// Datagram by which member `n` announces itself to `peer`.
fn announcement(n: usize, peer: &Swim) -> Vec<u8> {
    let mut joining = member(n);
    joining.announce(peer.id().addr);
    joining.next_datagram().expect("an announcement").1
}

#[test]
fn the_maximum_of_members_is_admitted_and_one_more_is_dropped() {
    const { assert!(MAX_MEMBERS > FLEET_SIZE) };
    let mut swim = member(0);
    for n in 1..=MAX_MEMBERS {
        let from = swim.receive(&announcement(n, &swim)).expect("an admitted member");
        assert_eq!(from.name, format!("n{n}"));
        // Drain the resulting output, which this test does not check.
        while swim.next_datagram().is_some()
            || swim.next_timer().is_some()
            || swim.next_notification().is_some()
        {}
    }
    assert_eq!(swim.members().count(), MAX_MEMBERS);
    assert_eq!(swim.receive(&announcement(MAX_MEMBERS + 1, &swim)), Err(DropReason::TooManyMembers));
    assert_eq!(swim.members().count(), MAX_MEMBERS);
    for n in [1, MAX_MEMBERS] {
        assert!(swim.receive(&announcement(n, &swim)).is_ok(), "a datagram of a known member is dropped");
    }
    assert_eq!(swim.count().alive as usize, MAX_MEMBERS + 1);
}
