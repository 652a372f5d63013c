//! Tests of the balancer's decisions, one module for each part. Each test fails without the rule that it
//! names.

mod admission;
mod bodies;
#[path = "../common/mod.rs"]
mod common;
mod connections;
mod ejection;
mod limit;
mod lists;
mod peers;
mod settings;
mod subsets;
mod zones;

use crate::common::*;
use load_balancer::interface::*;
use std::collections::BTreeMap;

/// The settings of an instance with one class of idempotent requests.
fn plain(instances: u32) -> Settings {
    settings(instances, vec![class(1000.0, 1.0, Idempotency::Idempotent)])
}

/// Delivers requests and returns the number of attempts then in flight: the limit, if it is below the
/// arrivals.
fn fill(p: &mut Proxy, class: usize, tenant: u16, arrivals: usize) -> usize {
    (0..arrivals).for_each(|_| {
        p.request(class, tenant, 1e5);
    });
    p.in_flight().len()
}

fn sends_by_backend(p: &Proxy) -> BTreeMap<BackendId, usize> {
    let mut sends = BTreeMap::new();
    p.requests.values().flat_map(|a| &a.sends).for_each(|s| *sends.entry(s.backend).or_default() += 1);
    sends
}

/// Sends a request every 5 ms for `ms` and returns the calls by backend; `outcome_of` gives the outcome of a
/// call, if it ends now.
fn run(
    p: &mut Proxy,
    ms: f64,
    outcome_of: impl Fn(&Sent, f64) -> Option<Outcome>,
) -> BTreeMap<BackendId, usize> {
    let (end, mut sends) = (p.now + ms, BTreeMap::new());
    while p.now < end {
        p.request(0, 0, 4000.0);
        let at = p.now;
        p.advance(at + 5.0);
        for (id, n, s) in p.in_flight() {
            if s.sent_at >= at {
                *sends.entry(s.backend).or_default() += 1;
            }
            if let Some(outcome) = outcome_of(&s, p.now) {
                p.resolve(id, n, outcome);
            }
        }
        p.drop_finished();
    }
    sends
}

/// The outcome of a call to a healthy backend, which responds after 50 ms.
fn healthy(s: &Sent, now: f64) -> Option<Outcome> {
    (now - s.sent_at >= 50.0).then_some(Outcome::Ok)
}
