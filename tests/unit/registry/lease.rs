//! Unit tests of `src/bin/registry/lease/mod.rs`, which includes this file as its module `tests`.

use super::*;

fn request(holder: &str, token: Option<u64>, ttl_ms: Option<u64>) -> LeaseRequest {
    LeaseRequest { duty: "d".into(), holder: holder.into(), token, ttl_ms }
}

#[test]
fn a_duty_has_one_holder_and_every_grant_a_higher_token() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut table = LeaseTable::new([].iter(), 7, start);
    let LeaseDecision { lease: first, change } =
        table.request(&request("a", None, Some(1000)), start).expect("the free duty is granted");
    assert_eq!((first.token, change), (8, LeaseChange::Write(first.clone())));
    let held = LeaseError::Held { lease: first.clone(), remaining_ms: 1000 };
    assert_eq!(table.request(&request("b", None, Some(1000)), start), Err(held.clone()));
    assert_eq!(
        table.request(&request("a", None, Some(1000)), start),
        Err(held),
        "the holder's name without its token does not renew"
    );
    for (holder, token) in [("b", 8), ("a", 7), ("a", 9)] {
        assert_eq!(table.request(&request(holder, Some(token), Some(1000)), start), Err(LeaseError::NotHeld));
        assert_eq!(table.request(&request(holder, Some(token), None), start), Err(LeaseError::NotHeld));
    }
    let LeaseDecision { lease: renewed, change } =
        table.request(&request("a", Some(8), Some(1000)), start + ms(900)).expect("the holder renews");
    assert_eq!((renewed, change), (first, LeaseChange::Unchanged));
    assert!(table.holds("d", 8, start + ms(1899)) && !table.holds("d", 8, start + ms(1900)));
    assert_eq!(table.request(&request("a", Some(8), Some(1000)), start + ms(1900)), Err(LeaseError::NotHeld));
    let LeaseDecision { lease: second, .. } = table
        .request(&request("b", None, Some(1000)), start + ms(1900))
        .expect("the duty is granted after the expiry");
    assert_eq!(second.token, 9);
    let LeaseDecision { lease: longer, change } =
        table.request(&request("b", Some(9), Some(5000)), start + ms(2000)).expect("the holder renews");
    assert_eq!((longer.ttl_ms, change), (5000, LeaseChange::Write(longer.clone())), "a new TTL is written");
    table.extend(ms(10_000));
    assert!(table.holds("d", 9, start + ms(16_000)), "a stall extends the lease by its duration");
    assert_eq!(
        table.request(&request("b", Some(9), None), start + ms(2100)).expect("the holder releases").change,
        LeaseChange::Release("d".into())
    );
    assert_eq!(
        table
            .request(&request("c", None, Some(1000)), start + ms(2100))
            .expect("the duty is granted after the release")
            .lease
            .token,
        10
    );
    assert_eq!(table.expire(start + ms(3100)), [LeaseChange::Release("d".into())]);
    assert!(!table.holds("d", 10, start + ms(2200)));
}

#[test]
fn decisions_that_are_not_written_are_undone_and_their_tokens_are_not_granted_again() {
    let now = Instant::now();
    let mut table = LeaseTable::new([].iter(), 0, now);
    table.request(&request("a", None, Some(1000)), now).expect("the free duty is granted");
    table.finish_batch(true);
    table.request(&request("a", Some(1), None), now).expect("the holder releases");
    table.request(&request("b", None, Some(1000)), now).expect("the released duty is granted");
    table.finish_batch(false);
    assert!(table.holds("d", 1, now), "the release was not written");
    table.request(&request("a", Some(1), None), now).expect("the holder releases");
    let decision = table.request(&request("c", None, Some(1000)), now).expect("the released duty is granted");
    assert_eq!(decision.lease.token, 3);
}

#[test]
fn the_number_of_held_duties_is_bounded() {
    let now = Instant::now();
    let mut table = LeaseTable::new([].iter(), 0, now);
    let request_for = |n: usize| LeaseRequest {
        duty: format!("d{n}"),
        holder: "a".into(),
        token: None,
        ttl_ms: Some(1000),
    };
    assert!((0..MAX_LEASES).all(|n| table.request(&request_for(n), now).is_ok()));
    assert_eq!(table.request(&request_for(MAX_LEASES), now), Err(LeaseError::TooMany));
    table.expire(now + Duration::from_secs(1));
    assert!(table.request(&request_for(MAX_LEASES), now).is_ok());
}

#[test]
fn malformed_lease_requests_are_rejected() {
    let too_long = "x".repeat(MAX_NAME_BYTES + 1);
    for (holder, token, ttl) in [
        ("", None, Some(1000)),
        (too_long.as_str(), None, Some(1000)),
        ("a\n", None, Some(1000)),
        ("a", None, None),
        ("a", None, Some(0)),
        ("a", Some(1), Some(31_536_000_000)),
    ] {
        assert!(request(holder, token, ttl).check().is_err(), "{holder:?} {token:?} {ttl:?}");
    }
    assert!(request("a", Some(1), None).check().is_ok());
}
