use super::*;

fn request(holder: &str, token: Option<u64>, ttl_ms: Option<u64>) -> LeaseRequest {
    LeaseRequest { duty: "d".into(), holder: holder.into(), token, ttl_ms }
}

#[test]
fn a_duty_has_one_holder_and_every_grant_a_higher_token() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut table = LeaseTable::new([].iter(), 7, start);
    let LeaseDecision { lease: first, change } =
        table.request(&request("a", None, Some(1000)), start).expect("granted");
    assert_eq!((first.token, change), (8, LeaseChange::Write(first.clone())));
    let held = LeaseError::Held { lease: first.clone(), remaining_ms: 1000 };
    assert_eq!(table.request(&request("b", None, Some(1000)), start), Err(held.clone()));
    assert_eq!(table.request(&request("a", None, Some(1000)), start), Err(held), "its own name is no proof");
    for (holder, token) in [("b", 8), ("a", 7), ("a", 9)] {
        assert_eq!(table.request(&request(holder, Some(token), Some(1000)), start), Err(LeaseError::NotHeld));
        assert_eq!(table.request(&request(holder, Some(token), None), start), Err(LeaseError::NotHeld));
    }
    let LeaseDecision { lease: renewed, change } =
        table.request(&request("a", Some(8), Some(1000)), start + ms(900)).expect("renewed");
    assert_eq!((renewed, change), (first, LeaseChange::Unchanged));
    assert!(table.holds("d", 8, start + ms(1899)) && !table.holds("d", 8, start + ms(1900)));
    assert_eq!(table.request(&request("a", Some(8), Some(1000)), start + ms(1900)), Err(LeaseError::NotHeld));
    let LeaseDecision { lease: second, .. } =
        table.request(&request("b", None, Some(1000)), start + ms(1900)).expect("granted");
    assert_eq!(second.token, 9);
    let LeaseDecision { lease: longer, change } =
        table.request(&request("b", Some(9), Some(5000)), start + ms(2000)).expect("renewed");
    assert_eq!((longer.ttl_ms, change), (5000, LeaseChange::Write(longer.clone())), "a new TTL is written");
    table.extend(ms(10_000));
    assert!(table.holds("d", 9, start + ms(16_000)), "longer by a stand-still");
    assert_eq!(
        table.request(&request("b", Some(9), None), start + ms(2100)).expect("released").change,
        LeaseChange::Release("d".into())
    );
    assert_eq!(
        table.request(&request("c", None, Some(1000)), start + ms(2100)).expect("granted").lease.token,
        10
    );
    assert_eq!(table.expire(start + ms(3100)), [LeaseChange::Release("d".into())]);
    assert!(!table.holds("d", 10, start + ms(2200)));
}

#[test]
fn what_cannot_be_written_is_put_back_and_its_token_is_not_used_again() {
    let now = Instant::now();
    let mut table = LeaseTable::new([].iter(), 0, now);
    table.request(&request("a", None, Some(1000)), now).expect("granted");
    table.settle(true);
    table.request(&request("a", Some(1), None), now).expect("released");
    table.request(&request("b", None, Some(1000)), now).expect("granted");
    table.settle(false);
    assert!(table.holds("d", 1, now), "the release was not written");
    table.request(&request("a", Some(1), None), now).expect("released");
    assert_eq!(table.request(&request("c", None, Some(1000)), now).expect("granted").lease.token, 3);
}

#[test]
fn a_flood_of_duties_ends_at_a_bound() {
    let now = Instant::now();
    let mut table = LeaseTable::new([].iter(), 0, now);
    let of = |n: usize| LeaseRequest {
        duty: format!("d{n}"),
        holder: "a".into(),
        token: None,
        ttl_ms: Some(1000),
    };
    assert!((0..MAX_LEASES).all(|n| table.request(&of(n), now).is_ok()));
    assert_eq!(table.request(&of(MAX_LEASES), now), Err(LeaseError::TooMany));
    table.expire(now + Duration::from_secs(1));
    assert!(table.request(&of(MAX_LEASES), now).is_ok());
}

#[test]
fn odd_asks_are_refused_plainly() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    for (holder, token, ttl) in [
        ("", None, Some(1000)),
        (long.as_str(), None, Some(1000)),
        ("a\n", None, Some(1000)),
        ("a", None, None),
        ("a", None, Some(0)),
        ("a", Some(1), Some(31_536_000_000)),
    ] {
        assert!(request(holder, token, ttl).check().is_err(), "{holder:?} {token:?} {ttl:?}");
    }
    assert!(request("a", Some(1), None).check().is_ok());
}
