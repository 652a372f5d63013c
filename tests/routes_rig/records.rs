//! Segments of a simulated fleet's requests, shifted to the present time.

use crate::replay_rig::{FleetScenario, START_MS};
use load_balancer::replay::Segment;
use std::time::{SystemTime, UNIX_EPOCH};

/// Packed segments that a simulated fleet of eight proxies recorded of its calls to backends `s0` to `s7`, over the
/// last `seconds` until now.
pub fn record_segments(seconds: f64) -> Vec<Vec<u8>> {
    let scenario = FleetScenario { duration_s: seconds, ..FleetScenario::default() };
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
    let now_ms = since_1970.as_millis() as f64;
    let shift_ms = now_ms - (START_MS + 1000.0 * seconds);
    scenario.run().segments.into_iter().map(|segment| shift(segment, shift_ms, 0).encode()).collect()
}

/// Shifts a packed segment in time by `shift_ms`, and its proxy's generation by `generations`.
pub fn shift_packed(packed: &[u8], shift_ms: f64, generations: u64) -> Vec<u8> {
    shift(Segment::decode(packed).expect("the segment is valid"), shift_ms, generations).encode()
}

fn shift(mut segment: Segment, shift_ms: f64, generations: u64) -> Segment {
    segment.span_ms = (segment.span_ms.0 + shift_ms, segment.span_ms.1 + shift_ms);
    segment.traces.iter_mut().for_each(|trace| trace.at_ms += shift_ms);
    segment.generation += generations;
    segment.revision = 0;
    segment
}
