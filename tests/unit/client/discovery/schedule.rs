//! Unit tests of `src/client/discovery/schedule.rs`, which includes this file as a module.

use super::*;
use crate::client::registry::EndpointFailover;
use std::net::SocketAddr;
use tokio::time::{Instant, sleep};

/// Drain grace of the schedules in these tests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time within which a change must be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);
/// Part of [`IN_FORCE_WITHIN`] that is reserved for the call that delivers the change.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Returns a schedule with the default [`PollBackoff`].
fn schedule_with_backoff() -> PollSchedule {
    PollSchedule::new(false, DRAIN_GRACE).with_backoff(PollBackoff::default())
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16))).collect()
}

/// Returns the calls per second that clients make to registries that refuse them, once their delays have stopped
/// growing.
async fn calls_per_second(schedule: PollSchedule, clients: usize) -> f64 {
    const WARM_UP: Duration = Duration::from_secs(20);
    const MEASURED: Duration = Duration::from_secs(100);
    let mut calls = 0;
    for _ in 0..clients {
        let mut failover = EndpointFailover::new("test", addresses(1), schedule.backoff_bounds(1));
        let started = Instant::now();
        while started.elapsed() < WARM_UP + MEASURED {
            calls += usize::from(started.elapsed() >= WARM_UP);
            let refused = CallError::UnexpectedUpdate;
            let delay = failover.record_failure(&refused);
            sleep(schedule.remaining_delay(delay, &refused, Duration::ZERO)).await;
        }
    }
    calls as f64 / MEASURED.as_secs_f64()
}

#[tokio::test(start_paused = true)]
async fn the_call_rate_at_an_unreachable_registry_is_bounded() {
    const CLIENTS: usize = 100;
    let without_backoff = calls_per_second(PollSchedule::new(false, DRAIN_GRACE), CLIENTS).await;
    let with_backoff = calls_per_second(schedule_with_backoff(), CLIENTS).await;
    // The doc comment of `PollBackoff` states a mean of one call every 3 s.
    let expected = CLIENTS as f64 / 3.0;
    assert!(
        (0.9..1.1).contains(&(with_backoff / expected)),
        "{with_backoff} calls per second, {expected} by the doc comment"
    );
    assert!(
        without_backoff / with_backoff > 10.0,
        "{without_backoff} calls per second without a backoff, {with_backoff} with one"
    );
}

#[test]
fn the_longest_delays_of_many_clients_are_uniformly_distributed() {
    const CLIENTS: usize = 8000;
    const BUCKETS: usize = 8;
    let bounds = schedule_with_backoff().backoff_bounds(1);
    let mut counts = [0; BUCKETS];
    for _ in 0..CLIENTS {
        let mut backoff = Backoff::new(bounds);
        let delay = std::iter::repeat_with(|| backoff.next_delay()).nth(12).expect("the delays never end");
        let position = (delay.as_secs_f64() / bounds.max.as_secs_f64() - 1.0) * BUCKETS as f64;
        assert!(
            (0.0..=BUCKETS as f64).contains(&position),
            "{delay:?} is not between the longest delay and twice that"
        );
        counts[(position as usize).min(BUCKETS - 1)] += 1;
    }
    let expected = CLIENTS as f64 / BUCKETS as f64;
    assert!(counts.iter().all(|&n| (0.8..1.2).contains(&(f64::from(n) / expected))), "{counts:?}");
}

#[test]
fn a_registry_that_is_back_is_called_in_time_whatever_the_number_of_registries() {
    for registries in 1..=crate::client::registry::MAX_REGISTRIES {
        let longest_delay = schedule_with_backoff().backoff_bounds(registries).max * 2;
        let round = longest_delay * registries as u32;
        assert!(
            round + CALL_TIME <= IN_FORCE_WITHIN,
            "{registries} registries: {round:?} until the first is called again"
        );
    }
}

#[test]
fn without_a_backoff_delays_and_hedge_intervals_do_not_grow() {
    let ms = Duration::from_millis;
    for registries in [1, 2, 16] {
        assert_eq!(
            PollSchedule::new(false, DRAIN_GRACE).backoff_bounds(registries),
            BackoffBounds { min: ms(33), max: ms(125) }
        );
        assert_eq!(
            PollSchedule::new(true, ms(10_000)).backoff_bounds(registries),
            BackoffBounds { min: ms(33), max: ms(133) }
        );
    }
    for (schedule, interval) in
        [(PollSchedule::new(false, DRAIN_GRACE), ms(200)), (PollSchedule::new(true, DRAIN_GRACE), ms(500))]
    {
        let mut hedges = schedule.hedge_schedule();
        for _ in 0..10 {
            assert_eq!(hedges.next_interval(), interval);
        }
        hedges.reset();
        assert_eq!(hedges.next_interval(), interval);
    }
    let (watched, polled) = (PollSchedule::new(false, DRAIN_GRACE), PollSchedule::new(true, DRAIN_GRACE));
    assert_eq!(watched.remaining_delay(ms(50), &CallError::TimedOut, ms(20)), Duration::ZERO);
    assert_eq!(polled.remaining_delay(ms(50), &CallError::TimedOut, ms(20)), ms(50));
    assert_eq!(watched.remaining_delay(ms(50), &CallError::UnexpectedUpdate, ms(20)), ms(50));
}

#[test]
fn hedge_intervals_double_until_an_answer() {
    let min = WATCH_HEDGE_AFTER;
    let max = Duration::from_secs(2);
    let mut hedges = schedule_with_backoff().hedge_schedule();
    let mut lower_bound = min;
    for _ in 0..10 {
        let interval = hedges.next_interval();
        assert!(
            interval >= lower_bound && interval <= lower_bound * 2,
            "{interval:?}, bound {lower_bound:?}"
        );
        lower_bound = (lower_bound * 2).min(max);
    }
    hedges.reset();
    assert!(hedges.next_interval() <= min * 2);
}

#[test]
fn the_time_of_a_call_that_timed_out_is_subtracted_from_the_delay() {
    let second = Duration::from_secs(1);
    let schedule = schedule_with_backoff();
    assert_eq!(schedule.remaining_delay(second * 3, &CallError::TimedOut, second), second * 2);
    assert_eq!(schedule.remaining_delay(second, &CallError::TimedOut, second * 2), Duration::ZERO);
    assert_eq!(schedule.remaining_delay(second * 3, &CallError::UnexpectedUpdate, second), second * 3);
}

#[test]
fn a_backoff_out_of_bounds_is_reported_with_its_key() {
    assert!(PollBackoff::default().invalid().is_none());
    for max_ms in [0, 99, 60_001] {
        assert!(PollBackoff { max_ms }.invalid().is_some_and(|why| why.starts_with("max_ms: ")));
    }
}
