//! The platform's JSON object, with the platform's names for the keys. The keys are a contract with the
//! platform, and the names of the types appear in error messages ("expected struct Text") that operators
//! know, so neither follows this project's terms.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// Deserializes a number that must be finite and not negative.
fn non_negative<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let x = f64::deserialize(d)?;
    if x.is_finite() && x >= 0.0 { Ok(x) } else { Err(D::Error::custom("must be finite and not negative")) }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Text {
    pub(super) slot_no: u32,
    pub(super) peers_total: u32,
    pub(super) tier: u32,
    pub(super) locality: u16,
    #[serde(default)]
    pub(super) localities: Vec<String>,
    #[serde(deserialize_with = "non_negative")]
    pub(super) tick: f64,
    #[serde(deserialize_with = "non_negative")]
    pub(super) over_share_worth: f64,
    pub(super) discovery: Discovery,
    pub(super) classes: Vec<Class>,
    pub(super) tenants: Vec<Tenant>,
    pub(super) caps: Caps,
    pub(super) guarantees: Guarantees,
    #[serde(default)]
    pub(super) goal: Goal,
    #[serde(default)]
    pub(super) prices: Prices,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Class {
    #[serde(default)]
    pub(super) name: String,
    #[serde(deserialize_with = "non_negative")]
    pub(super) aim: f64,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) give_up: f64,
    #[serde(deserialize_with = "non_negative")]
    pub(super) points: f64,
    pub(super) semantics: Semantics,
    pub(super) group: DedupScope,
    #[serde(deserialize_with = "non_negative")]
    pub(super) window: f64,
    #[serde(default)]
    pub(super) fifo_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) enum Semantics {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Tenant {
    #[serde(default)]
    pub(super) name: String,
    #[serde(deserialize_with = "non_negative")]
    pub(super) quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Caps {
    pub(super) cancelling: bool,
    pub(super) retry_after: bool,
    #[serde(deserialize_with = "non_negative")]
    pub(super) max_retry_after: f64,
    pub(super) try_limit: u32,
    #[serde(default)]
    pub(super) open_cap: usize,
    #[serde(default)]
    pub(super) may_duplicate: bool,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) conn_idle: f64,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) connect_timeout: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Guarantees {
    #[serde(deserialize_with = "non_negative")]
    pub(super) cold_from: f64,
    #[serde(deserialize_with = "non_negative")]
    pub(super) cold: f64,
    #[serde(deserialize_with = "non_negative")]
    pub(super) fall_multiple: f64,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) ask_within: f64,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) release_within: f64,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) settle_after_doubt: f64,
    #[serde(default, deserialize_with = "non_negative")]
    pub(super) stop_sending_within: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Goal {
    #[serde(deserialize_with = "non_negative")]
    pub(super) worst_class: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Prices {
    #[serde(deserialize_with = "non_negative")]
    pub(super) cross_zone: f64,
}
