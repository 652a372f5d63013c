//! Unit tests of `src/client/registry/answer_time.rs`, which includes this file as a module.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_time_limit_doubles_with_each_timeout_up_to_its_bound_and_shrinks_with_an_answer() {
    let mut answer_time = AnswerTime::default();
    let mut limits = Vec::new();
    for _ in 0..5 {
        limits.push(answer_time.time_limit().as_secs());
        answer_time.record_timeout();
    }
    assert_eq!(limits, [2, 4, 8, 16, 16]);
    answer_time.record_answer(ms(5), Duration::ZERO);
    assert_eq!(answer_time.time_limit(), MIN_TIME_LIMIT);
}

#[test]
fn the_time_limit_covers_twice_the_lateness_beyond_the_wait() {
    let mut answer_time = AnswerTime::default();
    answer_time.record_answer(ms(8000), ms(5000));
    assert_eq!(answer_time.lateness(), ms(3000));
    assert_eq!(answer_time.time_limit(), ms(6000));
    answer_time.record_answer(ms(4000), ms(5000));
    assert_eq!(answer_time.lateness(), ms(2250), "a prompt answer reduces it by a quarter");
    for _ in 0..40 {
        answer_time.record_answer(ms(1), Duration::ZERO);
    }
    assert!(answer_time.lateness() <= ms(1), "many prompt answers end it");
}
