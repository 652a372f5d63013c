//! The subset of backends that an instance calls, and the spread of its calls over them.

use super::{plain, sends_by_backend};
use crate::common::*;
use load_balancer::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Every backend is in the subset of an instance, and at low load no instance calls the full tier.
#[test]
fn subsets_cover_the_tier() {
    for (instances, n) in [(10, 60), (40, 100), (3, 30)] {
        let mut called_by: BTreeMap<BackendId, usize> = BTreeMap::new();
        for instance in 0..instances {
            let mut p = Proxy::new(Settings { instance_index: instance, ..plain(instances) }, 1, entries(n));
            for _ in 0..400 {
                let id = p.request(0, 0, 1e5);
                p.advance(p.now + 5.0);
                p.resolve(id, 0, Outcome::Ok);
            }
            let sends = sends_by_backend(&p);
            assert!(
                instances < 4 || sends.len() * 2 < n as usize,
                "instance {instance} of {instances} called {} backends",
                sends.len()
            );
            sends.keys().for_each(|&b| *called_by.entry(b).or_default() += 1);
        }
        assert_eq!(called_by.len(), n as usize, "backends outside of all subsets of {instances} instances");
    }
}

#[test]
fn subset_widens_with_load_and_narrows_slowly() {
    let backends_called = |p: &mut Proxy, ms: f64| {
        let mut called = BTreeSet::new();
        for _ in 0..(ms / 50.0) as usize {
            p.request(0, 0, 1e5);
            called.extend(p.in_flight().iter().map(|s| s.2.backend));
            p.advance(p.now + 50.0);
            p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
            p.drop_finished();
        }
        called.len()
    };
    let mut p = Proxy::new(plain(40), 1, entries(80));
    let at_low_load = backends_called(&mut p, 20_000.0);
    p.serve(6000.0, 6, 0, 200.0);
    let after = backends_called(&mut p, 10_000.0);
    assert!(after > 2 * at_low_load, "{at_low_load} backends at low load, {after} after the peak");
    backends_called(&mut p, 120_000.0);
    let later = backends_called(&mut p, 20_000.0);
    assert!(later < after, "{after} backends after the peak, {later} two minutes later");
}

#[test]
fn faster_backends_get_more_calls() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let mut sends: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..4000 {
        p.request(0, 0, 1e5);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            let slow = s.backend <= 5;
            if p.now - s.sent_at >= if slow { 120.0 } else { 40.0 } {
                *sends.entry(slow).or_default() += 1;
                p.resolve(id, n, Outcome::Ok);
            }
        }
        p.drop_finished();
    }
    assert!(sends[&false] > 2 * sends[&true], "calls by whether the backend is slow: {sends:?}");
}
