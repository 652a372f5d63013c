//! The input of an evaluation: the tables, the endpoint list and the bounds.

use super::Segment;
use crate::route_table::{Revision, Weights};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A backend of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Name of the backend (`host` in the list).
    pub host: String,
    /// Machine class of the backend.
    pub class: String,
    /// Zone of the backend (`site` in the list).
    pub zone: String,
    /// Size of the backend relative to the others (`share` in the list).
    pub share: f64,
}

/// Bounds of an evaluation: the requirements on the records and the back-test, and the changes a proposal may bring.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Minimum share of the fleet's time in the window, less dropped traces, that must have been recorded.
    pub coverage: f64,
    /// Length (ms) of the window of records that is used; it ends with the newest record.
    pub span_ms: f64,
    /// Maximum age (ms) of the newest record.
    pub age_ms: f64,
    /// Back-test: maximum relative error of a backend's share of calls, besides chance.
    pub share: f64,
    /// Back-test: maximum relative error of a class's median latency, besides chance.
    pub p50: f64,
    /// Back-test: maximum relative error of a class's 99th percentile of latency, besides chance.
    pub p99: f64,
    /// Multiple of the calls in flight observed at a backend above which a prediction counts as extrapolation.
    pub unseen: f64,
    /// Maximum peak of calls in flight at a backend, as a multiple of its capacity.
    pub peak: f64,
    /// Maximum 99th percentile of a class's latency, as a multiple of that under the table in force.
    pub p99_growth: f64,
    /// Maximum increase of the share of a class's requests that are refused, over the table in force.
    pub refused: f64,
    /// Maximum increase of the share of a class's requests that fail, over the table in force.
    pub failed: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            coverage: 0.7,
            span_ms: 120_000.0,
            age_ms: 900_000.0,
            share: 0.15,
            p50: 0.15,
            p99: 0.25,
            unseen: 1.5,
            peak: 1.0,
            p99_growth: 1.5,
            refused: 0.01,
            failed: 0.01,
        }
    }
}

/// A proposal to evaluate, with everything but the records that its evaluation depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Revision of the table in force.
    pub from: Revision,
    /// Weights of the table in force.
    pub in_force: Weights,
    /// Weights of the proposed table.
    pub proposal: Weights,
    /// Version of the endpoint list.
    pub list_version: u64,
    /// Backends of the endpoint list.
    pub listed: Vec<Listed>,
    /// Number of proxies of the tier that should have recorded; 0 for the number in their settings.
    pub fleet: usize,
    /// Tier of the proxies, as in their settings. The segments of other tiers serve to align the clocks only. `None` where
    /// there is only one tier.
    pub tier: Option<u32>,
    /// Time of the evaluation, Unix time in milliseconds.
    pub now_ms: f64,
    /// Bounds that the records, the back-test and the proposal are checked against.
    pub bounds: Bounds,
    /// Seed of the first replay; each further replay takes the next one.
    pub seed: u64,
    /// Number of replays of each table, each with its own seed.
    pub seeds: usize,
    /// Number of threads that replay in parallel. The verdict does not depend on it.
    pub threads: usize,
}

/// Names of the backends that the segment or the list lacks or that differ in class, zone or size.
pub(super) fn differing_backends(segment: &Segment, listed: &BTreeMap<&str, &Listed>) -> BTreeSet<String> {
    let is_listed = |(host, class, zone, share): &&(String, String, String, f64)| {
        listed.get(host.as_str()).is_some_and(|l| (&l.class, &l.zone, l.share) == (class, zone, *share))
    };
    let recorded: BTreeSet<&str> = segment.backends.iter().map(|b| b.0.as_str()).collect();
    let unlisted = segment.backends.iter().filter(|b| !is_listed(b)).map(|b| b.0.clone());
    unlisted.chain(listed.keys().filter(|h| !recorded.contains(**h)).map(|h| h.to_string())).collect()
}

impl Job {
    /// Backends of the endpoint list by name.
    pub(super) fn by_name(&self) -> BTreeMap<&str, &Listed> {
        self.listed.iter().map(|l| (l.host.as_str(), l)).collect()
    }

    /// Interpolates linearly between the weights of the table in force (share 0) and of the proposal (share 1).
    pub fn interpolate(&self, share: f64) -> Weights {
        let interpolated = |from: &BTreeMap<String, f64>, to: &BTreeMap<String, f64>| {
            let weight_in = |map: &BTreeMap<String, f64>, key: &String| map.get(key).copied().unwrap_or(1.0);
            let weight = |key: &String| {
                (key.clone(), weight_in(from, key) * (1.0 - share) + weight_in(to, key) * share)
            };
            from.keys().chain(to.keys()).map(weight).collect()
        };
        Weights {
            backends: interpolated(&self.in_force.backends, &self.proposal.backends),
            classes: interpolated(&self.in_force.classes, &self.proposal.classes),
            zones: interpolated(&self.in_force.zones, &self.proposal.zones),
        }
    }
}
