//! The keys under `[routes]` of the configuration file. Those in [`ServiceConfig`] are the registry's; all others are
//! read by the library, and an unknown key is an error there.

use load_balancer::replay::Bounds;
use load_balancer::route_table::{Config as ControlConfig, ConfigError};
use serde::Deserialize;
use thiserror::Error;

/// The configuration of the route table. It is hosted only if `enabled`.
#[derive(Deserialize, Clone, Debug, Default)]
#[serde(try_from = "toml::Table")]
pub(crate) struct RoutesConfig {
    /// The registry's own keys.
    pub(crate) service: ServiceConfig,
    /// The library's keys: those of rollouts and of the drift detector.
    pub(super) control: ControlConfig,
}

/// The registry's own keys under `[routes]`.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ServiceConfig {
    /// Whether the route table is hosted.
    pub(crate) enabled: bool,
    /// Maximum size, in bytes, of the recorded segments on disk; the oldest are removed first.
    pub(super) ring_bytes: u64,
    /// Maximum age of a recorded segment, in milliseconds; older segments are removed and not accepted.
    pub(super) keep_ms: u64,
    /// Maximum number of recorded requests that an evaluation reads, the newest ones.
    pub(super) judge_requests: usize,
    /// Number of replays of each table in an evaluation, with one seed each.
    pub(super) judge_seeds: usize,
    /// Number of threads of an evaluation.
    pub(super) judge_threads: usize,
    /// Number of proxies that are expected to record; 0 for the number in their settings.
    pub(super) fleet: usize,
    /// Index of the tier in the settings, where there are several.
    pub(super) tier: Option<u32>,
    /// Bounds that a replay must keep for its proposal to be admitted.
    pub(super) bounds: Bounds,
}

/// Names of the registry's own keys.
const SERVICE_KEYS: [&str; 9] = [
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

impl Default for ServiceConfig {
    fn default() -> Self {
        ServiceConfig {
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

/// A fault in a key under `[routes]`. The registry does not start and reports the text.
#[derive(Error, Debug)]
pub(crate) enum RoutesConfigError {
    /// A key is unknown, or its value has the wrong type.
    #[error("routes: {0}")]
    Key(#[from] toml::de::Error),
    /// The value of one of the library's keys is out of range.
    #[error(transparent)]
    Control(#[from] ConfigError),
    /// The value of one of the registry's own keys is out of range.
    #[error("routes.{key}: must be {range}; set it or leave it out for its default")]
    Range {
        /// Key as written in the file.
        key: &'static str,
        /// Allowed range of the key.
        range: &'static str,
    },
}

impl TryFrom<toml::Table> for RoutesConfig {
    type Error = RoutesConfigError;

    fn try_from(table: toml::Table) -> Result<Self, RoutesConfigError> {
        let (service, control): (toml::Table, toml::Table) =
            table.into_iter().partition(|(key, _)| SERVICE_KEYS.contains(&key.as_str()));
        let service: ServiceConfig = toml::Value::Table(service).try_into()?;
        let control: ControlConfig = toml::Value::Table(control).try_into()?;
        control.check()?;
        let ranges = [
            ("ring_bytes", "1048576 to 1099511627776", (1 << 20..=1 << 40).contains(&service.ring_bytes)),
            ("keep_ms", "1000 to 86400000", (1000..=86_400_000).contains(&service.keep_ms)),
            ("judge_requests", "1 to 10000000", (1..=10_000_000).contains(&service.judge_requests)),
            ("judge_seeds", "1 to 100", (1..=100).contains(&service.judge_seeds)),
            ("judge_threads", "1 to 64", (1..=64).contains(&service.judge_threads)),
            ("fleet", "0 to 65536", service.fleet <= 1 << 16),
        ];
        match ranges.into_iter().find(|(_, _, is_in_range)| !is_in_range) {
            Some((key, range, _)) => Err(RoutesConfigError::Range { key, range }),
            None => Ok(RoutesConfig { service, control }),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/route_table/config.rs"]
mod tests;
