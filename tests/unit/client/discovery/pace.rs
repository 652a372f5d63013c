//! Unit tests of `src/client/discovery/pace.rs`, which names this file.

use super::*;
use crate::client::registry::Rotation;
use std::net::SocketAddr;
use tokio::time::{Instant, sleep};

const GRACE: Duration = Duration::from_millis(500);
/// News counts as told after this.
const TOLD: Duration = Duration::from_secs(6);
/// Left of it for the call that brings the news.
const CALL: Duration = Duration::from_secs(2);

fn bounded() -> Pace {
    Pace::new(false, GRACE).with_backoff(Backoff::default())
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16))).collect()
}

/// Calls a second that clients make at registries which refuse them, once they have got into their stride.
async fn calls_a_second(pace: Pace, clients: usize) -> f64 {
    const BEFORE: Duration = Duration::from_secs(20);
    const COUNTED: Duration = Duration::from_secs(100);
    let mut calls = 0;
    for _ in 0..clients {
        let mut rotation = Rotation::new("test", addresses(1), pace.pauses(1));
        let begun = Instant::now();
        while begun.elapsed() < BEFORE + COUNTED {
            calls += usize::from(begun.elapsed() >= BEFORE);
            sleep(pace.rest(rotation.failed(&Fault::Changes), &Fault::Changes, Duration::ZERO)).await;
        }
    }
    calls as f64 / COUNTED.as_secs_f64()
}

#[tokio::test(start_paused = true)]
async fn clients_of_a_registry_that_is_gone_make_a_bounded_number_of_calls() {
    const CLIENTS: usize = 100;
    let free = calls_a_second(Pace::new(false, GRACE), CLIENTS).await;
    let bounded = calls_a_second(bounded(), CLIENTS).await;
    // By the doc comment of `Backoff`: a call each 3 s on the mean.
    let told = CLIENTS as f64 / 3.0;
    assert!((0.9..1.1).contains(&(bounded / told)), "{bounded} calls a second, {told} by the page");
    assert!(free / bounded > 10.0, "{free} calls a second without a backoff, {bounded} with one");
}

#[test]
fn the_longest_pauses_of_many_clients_are_spread_evenly() {
    const CLIENTS: usize = 8000;
    const PARTS: usize = 8;
    let bounds = bounded().pauses(1);
    let mut counts = [0; PARTS];
    for _ in 0..CLIENTS {
        let mut pauses = Pauses::new(bounds);
        let pause = std::iter::repeat_with(|| pauses.next_pause()).nth(12).expect("it never ends");
        let place = (pause.as_secs_f64() / bounds[1].as_secs_f64() - 1.0) * PARTS as f64;
        assert!(
            (0.0..=PARTS as f64).contains(&place),
            "{pause:?} is between the longest pause and twice that"
        );
        counts[(place as usize).min(PARTS - 1)] += 1;
    }
    let even = CLIENTS as f64 / PARTS as f64;
    assert!(counts.iter().all(|&n| (0.8..1.2).contains(&(f64::from(n) / even))), "{counts:?}");
}

#[test]
fn a_registry_that_is_back_is_asked_in_time_however_many_there_are() {
    for registries in 1..=crate::client::registry::MAX_REGISTRIES {
        let longest = bounded().pauses(registries)[1] * 2;
        let round = longest * registries as u32;
        assert!(round + CALL <= TOLD, "{registries} registries: {round:?} until the first is asked again");
    }
}

#[test]
fn without_a_backoff_the_pace_is_as_it_was() {
    let ms = Duration::from_millis;
    for registries in [1, 2, 16] {
        assert_eq!(Pace::new(false, GRACE).pauses(registries), [ms(33), ms(125)]);
        assert_eq!(Pace::new(true, ms(10_000)).pauses(registries), [ms(33), ms(133)]);
    }
    for (pace, interval) in [(Pace::new(false, GRACE), ms(200)), (Pace::new(true, GRACE), ms(500))] {
        let mut hedges = pace.hedges();
        for _ in 0..10 {
            assert_eq!(hedges.next_interval(), interval);
        }
        hedges.answered();
        assert_eq!(hedges.next_interval(), interval);
    }
    let (pushed, asked) = (Pace::new(false, GRACE), Pace::new(true, GRACE));
    assert_eq!(pushed.rest(ms(50), &Fault::Silent, ms(20)), Duration::ZERO);
    assert_eq!(asked.rest(ms(50), &Fault::Silent, ms(20)), ms(50));
    assert_eq!(pushed.rest(ms(50), &Fault::Changes, ms(20)), ms(50));
}

#[test]
fn hedges_go_out_less_and_less_often_until_an_answer() {
    let [first, last] = [HEDGE_AFTER, Duration::from_secs(2)];
    let mut hedges = bounded().hedges();
    let mut least = first;
    for _ in 0..10 {
        let interval = hedges.next_interval();
        assert!(interval >= least && interval <= least * 2, "{interval:?} from {least:?} on");
        least = (least * 2).min(last);
    }
    hedges.answered();
    assert!(hedges.next_interval() <= first * 2);
}

#[test]
fn a_silent_call_counts_as_a_part_of_the_pause_behind_it() {
    let second = Duration::from_secs(1);
    let pace = bounded();
    assert_eq!(pace.rest(second * 3, &Fault::Silent, second), second * 2);
    assert_eq!(pace.rest(second, &Fault::Silent, second * 2), Duration::ZERO);
    assert_eq!(pace.rest(second * 3, &Fault::Changes, second), second * 3);
}

#[test]
fn a_backoff_out_of_bounds_is_told_by_its_key() {
    assert!(Backoff::default().invalid().is_none());
    for max_ms in [0, 99, 60_001] {
        assert!(Backoff { max_ms }.invalid().is_some_and(|why| why.starts_with("max_ms: ")));
    }
}
