//! When the first, the middle one, 99 in 100 and the last had something.

/// Times after a moment, ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The first.
    pub first: f64,
    /// The middle one.
    pub median: f64,
    /// 99 in 100 had it by then.
    pub most: f64,
    /// The last.
    pub last: f64,
}

impl Spread {
    /// Of Unix times in microseconds, after such a time; all 0 if there are none.
    pub fn after(from_us: u64, mut times: Vec<u64>) -> Spread {
        times.sort_unstable();
        let Some(end) = times.len().checked_sub(1) else { return Spread::default() };
        let at = |part: f64| times[((end as f64 * part).ceil() as usize).min(end)];
        let ms = |time: u64| time.saturating_sub(from_us) as f64 / 1000.0;
        Spread { first: ms(times[0]), median: ms(at(0.5)), most: ms(at(0.99)), last: ms(times[end]) }
    }

    /// The mean of several.
    pub fn mean(all: &[Spread]) -> Spread {
        let of = |what: fn(&Spread) -> f64| all.iter().map(what).sum::<f64>() / all.len().max(1) as f64;
        Spread {
            first: of(|s| s.first),
            median: of(|s| s.median),
            most: of(|s| s.most),
            last: of(|s| s.last),
        }
    }
}
