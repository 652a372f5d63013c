//! Configuration of a recorder.

/// Identity of the proxy and limits of its segments.
#[derive(Clone, Debug, PartialEq)]
pub struct RecorderConfig {
    /// Name of the proxy, as in its reports.
    pub name: String,
    /// Generation of the proxy, as in its reports.
    pub generation: u64,
    /// Zone of the proxy.
    pub zone: String,
    /// Settings of the proxy, JSON in the platform's form.
    pub settings: String,
    /// Sampled requests of each 65,536.
    pub sampled: u32,
    /// Maximum number of traces in a segment, and of sampled requests that are open at once.
    pub max_traces: usize,
    /// Time (ms) after which a segment is due.
    pub max_span_ms: f64,
}
