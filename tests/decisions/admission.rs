//! Admission, queueing and shedding by priority, tenant and slice.

use super::{fill, plain};
use crate::common::*;
use load_balancer::interface::*;

#[test]
fn low_priority_is_shed_first_and_its_slice_keeps_its_share() {
    let classes =
        vec![class(1000.0, 9.0, Idempotency::Idempotent), class(1000.0, 1.0, Idempotency::Idempotent)];
    let mut p = Proxy::new(settings(1, classes), 1, entries(10));
    let total = fill(&mut p, 1, 0, 400);
    let high = fill(&mut p, 0, 0, 400) - total;
    // Past the total limit, the slice of share 0.9 still fills up to its own limit; the slice of 0.1 is
    // admitted no more.
    assert_eq!(high, (total as f64 * 0.9).ceil() as usize);
    assert_eq!(fill(&mut p, 1, 0, 50), total + high);
    // When all calls have ended, the low slice keeps one slot, its share, under an overload of the high one.
    p.advance(p.now + 1000.0);
    p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
    p.drop_finished();
    let high = fill(&mut p, 0, 0, 400);
    assert_eq!(fill(&mut p, 1, 0, 400) - high, (high as f64 * 0.1).ceil() as usize);
}

/// Requests over quota get a lower priority instead of a rejection: they are served from spare capacity.
#[test]
fn a_tenant_over_quota_is_served_from_spare_capacity() {
    let mut s = plain(1);
    s.tenants = vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 10.0 }];
    let mut p = Proxy::new(s.clone(), 1, entries(10));
    let total = fill(&mut p, 0, 0, 400);
    assert!(total >= 20, "spare capacity is used: {total}");
    assert_eq!(fill(&mut p, 0, 1, 9), total + 9, "another tenant within its quota is still admitted");
    // Behind the first tier a request has already caused work, so its priority is not lowered.
    s.tier = 1;
    let mut p = Proxy::new(s, 1, entries(10));
    let behind_first_tier = fill(&mut p, 0, 0, 400);
    assert_eq!(fill(&mut p, 0, 1, 9), behind_first_tier);
}

#[test]
fn queued_requests_are_sent_by_priority_and_rejected_in_time() {
    let classes =
        vec![class(1000.0, 9.0, Idempotency::NonIdempotent), class(1000.0, 1.0, Idempotency::NonIdempotent)];
    let mut p = Proxy::new(settings(1, classes), 1, entries(5));
    let in_flight = fill(&mut p, 1, 0, 14); // the low slice fills the limit and queues four requests
    let low: Vec<_> = p.requests.iter().filter(|(_, a)| a.sends.is_empty()).map(|(&id, _)| id).collect();
    assert_eq!((in_flight, low.len()), (10, 4));
    fill(&mut p, 0, 0, 10); // the high slice fills its own share past the total
    let high = *p
        .requests
        .iter()
        .find(|(_, a)| a.class == 0 && a.sends.is_empty())
        .expect("a request of the high slice is queued")
        .0;
    p.advance(p.now + 20.0);
    let (id, n, _) = p.in_flight().pop().expect("the last call sent is of the high slice");
    p.resolve(id, n, Outcome::Ok);
    assert_eq!(p.requests[&high].sends.len(), 1, "the first slot goes to the highest priority");
    assert!(
        low.iter().all(|id| p.requests[id].sends.is_empty()),
        "requests of lower priority stay queued although they arrived first"
    );
    p.advance(p.now + 300.0);
    assert!(
        low.iter().all(|id| p.requests[id].ended.is_some_and(|e| e.1 == RequestEnd::Rejected)),
        "low-priority requests stayed queued past their queue deadline"
    );
}

/// Two classes of one priority share a slice: in a full queue, the class with the longer latency objective
/// must not displace the other.
#[test]
fn a_longer_objective_takes_no_more_of_a_shared_slice() {
    let classes =
        vec![class(1000.0, 1.0, Idempotency::NonIdempotent), class(3000.0, 1.0, Idempotency::NonIdempotent)];
    let mut p = Proxy::new(settings(1, classes), 1, entries(5));
    let mut served = [0, 0];
    for round in 0..4000 {
        p.request(round % 2, 0, 1e5);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            if p.now - s.sent_at >= 500.0 {
                served[p.requests[&id].class] += 1;
                p.resolve(id, n, Outcome::Ok);
            }
        }
        p.drop_finished();
    }
    assert!(served[1] * 4 < served[0] * 5 && served[0] * 4 < served[1] * 5, "served by class: {served:?}");
}

/// Under overload, requests over their tenant's quota have no share of the limit but one slot.
#[test]
fn requests_over_quota_keep_one_slot() {
    let mut s = plain(1);
    s.over_quota_weight = 0.3;
    s.tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut p = Proxy::new(s, 1, entries(10));
    let within = fill(&mut p, 0, 1, 400);
    let over_quota = fill(&mut p, 0, 0, 100) - within;
    assert_eq!(over_quota, 1, "beside {within} calls within quota");
}
