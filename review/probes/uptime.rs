//! Not a case: a probe of one function. `Clock::instant` gives the time at which an attempt is abandoned. It is compiled
//! here unchanged, on a clock that is set by hand. Exits with 1 if a deadline 2 s ahead lies in the past.

#[path = "../../src/bin/proxy/engine/clock.rs"]
#[allow(dead_code)]
mod clock;

use std::time::Duration;
use tokio::time::{Instant, advance};

fn main() {
    let clock = clock::Clock::new();
    let started = Instant::now();
    let mut broken = false;
    for hours in [0, 23, 25, 48] {
        let up = Instant::now().saturating_duration_since(started);
        advance(Duration::from_secs(hours * 3600) - up);
        let now = Instant::now();
        let deadline = clock.instant(clock.at(now) + 2000.0);
        let (ahead, past) = (deadline.saturating_duration_since(now), now.saturating_duration_since(deadline));
        println!("{hours} hours after the start, a deadline 2 s ahead is taken as {ahead:?} ahead, {past:?} past");
        broken |= ahead < Duration::from_millis(1900);
    }
    std::process::exit(i32::from(broken));
}
