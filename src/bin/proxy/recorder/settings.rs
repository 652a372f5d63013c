//! The section `record` of the configuration.

use load_balancer::replay::{MAX_TRACES, SAMPLED_OF};
use serde::Deserialize;

/// What is recorded.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Share of the requests that is recorded; the same at all proxies, so that they keep the same ones.
    pub sampled: f64,
    /// Most requests of a segment, and most that are open at once: what bounds the memory.
    pub traces: usize,
    /// Longest time that a segment covers, ms.
    pub segment_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { sampled: 0.05, traces: 4096, segment_ms: 10_000 }
    }
}

impl Settings {
    /// What is wrong with them, if anything is.
    pub fn invalid(&self) -> Option<String> {
        let least = 1.0 / f64::from(SAMPLED_OF);
        let wrong = [
            (!(least..=1.0).contains(&self.sampled), "sampled: from 1/65536 to 1".to_string()),
            (!(1..=MAX_TRACES).contains(&self.traces), format!("traces: from 1 to {MAX_TRACES}")),
            (!(1000..=600_000).contains(&self.segment_ms), "segment_ms: from 1000 to 600000".to_string()),
        ];
        wrong.into_iter().find(|(bad, _)| *bad).map(|(_, what)| what)
    }
}
