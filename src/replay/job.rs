//! What is asked of a verdict.

use super::Segment;
use crate::route_table::{Revision, Weights};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A backend of the list in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name (`host` of the list).
    pub host: String,
    /// Its class of machine.
    pub class: String,
    /// Its zone (`site` of the list).
    pub zone: String,
    /// Its size beside the others' (`share` of the list).
    pub share: f64,
}

/// What a verdict must keep to.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Share of the fleet's time in the window, less dropped traces, of which there must be records.
    pub coverage: f64,
    /// Length of the records that are used, up to the newest, ms.
    pub span_ms: f64,
    /// Oldest that the newest record may be, ms.
    pub age_ms: f64,
    /// Back-test: a backend's share may be off by this part of it, beside chance.
    pub share: f64,
    /// Back-test: a class's median may be off by this part of it.
    pub p50: f64,
    /// Back-test: a class's 99th percentile may be off by this part of it.
    pub p99: f64,
    /// A backend may get so many times the calls in flight that were seen there before the replay is extrapolation.
    pub unseen: f64,
    /// Calls in flight at a backend, over what it bears, that break the proposal.
    pub peak: f64,
    /// A class's 99th percentile may grow to so many times that under the table in force.
    pub p99_growth: f64,
    /// Share of a class's requests that may be refused beyond those under the table in force.
    pub refused: f64,
    /// The same for failed ones.
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

/// What is to be judged.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Revision of the table in force.
    pub from: Revision,
    /// Its weights.
    pub in_force: Weights,
    /// The weights proposed.
    pub proposal: Weights,
    /// Version of the list.
    pub list_version: u64,
    /// The backends of the list.
    pub listed: Vec<Listed>,
    /// Proxies of the tier that should have recorded; 0 for as many as their settings say.
    pub fleet: usize,
    /// The tier, by its place in the settings: others' segments serve to set the clocks only. `None` where there is one.
    pub tier: Option<u32>,
    /// Unix time in milliseconds.
    pub now_ms: f64,
    /// What the verdict must keep to.
    pub bounds: Bounds,
    /// The first seed; each replay takes the next one.
    pub seed: u64,
    /// Replays of each table.
    pub seeds: usize,
    /// Threads that replay at once; the verdict is the same whatever their number.
    pub threads: usize,
}

/// Names of backends that one of both lacks or has otherwise.
pub(super) fn differ(segment: &Segment, listed: &BTreeMap<&str, &Listed>) -> BTreeSet<String> {
    let same = |(host, class, zone, share): &&(String, String, String, f64)| {
        listed.get(host.as_str()).is_some_and(|l| (&l.class, &l.zone, l.share) == (class, zone, *share))
    };
    let ours: BTreeSet<&str> = segment.backends.iter().map(|b| b.0.as_str()).collect();
    let strange = segment.backends.iter().filter(|b| !same(b)).map(|b| b.0.clone());
    strange.chain(listed.keys().filter(|h| !ours.contains(**h)).map(|h| h.to_string())).collect()
}

impl Job {
    pub(super) fn by_name(&self) -> BTreeMap<&str, &Listed> {
        self.listed.iter().map(|l| (l.host.as_str(), l)).collect()
    }

    /// The weights so far on the way from the table in force to the proposal, 0 to 1.
    pub fn step(&self, part: f64) -> Weights {
        let between = |from: &BTreeMap<String, f64>, to: &BTreeMap<String, f64>| {
            let of = |map: &BTreeMap<String, f64>, key: &String| map.get(key).copied().unwrap_or(1.0);
            let weight = |key: &String| (key.clone(), of(from, key) * (1.0 - part) + of(to, key) * part);
            from.keys().chain(to.keys()).map(weight).collect()
        };
        Weights {
            backends: between(&self.in_force.backends, &self.proposal.backends),
            classes: between(&self.in_force.classes, &self.proposal.classes),
            zones: between(&self.in_force.zones, &self.proposal.zones),
        }
    }
}
