//! Every decision of a balancer copy: one learned concurrency limit, split into slices by worth, over a
//! load-sized subset of the tier. The interface (settings, events, actions) is in `src/balancer/interface/`.

mod admission;
mod attempts;
mod backends;
mod fleet;
mod health;
mod housekeep;
pub mod interface;
mod limiter;
mod list;
mod ordered_sum;
mod pick;
pub mod platform_settings;
mod roster;
mod state;
mod subset;
mod view;

use self::admission::RETRY_DEPTH;
use self::attempts::HOLD;
use self::backends::Backends;
use self::housekeep::HOUSEKEEPING;
use self::list::{ASK, ASK_FIRST, RELIST};
use self::state::{Latency, Limiter, Line, Request, Roster, Segment, Slice};
use self::subset::CROSS_CHEAP;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const HOUSE_TICKS: f64 = 10.0; // ticks between housekeepings: often enough for holds, rare enough to be cheap

/// One balancer copy. See the crate's documentation for how a proxy drives it.
#[derive(Default)]
pub struct Balancer {
    s: Settings,
    rng: fastrand::Rng,
    started: bool,
    backends: Backends,
    roster: Roster,
    busy: BTreeSet<BackendId>, // those with calls out, and some whose last has just ended
    subset: Vec<BackendId>,
    segments: [Segment; 2], // what the subset is, of the roster's parts
    spill: f64,             // share of calls that are to leave the zone ...
    drift: f64,             // ... and its slow part
    excess: [f64; 2],       // latency over the baseline, in aims: in the zone, beyond it
    width: f64,
    weight: f64,
    capacity: f64,                         // backends in the list, cold ones in part
    member_rate: f64,                      // answers per ms that a warm member has proved to give
    requests: HashMap<RequestId, Request>, // looked up, never iterated: its order decides nothing
    lines: BTreeMap<u64, Line>,
    limiter: Limiter,
    slices: Vec<Slice>, // most worth first
    slice_of: Vec<[usize; 2]>,
    buckets: Vec<(f64, f64)>,
    inflight: f64,
    peak: f64,
    error: f64,
    heard: f64,
    retry_tokens: f64,
    house: f64,
    ask_backoff: f64,
    asking: bool,
    relisting: bool, // a timer for it is out
    hold: f64,
    processes: f64,                   // processes that share this copy's cold budgets
    present: f64,                     // copies that share what the fleet shares ...
    fleet: f64,                       // ... and by how many it is divided so far
    place: [f64; 2],                  // this copy's place among so many
    routes: BTreeMap<BackendId, f64>, // the route table's weights, listed or not
    heaviest: f64,                    // weight of the heaviest in the ring
    turn: f64,                        // the latest turn that was taken
    slowness_moved: bool,             // a member's, since `usual` was found
    usual: f64, // the middle one of the members' slownesses: one slow member of few moves the mean of all
    scatter: f64, // mean square of an answer's latency over its class's mean, beside that mean
}

impl Balancer {
    /// Starts a copy that knows nothing yet; `seed` feeds its only random numbers.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        crate::check(&settings)?;
        let mean =
            settings.classes.iter().map(|c| c.priority_weight).sum::<f64>() / settings.classes.len() as f64;
        let (even, over) = (settings.goal.worst_class_weight, settings.over_quota_weight);
        // The goal's weight on the worst-served class is worth that every class has alike.
        let worth = |c: &Class| (1.0 - even) * c.priority_weight / mean.max(1e-9) + even;
        let worths: Vec<[f64; 2]> = settings.classes.iter().map(|c| [worth(c), worth(c) * over]).collect();
        let demoted = usize::from(settings.tier == 0 && !settings.tenants.is_empty());
        let mut levels: Vec<f64> = worths.iter().flat_map(|w| w[..=demoted].to_vec()).collect();
        levels.sort_by(|a, b| b.total_cmp(a));
        levels.dedup_by(|a, b| (*a - *b).abs() < 1e-9);
        // Work beyond its tenant's share has no claim but what is left over and the floor of one slot.
        let claim = |l: &f64| if worths.iter().any(|w| (w[0] - l).abs() < 1e-9) { *l } else { 0.0 };
        let sum = levels.iter().map(claim).sum::<f64>().max(1e-9);
        let place = |w: f64| levels.iter().position(|l| (l - w).abs() < 1e-9).unwrap_or(0);
        let classes = settings
            .classes
            .iter()
            .map(|c| Latency { aim: c.latency_objective_ms, ..Latency::default() })
            .collect();
        let home = (settings.goal.cross_zone_price > CROSS_CHEAP).then_some(settings.zone);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            slice_of: worths.iter().map(|w| w.map(place)).collect(),
            slices: levels.iter().map(|l| Slice { share: claim(l) / sum, ..Slice::default() }).collect(),
            limiter: Limiter { classes, ..Limiter::default() },
            roster: Roster::at(home),
            buckets: vec![(f64::MAX, 0.0); settings.tenants.len()],
            retry_tokens: RETRY_DEPTH,
            ask_backoff: 1.0,
            capacity: 1.0,
            processes: 1.0,
            present: f64::from(settings.instance_count),
            fleet: f64::from(settings.instance_count),
            place: [f64::from(settings.instance_index), f64::from(settings.instance_count)],
            scatter: 1.0,
            usual: 1.0,
            // One for all classes: in a full queue the longer hold would take every slot of its slice.
            hold: HOLD[settings.tier.min(1) as usize]
                * settings.classes.iter().map(|c| c.latency_objective_ms).fold(f64::MAX, f64::min),
            s: settings,
            ..Balancer::default()
        })
    }

    /// Takes one event at clock time `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            (self.started, self.house, self.heard) = (true, now, now);
            out.push(Action::SetTimer { delay_ms: self.period(), token: HOUSEKEEPING });
            let nobody = matches!(&event, Event::List { entries, .. } if entries.is_empty());
            if self.s.must_subscribe && nobody {
                // It can serve nobody until it has a list.
                out.push(Action::Watch { on: true });
            } else if self.s.must_subscribe {
                // Copies start together: the first call is spread so that discovery is not run over.
                let share = 0.4 * self.rng.f64();
                self.ask_later(share, ASK_FIRST, out);
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries, out),
            Event::Request(arrival) => self.on_request(now, &arrival, out),
            Event::BodyComplete { request, deadline_ms: deadline } => self.on_whole(now, request, deadline),
            Event::Resolved(resolved) => self.on_resolved(now, &resolved, out),
            Event::LocalProcesses { processes } => self.processes = f64::from(processes.max(1)),
            Event::Peers { alive, known, rank } => self.on_peers(now, alive, known, rank),
            Event::RouteWeights { weights } => self.on_weights(now, weights),
            Event::ClientGone { request } => self.end(now, request, out),
            Event::TimerFired { token: HOUSEKEEPING } => self.housekeep(now, out),
            Event::TimerFired { token: ASK } => {
                self.asking = false;
                out.push(Action::Watch { on: true });
            }
            Event::TimerFired { token: RELIST } => {
                self.relisting = false;
                self.doubt(out);
                out.extend(self.relisting.then_some(Action::Resync));
            }
            Event::TimerFired { .. } => {}
        }
        self.free_held(now, false, out);
    }

    pub(super) fn period(&self) -> f64 {
        (self.s.tick_ms * HOUSE_TICKS).max(1.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/balancer/steps.rs"]
mod steps;
