//! What a replay, or the records themselves, come to.

use super::Ending;
use super::recorded_traffic::RecordedTraffic;

/// The figures of one run, without its warm-up.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Tally {
    warm: f64,
    pub calls: Vec<f64>,
    pub peaks: Vec<f64>,
    pub crossings: f64,
    /// Calls, whatever they stand for.
    pub counted: u64,
    pub classes: Vec<OfClass>,
    /// All requests, the warm-up's included.
    pub requests: u64,
}

/// Of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct OfClass {
    served: Vec<f32>,
    pub refused: u64,
    pub failed: u64,
    pub all: u64,
}

impl Tally {
    pub fn new(backends: usize, classes: usize, warm: f64) -> Tally {
        Tally {
            warm,
            calls: vec![0.0; backends],
            peaks: vec![0.0; backends],
            crossings: 0.0,
            counted: 0,
            classes: vec![OfClass::default(); classes],
            requests: 0,
        }
    }

    /// What was recorded. Peaks are the model's to say.
    pub fn recorded(r: &RecordedTraffic, warm: f64) -> Tally {
        let mut tally = Tally::new(r.backends.len(), r.classes.len(), warm);
        for c in &r.calls {
            let zone = &r.proxies[c.proxy as usize].zone;
            tally.call(
                c.at_ms,
                c.backend,
                0.0,
                *zone != r.backends[c.backend as usize].zone,
                r.proxies[c.proxy as usize].scale,
            );
        }
        r.requests.iter().for_each(|q| tally.request(q.at_ms, q.class, q.ending, q.took_ms));
        tally.sort();
        tally
    }

    /// A call that stands for `weight` was sent with so many in flight.
    pub fn call(&mut self, at: f64, backend: u32, flight: f64, crosses: bool, weight: f64) {
        if at >= self.warm {
            let b = backend as usize;
            self.calls[b] += weight;
            self.counted += 1;
            self.peaks[b] = self.peaks[b].max(flight);
            self.crossings += if crosses { weight } else { 0.0 };
        }
    }

    /// A request that arrived then has ended.
    pub fn request(&mut self, arrived: f64, class: u16, ending: Ending, took: f64) {
        self.requests += 1;
        if arrived < self.warm {
            return;
        }
        let c = &mut self.classes[usize::from(class)];
        c.all += 1;
        match ending {
            Ending::Served => c.served.push(took as f32),
            Ending::Refused => c.refused += 1,
            Ending::Failed => c.failed += 1,
            Ending::Left => {}
        }
    }

    /// To be called once, before quantiles are asked for.
    pub fn sort(&mut self) {
        self.classes.iter_mut().for_each(|c| c.served.sort_unstable_by(f32::total_cmp));
    }

    /// Of all calls, the part that a backend got.
    pub fn share(&self, backend: usize) -> f64 {
        self.calls[backend] / self.all_calls().max(1.0)
    }

    pub fn all_calls(&self) -> f64 {
        self.calls.iter().sum()
    }
}

impl OfClass {
    pub fn served(&self) -> usize {
        self.served.len()
    }

    /// Latency at the quantile `u`, after [`Tally::sort`].
    pub fn at(&self, u: f64) -> f64 {
        let last = self.served.len().saturating_sub(1);
        self.served
            .get(((u * last as f64).round().max(0.0) as usize).min(last))
            .map_or(0.0, |&v| f64::from(v))
    }

    /// Half of the width in which the quantile lies by chance: two standard deviations of its rank.
    pub fn chance(&self, u: f64) -> f64 {
        let n = self.served.len().max(1) as f64;
        let rank = 2.0 * (u * (1.0 - u) / n).sqrt();
        (self.at((u + rank).min(1.0)) - self.at((u - rank).max(0.0))) / 2.0
    }
}
