//! What a fleet recorded, as if it had run until now.

use crate::replay_rig::{FleetScenario, START_MS};
use load_balancer::replay::Segment;
use std::time::{SystemTime, UNIX_EPOCH};

/// What a simulated fleet of eight proxies recorded of backends `s0` to `s7` until now, packed.
pub fn recorded(seconds: f64) -> Vec<Vec<u8>> {
    let scenario = FleetScenario { duration_s: seconds, ..FleetScenario::default() };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as f64;
    let by = unix - (START_MS + 1000.0 * seconds);
    scenario.run().segments.into_iter().map(|segment| shift(segment, by, 0).encode()).collect()
}

/// A packed segment of another time, and another process of its proxy.
pub fn shifted(packed: &[u8], by: f64, generation: u64) -> Vec<u8> {
    shift(Segment::decode(packed).expect("sound"), by, generation).encode()
}

fn shift(mut segment: Segment, by: f64, generation: u64) -> Segment {
    segment.span_ms = (segment.span_ms.0 + by, segment.span_ms.1 + by);
    segment.traces.iter_mut().for_each(|trace| trace.at_ms += by);
    segment.generation += generation;
    segment.revision = 0;
    segment
}
