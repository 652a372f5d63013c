//! The keys that an operator can set for rollouts and the drift detector, with their ranges.
//!
//! The registry reads them from `[routes]` of its file. `serde(rename)` gives the key of each field;
//! `docs/routes.md` lists them.

use serde::Deserialize;

/// Settings of the rollout and of the drift detector. Times are in milliseconds.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Whether a proposal waits for the verdict of a replay. If false, its rollout starts at once.
    #[serde(rename = "judge")]
    pub require_verdict: bool,
    /// Longest wait for a verdict, in milliseconds; after that the proposal lapses.
    #[serde(rename = "judge_ms")]
    pub verdict_timeout_ms: u64,
    /// Maximum factor by which one proposal may change a backend's weight relative to the mean.
    #[serde(rename = "step")]
    pub max_weight_step: f64,
    /// Number of proxies in the stage `few`, and the minimum for later stages.
    #[serde(rename = "few")]
    pub first_stage_proxies: usize,
    /// Minimum duration of a stage, in milliseconds.
    #[serde(rename = "stand_ms")]
    pub min_stage_ms: u64,
    /// Longest time, in milliseconds, for which a stage waits for reports, the table or requests; after that
    /// the rollout stops. It counts from the stage's last change of members, and again from the end of a
    /// pause or a start of the registry.
    #[serde(rename = "longest_ms")]
    pub stage_timeout_ms: u64,
    /// Minimum number of requests on either side of a comparison of shares.
    #[serde(rename = "least_requests")]
    pub min_requests: u64,
    /// Significance level of each comparison: the probability of a false positive between equal shares.
    #[serde(rename = "chance")]
    pub significance_level: f64,
    /// Minimum difference between two shares that counts, whatever its significance.
    #[serde(rename = "margin")]
    pub min_share_difference: f64,
    /// Interval between the reports of a proxy, in milliseconds: the length of a window.
    pub report_ms: u64,
    /// Grace time, in milliseconds: the time that a proxy has to apply its target table, and the time after a
    /// start of the registry in which no finding is raised.
    pub grace_ms: u64,
    /// Number of consecutive bad windows that raise a finding.
    #[serde(rename = "raise")]
    pub raise_after_windows: u32,
    /// Number of consecutive good windows that clear a finding.
    #[serde(rename = "clear")]
    pub clear_after_windows: u32,
    /// Minimum number of calls for a test of a proxy's calls against the weights.
    #[serde(rename = "least_calls")]
    pub min_calls: u64,
    /// Ratio of the variance of a healthy proxy's calls to that of independent random choice. It is not 1,
    /// since a proxy avoids slow backends and takes turns.
    pub dispersion: f64,
    /// Minimum relative deviation of a backend's calls from the expected number that counts, whatever its
    /// significance.
    #[serde(rename = "effect_margin")]
    pub min_effect_size: f64,
    /// Time, in milliseconds, for which a proxy that stopped reporting still counts as alive in the coverage
    /// of reports.
    #[serde(rename = "count_ms")]
    pub count_silent_ms: u64,
    /// Time, in milliseconds, after which the state of a lost proxy is dropped.
    pub forget_ms: u64,
    /// Length, in milliseconds, of the period in which starts and returns are counted for `flapping`.
    #[serde(rename = "flap_ms")]
    pub flap_window_ms: u64,
    /// Number of starts and returns within [`Config::flap_window_ms`] that raises `flapping`.
    #[serde(rename = "flaps")]
    pub flap_threshold: usize,
    /// Maximum number of proxies whose reports are kept. 16,384 proxies with 18 backends each take 41 MB of
    /// resident memory.
    #[serde(rename = "names")]
    pub max_proxies: usize,
    /// Maximum number of backend counts in all kept reports together.
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

/// A key of [`Config`] whose value is out of its range.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
#[error("routes.{key}: must be {range}, not {value}; set it or leave it out for its default")]
pub struct ConfigError {
    /// Key as written in the file.
    pub key: &'static str,
    /// Allowed range of the key.
    pub range: &'static str,
    /// Value that was given.
    pub value: String,
}

/// Longest time that can be set, in milliseconds.
const DAY_MS: u64 = 86_400_000;

/// Result of the range check of one key.
struct KeyCheck {
    key: &'static str,
    range: &'static str,
    valid: bool,
    value: String,
}

impl KeyCheck {
    fn new(key: &'static str, range: &'static str, valid: bool, value: impl ToString) -> Self {
        KeyCheck { key, range, valid, value: value.to_string() }
    }

    fn time(key: &'static str, value_ms: u64) -> Self {
        Self::new(key, "1 to 86400000", (1..=DAY_MS).contains(&value_ms), value_ms)
    }

    fn share(key: &'static str, value: f64) -> Self {
        Self::new(key, "above 0 and under 1", value > 0.0 && value < 1.0, value)
    }

    fn count(key: &'static str, value: u64, max: u64, range: &'static str) -> Self {
        Self::new(key, range, (1..=max).contains(&value), value)
    }
}

impl Config {
    /// Checks that each key is in its range.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for the first key that is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        let keys = self.rollout_keys().into_iter().chain(self.drift_keys());
        match keys.into_iter().find(|key| !key.valid) {
            Some(KeyCheck { key, range, value, .. }) => Err(ConfigError { key, range, value }),
            None => Ok(()),
        }
    }

    fn rollout_keys(&self) -> [KeyCheck; 8] {
        let step = self.max_weight_step;
        let timeout_ms = self.stage_timeout_ms;
        let valid_timeout = timeout_ms >= self.min_stage_ms && timeout_ms <= DAY_MS;
        [
            KeyCheck::time("judge_ms", self.verdict_timeout_ms),
            KeyCheck::new("step", "1 to 1000", (1.0..=1000.0).contains(&step), step),
            KeyCheck::count("few", self.first_stage_proxies as u64, 4096, "1 to 4096"),
            KeyCheck::time("stand_ms", self.min_stage_ms),
            KeyCheck::new("longest_ms", "stand_ms to 86400000", valid_timeout, timeout_ms),
            KeyCheck::count("least_requests", self.min_requests, 1 << 40, "at least 1"),
            KeyCheck::share("chance", self.significance_level),
            KeyCheck::share("margin", self.min_share_difference),
        ]
    }

    fn drift_keys(&self) -> [KeyCheck; 12] {
        let report_ms = self.report_ms;
        let valid_report_ms = (100..=3_600_000).contains(&report_ms);
        let effect_size = self.min_effect_size;
        let valid_effect_size = (0.0..=1000.0).contains(&effect_size);
        [
            KeyCheck::new("report_ms", "100 to 3600000", valid_report_ms, report_ms),
            KeyCheck::time("grace_ms", self.grace_ms),
            KeyCheck::count("raise", self.raise_after_windows.into(), 1000, "1 to 1000"),
            KeyCheck::count("clear", self.clear_after_windows.into(), 1000, "1 to 1000"),
            KeyCheck::count("least_calls", self.min_calls, 1 << 40, "at least 1"),
            KeyCheck::new("effect_margin", "0 to 1000", valid_effect_size, effect_size),
            KeyCheck::time("count_ms", self.count_silent_ms),
            KeyCheck::time("forget_ms", self.forget_ms),
            KeyCheck::time("flap_ms", self.flap_window_ms),
            KeyCheck::count("flaps", self.flap_threshold as u64, 64, "1 to 64"),
            KeyCheck::count("names", self.max_proxies as u64, 1 << 16, "1 to 65536"),
            KeyCheck::count("counts", self.max_backend_counts as u64, 1 << 24, "1 to 16777216"),
        ]
    }
}
