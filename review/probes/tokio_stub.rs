//! A stand-in for the one type of tokio that `src/bin/proxy/engine/clock.rs` uses: an instant on a clock that the probe
//! sets by hand.
pub mod time {
    use std::cell::Cell;
    use std::ops::Add;
    use std::time::Duration;

    thread_local!(static NOW: Cell<Duration> = const { Cell::new(Duration::from_secs(1_000_000)) });

    #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
    pub struct Instant(Duration);

    impl Instant {
        pub fn now() -> Instant {
            Instant(NOW.get())
        }
        pub fn saturating_duration_since(&self, earlier: Instant) -> Duration {
            self.0.saturating_sub(earlier.0)
        }
    }

    impl Add<Duration> for Instant {
        type Output = Instant;
        fn add(self, duration: Duration) -> Instant {
            Instant(self.0 + duration)
        }
    }

    pub fn advance(by: Duration) {
        NOW.set(NOW.get() + by);
    }
}
