//! Unit tests of `src/client/discovery/schedule.rs`, which names this file.

use super::*;
use crate::client::registry::EndpointFailover;
use std::net::SocketAddr;
use tokio::time::{Instant, sleep};

const GRACE: Duration = Duration::from_millis(500);
/// A change must be in force after this.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
/// Of that, the time left for the call that brings the change.
const CALL: Duration = Duration::from_secs(2);

fn bounded() -> PollSchedule {
    PollSchedule::new(false, GRACE).with_backoff(PollBackoff::default())
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16))).collect()
}

/// Calls a second that clients make at registries which refuse them, once they have got into their stride.
async fn calls_a_second(schedule: PollSchedule, clients: usize) -> f64 {
    const BEFORE: Duration = Duration::from_secs(20);
    const COUNTED: Duration = Duration::from_secs(100);
    let mut calls = 0;
    for _ in 0..clients {
        let mut failover = EndpointFailover::new("test", addresses(1), schedule.backoff_bounds(1));
        let begun = Instant::now();
        while begun.elapsed() < BEFORE + COUNTED {
            calls += usize::from(begun.elapsed() >= BEFORE);
            let refused = CallError::UnexpectedUpdate;
            let delay = failover.record_failure(&refused);
            sleep(schedule.remaining_delay(delay, &refused, Duration::ZERO)).await;
        }
    }
    calls as f64 / COUNTED.as_secs_f64()
}

#[tokio::test(start_paused = true)]
async fn clients_of_a_registry_that_is_gone_make_a_bounded_number_of_calls() {
    const CLIENTS: usize = 100;
    let free = calls_a_second(PollSchedule::new(false, GRACE), CLIENTS).await;
    let bounded = calls_a_second(bounded(), CLIENTS).await;
    // By the doc comment of `PollBackoff`: a call each 3 s on the mean.
    let expected = CLIENTS as f64 / 3.0;
    assert!(
        (0.9..1.1).contains(&(bounded / expected)),
        "{bounded} calls a second, {expected} by the doc comment"
    );
    assert!(free / bounded > 10.0, "{free} calls a second without a backoff, {bounded} with one");
}

#[test]
fn the_longest_pauses_of_many_clients_are_spread_evenly() {
    const CLIENTS: usize = 8000;
    const PARTS: usize = 8;
    let bounds = bounded().backoff_bounds(1);
    let mut counts = [0; PARTS];
    for _ in 0..CLIENTS {
        let mut backoff = Backoff::new(bounds);
        let delay = std::iter::repeat_with(|| backoff.next_delay()).nth(12).expect("it never ends");
        let part = (delay.as_secs_f64() / bounds.max.as_secs_f64() - 1.0) * PARTS as f64;
        assert!(
            (0.0..=PARTS as f64).contains(&part),
            "{delay:?} is between the longest pause and twice that"
        );
        counts[(part as usize).min(PARTS - 1)] += 1;
    }
    let even = CLIENTS as f64 / PARTS as f64;
    assert!(counts.iter().all(|&n| (0.8..1.2).contains(&(f64::from(n) / even))), "{counts:?}");
}

#[test]
fn a_registry_that_is_back_is_asked_in_time_however_many_there_are() {
    for registries in 1..=crate::client::registry::MAX_REGISTRIES {
        let longest = bounded().backoff_bounds(registries).max * 2;
        let round = longest * registries as u32;
        assert!(
            round + CALL <= IN_FORCE_WITHIN,
            "{registries} registries: {round:?} until the first is asked again"
        );
    }
}

#[test]
fn without_a_backoff_the_pace_is_as_it_was() {
    let ms = Duration::from_millis;
    for registries in [1, 2, 16] {
        assert_eq!(
            PollSchedule::new(false, GRACE).backoff_bounds(registries),
            BackoffBounds { min: ms(33), max: ms(125) }
        );
        assert_eq!(
            PollSchedule::new(true, ms(10_000)).backoff_bounds(registries),
            BackoffBounds { min: ms(33), max: ms(133) }
        );
    }
    for (schedule, interval) in
        [(PollSchedule::new(false, GRACE), ms(200)), (PollSchedule::new(true, GRACE), ms(500))]
    {
        let mut hedges = schedule.hedge_schedule();
        for _ in 0..10 {
            assert_eq!(hedges.next_interval(), interval);
        }
        hedges.reset();
        assert_eq!(hedges.next_interval(), interval);
    }
    let (watched, polled) = (PollSchedule::new(false, GRACE), PollSchedule::new(true, GRACE));
    assert_eq!(watched.remaining_delay(ms(50), &CallError::TimedOut, ms(20)), Duration::ZERO);
    assert_eq!(polled.remaining_delay(ms(50), &CallError::TimedOut, ms(20)), ms(50));
    assert_eq!(watched.remaining_delay(ms(50), &CallError::UnexpectedUpdate, ms(20)), ms(50));
}

#[test]
fn hedges_go_out_less_and_less_often_until_an_answer() {
    let first = WATCH_HEDGE_AFTER;
    let last = Duration::from_secs(2);
    let mut hedges = bounded().hedge_schedule();
    let mut shortest = first;
    for _ in 0..10 {
        let interval = hedges.next_interval();
        assert!(interval >= shortest && interval <= shortest * 2, "{interval:?} from {shortest:?} on");
        shortest = (shortest * 2).min(last);
    }
    hedges.reset();
    assert!(hedges.next_interval() <= first * 2);
}

#[test]
fn a_silent_call_counts_as_a_part_of_the_pause_behind_it() {
    let second = Duration::from_secs(1);
    let schedule = bounded();
    assert_eq!(schedule.remaining_delay(second * 3, &CallError::TimedOut, second), second * 2);
    assert_eq!(schedule.remaining_delay(second, &CallError::TimedOut, second * 2), Duration::ZERO);
    assert_eq!(schedule.remaining_delay(second * 3, &CallError::UnexpectedUpdate, second), second * 3);
}

#[test]
fn a_backoff_out_of_bounds_is_told_by_its_key() {
    assert!(PollBackoff::default().invalid().is_none());
    for max_ms in [0, 99, 60_001] {
        assert!(PollBackoff { max_ms }.invalid().is_some_and(|why| why.starts_with("max_ms: ")));
    }
}
