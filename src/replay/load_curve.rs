//! The load curve: how a backend's latency grows with the calls that the whole fleet has in flight there.
//!
//! By Little's law the mean latency with `n` calls in flight is `n` over the throughput. With Gunther's universal
//! scalability law for the throughput, latency is a quadratic function of `n`; with a fixed number of slots and a queue
//! before them it is constant up to a knee and linear from there on. The curve with the least squared error is taken.

/// Relative latency above which a call's is cut off: the tail of the distribution is not due to the load.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// Standard errors by which a slope must exceed 0.
const SLOPE_Z_SCORE: f64 = 4.0;
/// Calls without which no curve is fitted.
const MIN_SAMPLES: f64 = 100.0;
/// Latency relative to that of a single call at which a backend's capacity is reached.
const LATENCY_RATIO_AT_CAPACITY: f64 = 2.0;
/// Least variance of a curve's term over the samples for a fit.
const MIN_TERM_VARIANCE: f64 = 1e-9;
/// Least relative latency of a single call for a fit.
const MIN_SINGLE_CALL_LATENCY: f64 = 0.05;
/// Factor between one knee that is tried and the next.
const KNEE_STEP: f64 = 1.15;

/// A call, as a point to fit a curve to.
pub(super) struct LoadSample {
    /// Calls in flight at the backend, this one included.
    pub(super) in_flight: f64,
    /// Latency relative to the mean of its class and its backend's speed.
    pub(super) relative_latency: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    /// Constant up to so many calls in flight, then linear.
    Knee(f64),
    /// Quadratic.
    Quadratic,
}

impl Shape {
    /// The term that the slope multiplies.
    fn term(self, in_flight: f64) -> f64 {
        match self {
            Shape::Knee(knee) => (in_flight - knee).max(0.0),
            Shape::Quadratic => (in_flight - 1.0).max(0.0) * in_flight,
        }
    }
}

/// Latency as a function of the calls in flight, relative to that of a single call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadCurve {
    shape: Shape,
    slope: f64,
}

/// A least-squares fit.
struct Fit {
    curve: LoadCurve,
    /// Mean squared error.
    error: f64,
}

impl LoadCurve {
    /// Latency that does not depend on the load.
    pub(super) const FLAT: LoadCurve = LoadCurve { shape: Shape::Knee(1.0), slope: 0.0 };

    /// Latency with so many calls in flight, the new one included, relative to that of a single call.
    pub(super) fn relative_latency(&self, in_flight: f64) -> f64 {
        1.0 + self.slope * self.shape.term(in_flight)
    }

    /// Calls in flight at which latency is twice that of a single call. Beyond, hardly more calls are answered (linear)
    /// or fewer (quadratic). Infinite for a flat curve.
    pub(super) fn capacity(&self) -> f64 {
        if self.slope <= 0.0 {
            return f64::INFINITY;
        }
        match self.shape {
            Shape::Knee(knee) => knee + (LATENCY_RATIO_AT_CAPACITY - 1.0) / self.slope,
            Shape::Quadratic => 0.5 + (0.25 + (LATENCY_RATIO_AT_CAPACITY - 1.0) / self.slope).sqrt(),
        }
    }

    /// The curve that fits the samples best; flat where none has a slope that is significantly above 0.
    pub(super) fn fit(samples: &[LoadSample]) -> LoadCurve {
        let most_in_flight = samples.iter().map(|sample| sample.in_flight).fold(1.0, f64::max);
        if (samples.len() as f64) < MIN_SAMPLES || most_in_flight <= 1.0 {
            return LoadCurve::FLAT;
        }
        let knees = std::iter::successors(Some(1.0), |knee: &f64| Some((knee * KNEE_STEP).max(knee + 1.0)));
        let knees = knees.take_while(|knee| *knee < most_in_flight).map(Shape::Knee);
        let fits = knees.chain([Shape::Quadratic]).filter_map(|shape| least_squares(samples, shape));
        let best = fits.min_by(|a, b| a.error.total_cmp(&b.error));
        best.map_or(LoadCurve::FLAT, |fit| fit.curve)
    }
}

/// Least squares of latency over a shape's term; `None` where the slope is not significantly above 0.
fn least_squares(samples: &[LoadSample], shape: Shape) -> Option<Fit> {
    let count = samples.len() as f64;
    let mut sum_x = 0.0;
    let mut sum_y = 0.0;
    let mut sum_xx = 0.0;
    let mut sum_xy = 0.0;
    let mut sum_yy = 0.0;
    for sample in samples {
        let x = shape.term(sample.in_flight);
        let y = sample.relative_latency.min(MAX_RELATIVE_LATENCY);
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
        sum_yy += y * y;
    }
    let variance = sum_xx / count - sum_x * sum_x / count / count;
    let covariance = sum_xy / count - sum_x * sum_y / count / count;
    if variance <= MIN_TERM_VARIANCE {
        return None;
    }
    let slope = covariance / variance;
    let single_call = (sum_y - slope * sum_x) / count;
    let error = (sum_yy / count - sum_y * sum_y / count / count - slope * covariance).max(0.0);
    let standard_error = (error / variance / count).sqrt();
    (slope > SLOPE_Z_SCORE * standard_error && single_call > MIN_SINGLE_CALL_LATENCY)
        .then(|| Fit { curve: LoadCurve { shape, slope: slope / single_call }, error })
}
