//! Reads an instance's settings, once at its start, from the platform's JSON object: text on the simulator's
//! wire, or a part of the configuration of a real proxy. This is the only place that maps the platform's keys
//! to this project's terms.

mod json;

use self::json::{DedupScope, Discovery, Semantics, Text};
use crate::interface as api;
use serde::Deserializer;

/// Error of reading the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A key is missing or has an unusable value; the text names the key.
    #[error("settings: {0}")]
    Key(String),
    /// Further text follows the JSON object.
    #[error("settings: {0}; they are one JSON object, remove what follows it")]
    Trailing(String),
}

/// The platform's settings, split into those of the balancer and those of the proxy around it.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Settings of the balancer.
    pub settings: api::Settings,
    /// Settings that only a proxy on real sockets needs.
    pub site: Site,
}

/// Names and values that no decision needs; empty, 0 or false where the JSON object omits them.
#[derive(Debug, Clone, Default)]
pub struct Site {
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Time (ms) by which a backend closes an idle connection.
    pub connection_idle_ms: f64,
    /// Timeout (ms) of a connect.
    pub connect_timeout_ms: f64,
    /// Maximum number of open requests of an instance.
    pub max_open_requests: usize,
    /// Whether a request may have two attempts in flight at once.
    pub may_hedge: bool,
    /// Time (ms) after the notice of draining within which sends to the backend must end.
    pub drain_grace_ms: f64,
    /// Longest time (ms) that any client waits, over all its attempts.
    pub longest_client_timeout_ms: f64,
}

/// Parses the settings from JSON text; an error names the key.
pub fn parse(text: &[u8]) -> Result<PlatformSettings, Error> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let settings = read(&mut json)?;
    json.end().map_err(|e| Error::Trailing(e.to_string()))?;
    Ok(settings)
}

/// Reads the settings from a deserializer that is positioned at the object; an error names the key.
pub fn read<'de, D: Deserializer<'de>>(from: D) -> Result<PlatformSettings, Error> {
    let text: Text = serde_path_to_error::deserialize(from).map_err(|e| Error::Key(e.to_string()))?;
    let site = site(&text);
    Ok(PlatformSettings { settings: settings(text), site })
}

fn site(text: &Text) -> Site {
    Site {
        classes: text.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: text.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: text.localities.clone(),
        connection_idle_ms: text.caps.conn_idle,
        connect_timeout_ms: text.caps.connect_timeout,
        max_open_requests: text.caps.open_cap,
        may_hedge: text.caps.may_duplicate,
        drain_grace_ms: text.guarantees.stop_sending_within,
        longest_client_timeout_ms: text.classes.iter().map(|c| c.give_up).fold(0.0, f64::max),
    }
}

fn settings(text: Text) -> api::Settings {
    api::Settings {
        instance_index: text.slot_no,
        instance_count: text.peers_total,
        tier: text.tier,
        zone: text.locality,
        tick_ms: text.tick,
        must_subscribe: matches!(text.discovery, Discovery::Subscribe),
        over_quota_weight: text.over_share_worth,
        classes: text.classes.into_iter().map(class).collect(),
        tenants: text.tenants.iter().map(|t| api::Tenant { quota_per_s: t.quota_per_s }).collect(),
        caps: caps(&text.caps),
        rules: rules(&text.guarantees),
        goal: api::Goal {
            worst_class_weight: text.goal.worst_class,
            cross_zone_price: text.prices.cross_zone,
        },
        list_guard: api::ListGuard::default(),
    }
}

fn class(class: json::Class) -> api::Class {
    api::Class {
        latency_objective_ms: class.aim,
        priority_weight: class.points,
        in_order: class.fifo_by_key,
        idempotency: match class.semantics {
            Semantics::Retryable => api::Idempotency::Idempotent,
            Semantics::Fragile => api::Idempotency::NonIdempotent,
            Semantics::Dedup => {
                api::Idempotency::Keyed { dedup_window_ms: class.window, scope: dedup_scope(&class.group) }
            }
        },
    }
}

fn dedup_scope(group: &DedupScope) -> api::DedupScope {
    match group {
        DedupScope::All => api::DedupScope::All,
        DedupScope::Zone => api::DedupScope::Zone,
        DedupScope::Cell => api::DedupScope::Cell,
    }
}

fn caps(caps: &json::Caps) -> api::Caps {
    api::Caps {
        cancelling: caps.cancelling,
        retry_after: caps.retry_after,
        max_retry_after_ms: caps.max_retry_after,
        max_attempts: caps.try_limit,
    }
}

fn rules(guarantees: &json::Guarantees) -> api::Rules {
    api::Rules {
        initial_capacity: guarantees.cold_from,
        warm_up_ms: guarantees.cold,
        overload_multiple: guarantees.fall_multiple,
        max_silence_ms: guarantees.ask_within,
        idle_close_within_ms: guarantees.release_within,
        key_settle_ms: guarantees.settle_after_doubt,
    }
}
