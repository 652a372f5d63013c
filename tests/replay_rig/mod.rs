//! Simulates fleets whose proxies record their traffic, for tests and benchmarks of the replay.
//!
//! The proxies run the decision module on a simulated clock. Each backend is a queue in front of a number of slots with
//! exponential service times; it shares no code with the model of the replay.
#![allow(dead_code)]

mod fleet;

use fleet::{BackendQueue, Fleet, Proxy, SimulationEvent, backend_name};
use load_balancer::interface::*;
use load_balancer::replay::{Bounds, Job, Listed, Peers, Recorder, RecorderConfig, Segment};
use load_balancer::route_table::Weights;
use load_balancer::{Balancer, backend_id, platform_settings};
use serde_json::json;
use std::collections::{BTreeMap, BinaryHeap};

/// Unix time at which a simulation starts, ms.
pub const START_MS: f64 = 1.8e12;

/// Version of the endpoint list.
const LIST_VERSION: u64 = 7;

/// A fleet and its traffic.
#[derive(Clone)]
pub struct FleetScenario {
    pub proxies: usize,
    pub backends: usize,
    /// Calls that a backend serves at once; further ones wait.
    pub slots: usize,
    /// Mean service time of a call, ms.
    pub mean_service_ms: f64,
    /// Arrival rate at each proxy.
    pub requests_per_s: f64,
    pub duration_s: f64,
    /// Weights of the table in force.
    pub weights: Weights,
    /// Sampled requests of each 65,536.
    pub sampled: u32,
    pub seed: u64,
    /// Whether only membership tells the proxies their ranks: the settings of each say that it is the first.
    pub ranks_by_membership: bool,
    /// Errors of the proxies' clocks, ms.
    pub clock_offsets_ms: BTreeMap<usize, f64>,
}

/// The result of a simulation.
pub struct FleetRun {
    pub segments: Vec<Segment>,
    /// Calls sent to each backend in the last three quarters of the simulation.
    pub late_calls: Vec<u64>,
}

impl Default for FleetScenario {
    fn default() -> Self {
        FleetScenario {
            proxies: 8,
            backends: 8,
            slots: 8,
            mean_service_ms: 50.0,
            requests_per_s: 60.0,
            duration_s: 40.0,
            weights: Weights::default(),
            sampled: 65_536,
            seed: 1,
            ranks_by_membership: false,
            clock_offsets_ms: BTreeMap::new(),
        }
    }
}

/// A table with weights for some backends.
pub fn weights(backends: &[(&str, f64)]) -> Weights {
    let backends = backends.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    Weights { backends, ..Weights::default() }
}

/// Settings of a proxy in the platform's form.
fn settings(proxy: usize, proxies: usize) -> String {
    let class = |name: &str| json!({"name": name, "aim": 2000.0, "points": 1.0, "semantics": "retryable", "group": "all", "window": 2000.0});
    json!({
        "slotNo": proxy, "peersTotal": proxies, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [], "classes": [class("look"), class("book")],
        "caps": {"cancelling": true, "retryAfter": true, "maxRetryAfter": 1000.0, "tryLimit": 3},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0}
    })
    .to_string()
}

impl FleetScenario {
    /// The backends of the endpoint list.
    pub fn listed(&self) -> Vec<Listed> {
        let backend =
            |index| Listed { host: backend_name(index), class: "m".into(), zone: "a".into(), share: 1.0 };
        (0..self.backends).map(backend).collect()
    }

    /// The evaluation of a proposal at the end of the simulation.
    pub fn job(&self, proposal: Weights) -> Job {
        Job {
            from: 1,
            in_force: self.weights.clone(),
            proposal,
            list_version: LIST_VERSION,
            listed: self.listed(),
            fleet: 0,
            tier: None,
            now_ms: START_MS + 1000.0 * self.duration_s,
            bounds: Bounds::default(),
            seed: 1,
            seeds: 3,
            threads: 3,
        }
    }

    /// Simulates the fleet.
    pub fn run(&self) -> FleetRun {
        let ids = self.listed().iter().map(|backend| backend_id(&backend.host)).zip(0..).collect();
        let mut fleet = Fleet {
            scenario: self,
            rng: fastrand::Rng::with_seed(self.seed),
            proxies: Vec::new(),
            event_queue: BinaryHeap::new(),
            scheduled: 0,
            requests: Vec::new(),
            calls: Vec::new(),
            backend_queues: (0..self.backends).map(|_| BackendQueue::default()).collect(),
            backend_indices: ids,
            segments: Vec::new(),
            late_calls: vec![0; self.backends],
        };
        for proxy in 0..self.proxies {
            self.start_proxy(&mut fleet, proxy);
        }
        fleet.run();
        FleetRun { segments: fleet.segments, late_calls: fleet.late_calls }
    }

    /// Starts a proxy with the list, the weights and the membership, and schedules its first request.
    fn start_proxy(&self, fleet: &mut Fleet, proxy: usize) {
        let listed: Vec<(BackendId, Listed)> =
            self.listed().into_iter().map(|backend| (backend_id(&backend.host), backend)).collect();
        let peers =
            Peers { alive: self.proxies as u32, known: self.proxies as u32, rank: Some(proxy as u32) };
        let settings = settings(if self.ranks_by_membership { 0 } else { proxy }, self.proxies);
        let platform = platform_settings::parse(settings.as_bytes()).expect("the settings can be parsed");
        let config = RecorderConfig {
            name: format!("p{proxy}"),
            generation: 1,
            zone: "a".into(),
            settings,
            sampled: self.sampled,
            max_traces: 60_000,
            max_span_ms: 5000.0,
        };
        let start_ms = fleet.proxy_clock(proxy, 0.0);
        let mut recorder = Recorder::new(config, start_ms);
        assert!(recorder.set_table(start_ms, 1).is_none());
        assert!(recorder.set_list(start_ms, LIST_VERSION, listed.clone()).is_none());
        if self.ranks_by_membership {
            recorder.set_peers(peers);
        }
        let balancer = Balancer::new(platform.settings, self.seed * 1000 + proxy as u64)
            .expect("the decision module accepts the settings");
        fleet.proxies.push(Proxy { balancer, recorder, in_flight: vec![0; self.backends] });
        let entry = |(backend, listed): &(BackendId, Listed)| Entry {
            backend: *backend,
            weight: listed.share,
            ..Entry::default()
        };
        let entries = listed.iter().map(entry).collect();
        let weight = |(backend, listed): &(BackendId, Listed)| {
            (*backend, self.weights.of(&listed.host, &listed.class, &listed.zone))
        };
        let weights = listed.iter().map(weight).collect();
        fleet.deliver(0.0, proxy, Event::RouteWeights { weights });
        fleet.deliver(0.0, proxy, Event::List { kind: ListKind::Full, entries });
        if self.ranks_by_membership {
            let Peers { alive, known, rank } = peers;
            fleet.deliver(0.0, proxy, Event::Peers { alive, known, rank });
        }
        let first_arrival_ms = fleet.draw_interarrival_ms();
        fleet.schedule(first_arrival_ms, SimulationEvent::RequestArrives { proxy });
    }
}
