//! Statistics of the fleet's traffic, as recorded or as simulated.

use super::Ending;
use super::recorded_traffic::RecordedTraffic;

/// The statistics of the records or of one simulation, without the warm-up.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TrafficStatistics {
    /// End of the warm-up, ms from the start of the window.
    warm_up_ms: f64,
    /// Calls by backend, scaled up for the sampling.
    pub calls: Vec<f64>,
    /// Maximum number of calls in flight by backend.
    pub peaks: Vec<f64>,
    /// Calls that cross zones, scaled up for the sampling.
    pub cross_zone_calls: f64,
    /// Number of calls, not scaled up for the sampling.
    pub unscaled_calls: u64,
    pub classes: Vec<ClassStatistics>,
    /// Number of all requests, those in the warm-up included.
    pub requests: u64,
}

/// The statistics of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ClassStatistics {
    /// Latencies (ms) of the served requests.
    served_ms: Vec<f32>,
    pub refused: u64,
    pub failed: u64,
    /// Number of requests, however they ended.
    pub requests: u64,
}

impl TrafficStatistics {
    pub fn new(backends: usize, classes: usize, warm_up_ms: f64) -> TrafficStatistics {
        TrafficStatistics {
            warm_up_ms,
            calls: vec![0.0; backends],
            peaks: vec![0.0; backends],
            cross_zone_calls: 0.0,
            unscaled_calls: 0,
            classes: vec![ClassStatistics::default(); classes],
            requests: 0,
        }
    }

    /// The statistics of the records. Their peaks are 0: only a simulation gives these.
    pub fn of_records(records: &RecordedTraffic, warm_up_ms: f64) -> TrafficStatistics {
        let mut statistics =
            TrafficStatistics::new(records.backends.len(), records.classes.len(), warm_up_ms);
        for call in &records.calls {
            let proxy = &records.proxies[call.proxy as usize];
            let crosses_zone = proxy.zone != records.backends[call.backend as usize].zone;
            statistics.add_call(call.at_ms, call.backend, 0.0, crosses_zone, proxy.scale);
        }
        for request in &records.requests {
            statistics.add_request(request.at_ms, request.class, request.ending, request.took_ms);
        }
        statistics.sort();
        statistics
    }

    /// Adds a call that was sent with so many calls in flight at the backend; it counts as `scale` calls.
    pub fn add_call(&mut self, at_ms: f64, backend: u32, in_flight: f64, crosses_zone: bool, scale: f64) {
        if at_ms >= self.warm_up_ms {
            let backend = backend as usize;
            self.calls[backend] += scale;
            self.unscaled_calls += 1;
            self.peaks[backend] = self.peaks[backend].max(in_flight);
            self.cross_zone_calls += if crosses_zone { scale } else { 0.0 };
        }
    }

    /// Adds a request that has ended.
    pub fn add_request(&mut self, arrived_ms: f64, class: u16, ending: Ending, took_ms: f64) {
        self.requests += 1;
        if arrived_ms < self.warm_up_ms {
            return;
        }
        let class = &mut self.classes[usize::from(class)];
        class.requests += 1;
        match ending {
            Ending::Served => class.served_ms.push(took_ms as f32),
            Ending::Refused => class.refused += 1,
            Ending::Failed => class.failed += 1,
            Ending::Left => {}
        }
    }

    /// Sorts the latencies, as quantiles require. Called once, after the last request.
    pub fn sort(&mut self) {
        self.classes.iter_mut().for_each(|class| class.served_ms.sort_unstable_by(f32::total_cmp));
    }

    /// Share of all calls that went to a backend.
    pub fn share(&self, backend: usize) -> f64 {
        self.calls[backend] / self.all_calls().max(1.0)
    }

    /// Calls to all backends, scaled up for the sampling.
    pub fn all_calls(&self) -> f64 {
        self.calls.iter().sum()
    }
}

impl ClassStatistics {
    /// Number of served requests.
    pub fn served(&self) -> usize {
        self.served_ms.len()
    }

    /// Latency (ms) of served requests at a quantile, after [`TrafficStatistics::sort`]; 0 without served requests.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let last = self.served_ms.len().saturating_sub(1);
        let rank = ((quantile * last as f64).round().max(0.0) as usize).min(last);
        self.served_ms.get(rank).map_or(0.0, |&latency_ms| f64::from(latency_ms))
    }

    /// Half of the width (ms) of the confidence interval of a latency quantile: two standard deviations of its rank.
    pub fn latency_error_ms(&self, quantile: f64) -> f64 {
        let served = self.served_ms.len().max(1) as f64;
        let rank_error = 2.0 * (quantile * (1.0 - quantile) / served).sqrt();
        let high_ms = self.latency_ms((quantile + rank_error).min(1.0));
        let low_ms = self.latency_ms((quantile - rank_error).max(0.0));
        (high_ms - low_ms) / 2.0
    }
}
