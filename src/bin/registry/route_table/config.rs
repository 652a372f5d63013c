//! The keys under `[routes]`: the host's own here, all others the library's.

use load_balancer::replay::Bounds;
use load_balancer::route_table::{Config as Control, ConfigError};
use serde::Deserialize;
use thiserror::Error;

/// What the host goes by. Off unless `enabled`.
#[derive(Deserialize, Clone, Debug, Default)]
#[serde(try_from = "toml::Table")]
pub struct RoutesConfig {
    /// The host's own keys.
    pub own: Own,
    /// The library's keys: the rollout's and the drift detector's.
    pub control: Control,
}

/// The host's own keys.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Own {
    /// Whether anything of it runs.
    pub enabled: bool,
    /// Bytes of recorded segments on disk; the oldest go first.
    pub ring_bytes: u64,
    /// A segment that ends longer ago than this is late and left out; what is held goes at that age too.
    pub keep_ms: u64,
    /// Recorded requests that a judging reads at the most, the newest of them.
    pub judge_requests: usize,
    /// Replays of each table.
    pub judge_seeds: usize,
    /// Threads of a judging.
    pub judge_threads: usize,
    /// Proxies that should have recorded; 0 for as many as their settings say.
    pub fleet: usize,
    /// The tier by its place in the settings, where there are several.
    pub tier: Option<u32>,
    /// What a verdict must keep to.
    pub bounds: Bounds,
}

/// Those keys by name.
const OWN: [&str; 9] = [
    "enabled",
    "ring_bytes",
    "keep_ms",
    "judge_requests",
    "judge_seeds",
    "judge_threads",
    "fleet",
    "tier",
    "bounds",
];

impl Default for Own {
    fn default() -> Self {
        Own {
            enabled: false,
            ring_bytes: 64 << 20,
            keep_ms: 3_600_000,
            judge_requests: 500_000,
            judge_seeds: 5,
            judge_threads: 1,
            fleet: 0,
            tier: None,
            bounds: Bounds::default(),
        }
    }
}

/// What is wrong with a key.
#[derive(Error, Debug)]
pub enum RoutesConfigError {
    /// An unknown key, or a value of another kind.
    #[error("routes: {0}")]
    Key(#[from] toml::de::Error),
    /// One of the library's out of range.
    #[error(transparent)]
    Control(#[from] ConfigError),
    /// One of the host's out of range.
    #[error("routes.{key}: must be {range}; set it or leave it out for its default")]
    Range {
        /// Which.
        key: &'static str,
        /// What it must be.
        range: &'static str,
    },
}

impl TryFrom<toml::Table> for RoutesConfig {
    type Error = RoutesConfigError;

    fn try_from(table: toml::Table) -> Result<Self, RoutesConfigError> {
        let (own, control): (toml::Table, toml::Table) =
            table.into_iter().partition(|(key, _)| OWN.contains(&key.as_str()));
        let own: Own = toml::Value::Table(own).try_into()?;
        let control: Control = toml::Value::Table(control).try_into()?;
        control.check()?;
        let ranges = [
            ("ring_bytes", "1048576 to 1099511627776", (1 << 20..=1 << 40).contains(&own.ring_bytes)),
            ("keep_ms", "1000 to 86400000", (1000..=86_400_000).contains(&own.keep_ms)),
            ("judge_requests", "1 to 10000000", (1..=10_000_000).contains(&own.judge_requests)),
            ("judge_seeds", "1 to 100", (1..=100).contains(&own.judge_seeds)),
            ("judge_threads", "1 to 64", (1..=64).contains(&own.judge_threads)),
            ("fleet", "0 to 65536", own.fleet <= 1 << 16),
        ];
        match ranges.into_iter().find(|(_, _, good)| !good) {
            Some((key, range, _)) => Err(RoutesConfigError::Range { key, range }),
            None => Ok(RoutesConfig { own, control }),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/route_table/config.rs"]
mod tests;
