//! A fleet on a simulated clock whose proxies record: the module decides, backends are queues before slots (nothing of
//! the model), work is exponential. For tests and the benchmark.
#![allow(dead_code)]

mod fleet;

use fleet::{Fleet, What};
use load_balancer::interface::*;
use load_balancer::replay::{Bounds, Job, Listed, Peers, Recorder, RecorderConfig, Segment};
use load_balancer::route_table::Weights;
use load_balancer::{Balancer, backend_id};
use serde_json::json;
use std::collections::{BTreeMap, BinaryHeap};

/// Unix time at which the fleet starts, ms.
pub const START: f64 = 1.8e12;

#[derive(Clone)]
pub struct World {
    pub proxies: usize,
    pub backends: usize,
    /// Calls that a backend works on at once; the others wait.
    pub slots: usize,
    pub work_ms: f64,
    /// Requests a second at each proxy.
    pub rate: f64,
    pub seconds: f64,
    pub weights: Weights,
    pub sampled: u32,
    pub seed: u64,
    /// Proxies are parted by membership alone: each one's settings say that it is the first.
    pub ranked: bool,
    /// By how much a proxy's clock is off, ms.
    pub off: BTreeMap<usize, f64>,
}

impl Default for World {
    fn default() -> Self {
        World {
            proxies: 8,
            backends: 8,
            slots: 8,
            work_ms: 50.0,
            rate: 60.0,
            seconds: 40.0,
            weights: Weights::default(),
            sampled: 65_536,
            seed: 1,
            ranked: false,
            off: BTreeMap::new(),
        }
    }
}

/// Weights of some backends.
pub fn weights(of: &[(&str, f64)]) -> Weights {
    Weights { backends: of.iter().map(|(name, w)| (name.to_string(), *w)).collect(), ..Weights::default() }
}

fn settings(copy: usize, copies: usize) -> String {
    let class = |name: &str| json!({"name": name, "aim": 2000.0, "points": 1.0, "semantics": "retryable", "group": "all", "window": 2000.0});
    json!({
        "slotNo": copy, "peersTotal": copies, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [], "classes": [class("look"), class("book")],
        "caps": {"cancelling": true, "retryAfter": true, "maxRetryAfter": 1000.0, "tryLimit": 3},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0}
    })
    .to_string()
}

impl World {
    pub fn listed(&self) -> Vec<Listed> {
        let one = |b| Listed { host: format!("s{b}"), class: "m".into(), zone: "a".into(), share: 1.0 };
        (0..self.backends).map(one).collect()
    }

    /// A proposal to be judged right after the fleet ran.
    pub fn job(&self, proposal: Weights) -> Job {
        Job {
            from: 1,
            in_force: self.weights.clone(),
            proposal,
            list_version: 7,
            listed: self.listed(),
            fleet: 0,
            tier: None,
            now_ms: START + 1000.0 * self.seconds,
            bounds: Bounds::default(),
            seed: 1,
            seeds: 3,
            threads: 3,
        }
    }

    /// Runs the fleet: the segments, and the calls that each backend got in the last three quarters.
    pub fn run(&self) -> (Vec<Segment>, Vec<u64>) {
        let listed = self.listed();
        let numbers: Vec<BackendId> = listed.iter().map(|l| backend_id(&l.host)).collect();
        let mut fleet = Fleet {
            w: self,
            rng: fastrand::Rng::with_seed(self.seed),
            copies: Vec::new(),
            due: BinaryHeap::new(),
            made: 0,
            requests: Vec::new(),
            calls: Vec::new(),
            queues: vec![Default::default(); self.backends],
            places: numbers.iter().copied().zip(0..).collect(),
            flight: vec![vec![0; self.backends]; self.proxies],
            segments: Vec::new(),
            sent: vec![0; self.backends],
        };
        for copy in 0..self.proxies {
            let text = if self.ranked { settings(0, self.proxies) } else { settings(copy, self.proxies) };
            let facts = load_balancer::platform_settings::parse(text.as_bytes()).expect("settings");
            let config = RecorderConfig {
                name: format!("p{copy}"),
                generation: 1,
                zone: "a".into(),
                settings: text,
                sampled: self.sampled,
                max_traces: 60_000,
                max_span_ms: 5000.0,
            };
            let start = fleet.clock(copy, 0.0);
            let mut recorder = Recorder::new(config, start);
            assert!(recorder.set_table(start, 1).is_none());
            assert!(recorder.set_list(start, 7, numbers.iter().copied().zip(listed.clone())).is_none());
            if self.ranked {
                let (alive, known, rank) = (self.proxies as u32, self.proxies as u32, Some(copy as u32));
                recorder.set_peers(Peers { alive, known, rank });
            }
            let balancer = Balancer::new(facts.settings, self.seed * 1000 + copy as u64).expect("starts");
            fleet.copies.push((balancer, recorder));
            let entry =
                |(l, &backend): (&Listed, &BackendId)| Entry { backend, weight: l.share, ..Entry::default() };
            let entries = listed.iter().zip(&numbers).map(entry).collect();
            let weight =
                |(l, &backend): (&Listed, &BackendId)| (backend, self.weights.of(&l.host, &l.class, &l.zone));
            let weights = listed.iter().zip(&numbers).map(weight).collect();
            fleet.tell(0.0, copy, Event::RouteWeights { weights });
            fleet.tell(0.0, copy, Event::List { kind: ListKind::Full, entries });
            if self.ranked {
                let (alive, rank) = (self.proxies as u32, Some(copy as u32));
                fleet.tell(0.0, copy, Event::Peers { alive, known: alive, rank });
            }
            let first = fleet.gap();
            fleet.plan(first, What::Arrival(copy));
        }
        fleet.play();
        (fleet.segments, fleet.sent)
    }
}
