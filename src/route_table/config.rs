//! What an operator can set of the route table's rollout and drift.

use serde::Deserialize;

/// The keys under `[routes]`. Times in milliseconds.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Whether a proposal waits for a replay's verdict; without, it starts its rollout at once.
    pub judge: bool,
    /// Longest that a proposal waits for its verdict; then it lapses.
    pub judge_ms: u64,
    /// Most that one step may move a backend's weight relative to the mean, as a factor.
    pub step: f64,
    /// Proxies of the first stage.
    pub few: usize,
    /// How long each stage stands at the least.
    pub stand_ms: u64,
    /// How long it may wait at the most, for reports or requests; then the rollout stops.
    pub longest_ms: u64,
    /// Requests that either side needs before their shares are compared.
    pub least_requests: u64,
    /// Chance of taking two equal shares for different ones, in each comparison.
    pub chance: f64,
    /// How much worse a share may be in any case.
    pub margin: f64,
    /// How often a proxy reports: the length of a window.
    pub report_ms: u64,
    /// How long a proxy may take to do what it should before that counts as drift.
    pub grace_ms: u64,
    /// Bad windows in a row after which a finding is raised.
    pub raise: u32,
    /// Good windows in a row after which it is cleared.
    pub clear: u32,
    /// Calls over which a proxy's spread is held against the weights.
    pub least_calls: u64,
    /// How many times the variance of chance a healthy proxy's spread may have: it avoids slow backends, takes turns.
    pub dispersion: f64,
    /// How far a backend's part of a proxy's calls may lie from its weight's in any case, as a share of that.
    pub effect_margin: f64,
    /// How long a proxy that went silent counts for the majority that must be heard.
    pub count_ms: u64,
    /// How long anything is kept of a proxy that is gone.
    pub forget_ms: u64,
    /// Within this time, so many new starts or returns make a proxy flap.
    pub flap_ms: u64,
    /// See `flap_ms`.
    pub flaps: usize,
    /// Most proxies of which reports are kept. 16,384 with 18 backends each take 41 MB (measured as the resident memory of
    /// `limits::reports_of_as_many_proxies_...` over that of another test of its file).
    pub names: usize,
    /// Most backends of all kept reports together.
    pub counts: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            judge: true,
            judge_ms: 600_000,
            step: 4.0,
            few: 2,
            stand_ms: 30_000,
            longest_ms: 600_000,
            least_requests: 200,
            chance: 1e-4,
            margin: 0.005,
            report_ms: 5000,
            grace_ms: 15_000,
            raise: 3,
            clear: 3,
            least_calls: 1000,
            dispersion: 2.0,
            effect_margin: 0.3,
            count_ms: 120_000,
            forget_ms: 600_000,
            flap_ms: 300_000,
            flaps: 4,
            names: 16_384,
            counts: 1 << 20,
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
        let longest = self.longest_ms >= self.stand_ms && self.longest_ms <= DAY;
        let keys = [
            time("judge_ms", self.judge_ms),
            ("step", "1 to 1000", (1.0..=1000.0).contains(&self.step), self.step.to_string()),
            count("few", self.few as u64, 4096, "1 to 4096"),
            time("stand_ms", self.stand_ms),
            ("longest_ms", "stand_ms to 86400000", longest, self.longest_ms.to_string()),
            count("least_requests", self.least_requests, 1 << 40, "at least 1"),
            share("chance", self.chance),
            share("margin", self.margin),
            (
                "report_ms",
                "100 to 3600000",
                (100..=3_600_000).contains(&self.report_ms),
                self.report_ms.to_string(),
            ),
            time("grace_ms", self.grace_ms),
            count("raise", self.raise.into(), 1000, "1 to 1000"),
            count("clear", self.clear.into(), 1000, "1 to 1000"),
            count("least_calls", self.least_calls, 1 << 40, "at least 1"),
            (
                "effect_margin",
                "0 to 1000",
                (0.0..=1000.0).contains(&self.effect_margin),
                self.effect_margin.to_string(),
            ),
            time("count_ms", self.count_ms),
            time("forget_ms", self.forget_ms),
            time("flap_ms", self.flap_ms),
            count("flaps", self.flaps as u64, 64, "1 to 64"),
            count("names", self.names as u64, 1 << 16, "1 to 65536"),
            count("counts", self.counts as u64, 1 << 24, "1 to 16777216"),
        ];
        match keys.into_iter().find(|(_, _, good, _)| !good) {
            Some((key, range, _, value)) => Err(ConfigError { key, range, value }),
            None => Ok(()),
        }
    }
}
