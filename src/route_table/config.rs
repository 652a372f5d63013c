//! What an operator can set of the route table's rollout and drift.

use serde::Deserialize;

/// The keys under `[routes]`. Times in milliseconds.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Whether a proposal waits for a replay's verdict; without, it starts its rollout at once.
    #[serde(rename = "judge")]
    pub require_verdict: bool,
    /// Longest that a proposal waits for its verdict; then it lapses.
    #[serde(rename = "judge_ms")]
    pub verdict_timeout_ms: u64,
    /// Most that one step may move a backend's weight relative to the mean, as a factor.
    #[serde(rename = "step")]
    pub max_weight_step: f64,
    /// Proxies of the first stage.
    #[serde(rename = "few")]
    pub first_stage_proxies: usize,
    /// How long each stage stands at the least.
    #[serde(rename = "stand_ms")]
    pub min_stage_ms: u64,
    /// How long it may wait at the most, for reports or requests; then the rollout stops.
    #[serde(rename = "longest_ms")]
    pub stage_timeout_ms: u64,
    /// Requests that either side needs before their shares are compared.
    #[serde(rename = "least_requests")]
    pub min_requests: u64,
    /// Chance of taking two equal shares for different ones, in each comparison.
    #[serde(rename = "chance")]
    pub significance_level: f64,
    /// How much worse a share may be in any case.
    #[serde(rename = "margin")]
    pub min_share_difference: f64,
    /// How often a proxy reports: the length of a window.
    pub report_ms: u64,
    /// How long a proxy may take to do what it should before that counts as drift.
    pub grace_ms: u64,
    /// Bad windows in a row after which a finding is raised.
    #[serde(rename = "raise")]
    pub raise_after_windows: u32,
    /// Good windows in a row after which it is cleared.
    #[serde(rename = "clear")]
    pub clear_after_windows: u32,
    /// Calls over which a proxy's spread is held against the weights.
    #[serde(rename = "least_calls")]
    pub min_calls: u64,
    /// How many times the variance of chance a healthy proxy's spread may have: it avoids slow backends, takes turns.
    pub dispersion: f64,
    /// How far a backend's part of a proxy's calls may lie from its weight's in any case, as a share of that.
    #[serde(rename = "effect_margin")]
    pub min_effect_size: f64,
    /// How long a proxy that went silent counts for the majority that must be heard.
    #[serde(rename = "count_ms")]
    pub count_silent_ms: u64,
    /// How long anything is kept of a proxy that is gone.
    pub forget_ms: u64,
    /// Within this time, so many new starts or returns make a proxy flap.
    #[serde(rename = "flap_ms")]
    pub flap_window_ms: u64,
    /// See `flap_ms`.
    #[serde(rename = "flaps")]
    pub flap_threshold: usize,
    /// Most proxies of which reports are kept. 16,384 with 18 backends each take 41 MB (measured as the resident memory of
    /// `limits::reports_of_as_many_proxies_...` over that of another test of its file).
    #[serde(rename = "names")]
    pub max_proxies: usize,
    /// Most backends of all kept reports together.
    #[serde(rename = "counts")]
    pub max_backend_counts: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            require_verdict: true,
            verdict_timeout_ms: 600_000,
            max_weight_step: 4.0,
            first_stage_proxies: 2,
            min_stage_ms: 30_000,
            stage_timeout_ms: 600_000,
            min_requests: 200,
            significance_level: 1e-4,
            min_share_difference: 0.005,
            report_ms: 5000,
            grace_ms: 15_000,
            raise_after_windows: 3,
            clear_after_windows: 3,
            min_calls: 1000,
            dispersion: 2.0,
            min_effect_size: 0.3,
            count_silent_ms: 120_000,
            forget_ms: 600_000,
            flap_window_ms: 300_000,
            flap_threshold: 4,
            max_proxies: 16_384,
            max_backend_counts: 1 << 20,
        }
    }
}

/// A key of [`Config`] that nothing could be decided by.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
#[error("routes.{key}: must be {range}, not {value}; set it or leave it out for its default")]
pub struct ConfigError {
    /// Which.
    pub key: &'static str,
    /// What it must be.
    pub range: &'static str,
    /// What it is.
    pub value: String,
}

impl Config {
    /// Names the first key that is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        const DAY: u64 = 86_400_000;
        let time = |key, value: u64| (key, "1 to 86400000", (1..=DAY).contains(&value), value.to_string());
        let share =
            |key, value: f64| (key, "above 0 and under 1", value > 0.0 && value < 1.0, value.to_string());
        let count =
            |key, value: u64, most: u64, range| (key, range, (1..=most).contains(&value), value.to_string());
        let longest = self.stage_timeout_ms >= self.min_stage_ms && self.stage_timeout_ms <= DAY;
        let keys = [
            time("judge_ms", self.verdict_timeout_ms),
            (
                "step",
                "1 to 1000",
                (1.0..=1000.0).contains(&self.max_weight_step),
                self.max_weight_step.to_string(),
            ),
            count("few", self.first_stage_proxies as u64, 4096, "1 to 4096"),
            time("stand_ms", self.min_stage_ms),
            ("longest_ms", "stand_ms to 86400000", longest, self.stage_timeout_ms.to_string()),
            count("least_requests", self.min_requests, 1 << 40, "at least 1"),
            share("chance", self.significance_level),
            share("margin", self.min_share_difference),
            (
                "report_ms",
                "100 to 3600000",
                (100..=3_600_000).contains(&self.report_ms),
                self.report_ms.to_string(),
            ),
            time("grace_ms", self.grace_ms),
            count("raise", self.raise_after_windows.into(), 1000, "1 to 1000"),
            count("clear", self.clear_after_windows.into(), 1000, "1 to 1000"),
            count("least_calls", self.min_calls, 1 << 40, "at least 1"),
            (
                "effect_margin",
                "0 to 1000",
                (0.0..=1000.0).contains(&self.min_effect_size),
                self.min_effect_size.to_string(),
            ),
            time("count_ms", self.count_silent_ms),
            time("forget_ms", self.forget_ms),
            time("flap_ms", self.flap_window_ms),
            count("flaps", self.flap_threshold as u64, 64, "1 to 64"),
            count("names", self.max_proxies as u64, 1 << 16, "1 to 65536"),
            count("counts", self.max_backend_counts as u64, 1 << 24, "1 to 16777216"),
        ];
        match keys.into_iter().find(|(_, _, good, _)| !good) {
            Some((key, range, _, value)) => Err(ConfigError { key, range, value }),
            None => Ok(()),
        }
    }
}
