//! Endpoint lists: failed list requests, and suspected removals.

use super::{fill, plain};
use crate::common::*;
use load_balancer::Balancer;
use load_balancer::interface::*;
use std::collections::BTreeSet;

/// Failed list requests are retried with backoff, and not by all instances at the same time.
#[test]
fn failed_list_requests_are_retried_with_jitter() {
    let watch_times = |seed| {
        let mut p = Proxy::new(Settings { must_subscribe: true, ..plain(4) }, seed, entries(6));
        let mut failed = 0;
        for _ in 0..100_000 {
            p.advance(p.now + 5.0);
            if p.watches.len() > failed {
                failed += 1;
                p.list(ListKind::Failed, vec![]);
            }
        }
        assert!(p.watches.len() > 6, "no further retries after {:?}", p.watches);
        p.watches
    };
    let (a, b) = (watch_times(1), watch_times(2));
    assert!(a[0] - 1000.0 < 10_000.0, "the first watch must come within the maximum silence");
    assert!(a[5] - a[4] > a[1] - a[0], "no backoff: {a:?}");
    assert!(
        a.iter().zip(&b).all(|(x, y)| (x - y).abs() > 1.0),
        "no jitter, two instances retry at the same time: {a:?} {b:?}"
    );
}

fn guarded() -> Settings {
    Settings { list_guard: ListGuard { panic_threshold: 0.1, confirm_after_ms: 30_000.0 }, ..plain(1) }
}

/// The backends called in three rounds; a single round may miss one by chance.
fn reached(p: &mut Proxy) -> BTreeSet<BackendId> {
    let mut reached = BTreeSet::new();
    for _ in 0..3 {
        p.serve(2000.0, 1, 0, 5.0);
        fill(p, 0, 0, 400);
        reached.extend(p.in_flight().iter().map(|(_, _, s)| s.backend));
        p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
        p.drop_finished();
    }
    reached
}

#[test]
fn removal_of_nearly_all_takes_effect_only_after_the_confirmation_time() {
    for kept in [0, 1] {
        let mut p = Proxy::new(guarded(), 1, entries(10));
        let removed_at = p.now;
        p.list(ListKind::Full, entries(kept));
        assert_eq!(p.balancer.census().unlisted, 10 - kept as usize);
        assert_eq!(reached(&mut p).len(), 10, "suspected removals must stay in service");
        p.advance(removed_at + 29_000.0);
        p.list(ListKind::Full, entries(kept));
        assert!(p.withdrawn.is_empty(), "withdrawn before the confirmation time was over");
        p.advance(removed_at + 61_000.0);
        let resyncs = p.resyncs.clone();
        assert!(
            (2..=4).contains(&resyncs.len()),
            "a resync is due every half to one confirmation time: {resyncs:?}"
        );
        assert!(resyncs[0] >= removed_at + 15_000.0 && resyncs[0] <= removed_at + 30_100.0, "{resyncs:?}");
        p.list(ListKind::Full, entries(kept));
        assert_eq!(p.withdrawn.len(), 10 - kept as usize);
        assert_eq!(p.balancer.census(), Census { listed: kept as usize, excluded: 0, unlisted: 0 });
        p.advance(p.now + 61_000.0);
        assert_eq!(p.resyncs, resyncs, "resync requested although nothing is suspected");
    }
}

#[test]
fn a_complete_list_ends_the_suspicion_and_new_entries_are_used_at_once() {
    let mut p = Proxy::new(guarded(), 1, entries(10));
    p.list(ListKind::Full, vec![entry(77)]);
    assert!(reached(&mut p).contains(&77), "a new entry must be used at once");
    p.list(ListKind::Delta, entries(4));
    assert_eq!(p.balancer.census().unlisted, 6);
    // The second list is not suspicious by itself, but the removals stay suspected until the confirmation
    // time is over.
    p.list(ListKind::Full, entries(4));
    assert_eq!((p.withdrawn.clone(), p.balancer.census().unlisted), (vec![77], 6));
    p.list(ListKind::Full, entries(10));
    assert_eq!(p.balancer.census(), Census { listed: 10, excluded: 0, unlisted: 0 });
    p.advance(p.now + 61_000.0);
    assert!(p.resyncs.is_empty(), "resync requested although nothing is suspected");
}

#[test]
fn removals_in_one_delta_are_suspected_like_those_in_a_full_list() {
    let mut p = Proxy::new(guarded(), 1, entries(10));
    let gone = |mut e: Entry| {
        e.phase = Phase::Gone;
        e
    };
    p.list(ListKind::Delta, entries(10).into_iter().map(gone).collect());
    assert_eq!(reached(&mut p).len(), 10);
    p.advance(p.now + 31_000.0);
    assert!(!p.resyncs.is_empty() && p.withdrawn.is_empty(), "a delta must not confirm a removal");
    p.list(ListKind::Full, Vec::new());
    assert_eq!(p.withdrawn.len(), 10);
}

#[test]
fn an_unlisted_backend_that_refuses_connections_is_withdrawn_at_once() {
    let mut p = Proxy::new(guarded(), 1, entries(10));
    p.list(ListKind::Full, Vec::new());
    for _ in 0..100 {
        fill(&mut p, 0, 0, 5);
        for (id, n, s) in p.in_flight() {
            let unreachable = s.backend <= 7;
            p.resolve(id, n, if unreachable { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        p.advance(p.now + 50.0);
        p.drop_finished();
    }
    let withdrawn: BTreeSet<_> = p.withdrawn.iter().copied().collect();
    assert_eq!(
        withdrawn,
        (1..=7).collect(),
        "seven in ten must be withdrawn, although ejection alone never excludes so many"
    );
    let reached = reached(&mut p);
    assert!(!reached.is_empty() && reached.iter().all(|b| *b > 7), "{reached:?}");
}

#[test]
fn ordinary_removals_and_unguarded_ones_take_effect_at_once() {
    let mut p = Proxy::new(guarded(), 1, entries(10));
    p.list(ListKind::Full, entries(2));
    assert_eq!(p.withdrawn, (3..=10).collect::<Vec<_>>(), "removal of eight in ten is not suspected");
    let draining = |mut e: Entry| {
        e.phase = Phase::Draining;
        e
    };
    p.list(ListKind::Delta, entries(2).into_iter().map(draining).collect());
    assert_eq!(p.withdrawn.len(), 10, "draining must take effect without confirmation");
    let mut p = Proxy::new(plain(1), 1, entries(10));
    p.list(ListKind::Full, Vec::new());
    assert_eq!((p.withdrawn.len(), p.balancer.census()), (10, Census::default()));
    assert!(
        Balancer::new(
            Settings { list_guard: ListGuard { panic_threshold: 1.1, confirm_after_ms: 1.0 }, ..plain(1) },
            1
        )
        .is_err()
    );
}
