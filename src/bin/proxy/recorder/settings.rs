//! The section `record` of the configuration.

use load_balancer::replay::{MAX_TRACES, SAMPLED_OF};
use serde::Deserialize;

/// Configuration of the recording.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Share of the requests that is sampled. It is the same at all proxies, so that they sample the same requests.
    pub sampled: f64,
    /// Maximum number of traces in a segment, and of sampled requests that are open at once. Bounds the memory.
    pub traces: usize,
    /// Time (ms) after which a segment is cut.
    pub segment_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { sampled: 0.05, traces: 4096, segment_ms: 10_000 }
    }
}

impl Settings {
    /// Names the first setting that is out of range, and its range.
    pub fn invalid(&self) -> Option<String> {
        let min_share = 1.0 / f64::from(SAMPLED_OF);
        let checks = [
            (!(min_share..=1.0).contains(&self.sampled), "sampled: from 1/65536 to 1".to_string()),
            (!(1..=MAX_TRACES).contains(&self.traces), format!("traces: from 1 to {MAX_TRACES}")),
            (!(1000..=600_000).contains(&self.segment_ms), "segment_ms: from 1000 to 600000".to_string()),
        ];
        checks.into_iter().find(|(is_invalid, _)| *is_invalid).map(|(_, message)| message)
    }
}
