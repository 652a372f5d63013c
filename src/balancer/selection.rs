//! Selection: which endpoint gets the next attempt.
//!
//! Two endpoints that can take the attempt are drawn at random, by their weights in the route table, and the
//! one with the lower cost is used (power of two choices). Of two with the same cost it is the one whose fair
//! turn (weighted fair queueing by virtual time) comes first. Candidates are the subset's endpoints in one
//! zone partition, then the subset, then all endpoints, and at last the subset with those that are out of
//! service.

use super::Balancer;
use super::endpoint_set::LOCAL;
use super::endpoints::Endpoint;
use super::request::Request;
use crate::interface::*;
use std::cmp::Ordering;

/// Random draws for one selection, including those that the route table's weights reject.
const MAX_DRAWS: usize = 96;
/// Endpoints drawn by weight for one selection, including those that cannot take the attempt.
const MAX_CANDIDATES: usize = 12;
/// Virtual time (turns) that an endpoint without calls can fall behind, to be made up for later.
const MAX_CREDIT: f64 = 8.0;
/// Smallest weight to divide by.
const MIN_DIVISOR_WEIGHT: f64 = 1e-6;
/// Cost of an error rate of 1, in calls: a failed call costs more than a slow one.
const ERROR_COST: f64 = 8.0;
/// Cost of a call to another zone, in calls, where crossing zones has a price.
const CROSS_ZONE_COST: f64 = 0.5;

/// Virtual time of the fair turns, and the weights that draws are relative to.
#[derive(Default)]
pub(super) struct Selection {
    /// Latest turn that was taken.
    pub(super) virtual_time: f64,
    /// Mean weight of the endpoints that take work.
    pub(super) mean_weight: f64,
    /// Heaviest weight of the route table among them.
    pub(super) max_route_weight: f64,
}

/// Endpoints to draw from.
struct Candidates<'a> {
    ids: &'a [BackendId],
    /// Nothing else is left: endpoints that are ejected or have weight 0 in the route table are used too.
    last_resort: bool,
}

impl Balancer {
    /// An endpoint gets a call: its next fair turn comes the later the smaller its weight. One without calls
    /// for long gets a limited credit for its missed turns.
    pub(super) fn take_fair_turn(&mut self, id: BackendId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let virtual_start = endpoint.virtual_finish.max(self.selection.virtual_time - MAX_CREDIT);
        self.selection.virtual_time = self.selection.virtual_time.max(virtual_start);
        endpoint.virtual_finish = virtual_start + 1.0 / endpoint.route_weight.max(MIN_DIVISOR_WEIGHT);
    }

    /// Whether an endpoint can take the next attempt of a request.
    ///
    /// It cannot while it drains, while its warm-up budget is used up, or if it had the previous attempt. An
    /// ejected one can take a trial, a request that may run twice, once its time is up; one that the route
    /// table gives weight 0 only as a last resort. Repeats of a keyed request stay in the zone or cell that
    /// drops them.
    fn can_take(&self, now_ms: f64, request: &Request, id: BackendId, last_resort: bool) -> bool {
        let Some(endpoint) = self.endpoints.get(&id).filter(|e| e.is_ready()) else { return false };
        let idempotency = self.settings.classes[request.class].idempotency;
        let warming_up = endpoint.warm_up_fraction(&self.settings.rules, now_ms) < 1.0;
        if warming_up && endpoint.warm_up_tokens < 1.0 {
            return false;
        }
        if endpoint.route_weight <= 0.0 && !last_resort {
            return false;
        }
        let may_run_twice = idempotency != Idempotency::NonIdempotent && !request.body_pending;
        let trial = may_run_twice && endpoint.is_due_for_trial(now_ms);
        if endpoint.ejected() && !last_resort && !trial {
            return false;
        }
        if request.attempts.last().is_some_and(|attempt| attempt.backend == id) {
            return false;
        }
        let Idempotency::Keyed { scope, .. } = idempotency else { return true };
        let Some(first) = request.first_that_may_have_run() else { return true };
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => endpoint.entry.zone == first.zone,
            DedupScope::Cell => endpoint.entry.cell == first.cell,
        }
    }

    /// Expected wait at an endpoint: its calls of this instance over its weight, times its relative latency,
    /// its errors and what it lacks of its capacity. A trial of an ejected one is free.
    fn cost(&self, now_ms: f64, endpoint: &Endpoint) -> f64 {
        let call_cost = if endpoint.ejected() && endpoint.calls.is_empty() {
            0.0
        } else {
            self.outliers.significant_relative_latency(endpoint) * (1.0 + ERROR_COST * endpoint.error_rate)
                / endpoint.warm_up_fraction(&self.settings.rules, now_ms)
        };
        let remote = endpoint.entry.zone != self.settings.zone;
        let crossing =
            if remote && self.settings.goal.cross_zone_price > 0.0 { CROSS_ZONE_COST } else { 0.0 };
        let calls = endpoint.calls.len() as f64;
        let weight = endpoint.weight().max(MIN_DIVISOR_WEIGHT);
        (calls * self.selection.mean_weight / weight + 1.0 + crossing) * call_cost
    }

    /// Selects the endpoint of a request's next attempt.
    pub(super) fn select(&mut self, now_ms: f64, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let mut rng = self.rng.clone();
        let subset = &self.subset.members;
        let rounds = [
            Candidates { ids: self.preferred_zone(&mut rng), last_resort: false },
            Candidates { ids: subset, last_resort: false },
            Candidates { ids: &self.endpoint_set.members, last_resort: false },
            Candidates { ids: subset, last_resort: true },
        ];
        let selected =
            rounds.iter().find_map(|candidates| self.draw_cheaper(now_ms, request, candidates, &mut rng));
        self.rng = rng;
        selected
    }

    /// The subset's endpoints in the local zone, or in other zones for the share of calls that is spilled.
    fn preferred_zone(&self, rng: &mut fastrand::Rng) -> &[BackendId] {
        let (local, remote) = self.subset.members.split_at(self.subset.segments[LOCAL].taken);
        let spilled = local.is_empty() || rng.f64() < self.zone_spill.fraction && !remote.is_empty();
        if spilled { remote } else { local }
    }

    /// Draws two candidates that can take the attempt; the cheaper one, or the one that was found.
    fn draw_cheaper(
        &self,
        now_ms: f64,
        request: &Request,
        candidates: &Candidates,
        rng: &mut fastrand::Rng,
    ) -> Option<BackendId> {
        let ids = candidates.ids;
        let max_route_weight = self.selection.max_route_weight;
        let draw = |_| {
            let id = ids[rng.usize(..ids.len())];
            let weight = self.endpoints[&id].route_weight;
            (weight >= max_route_weight || rng.f64() * max_route_weight < weight).then_some(id)
        };
        let max_draws = if ids.is_empty() { 0 } else { MAX_DRAWS };
        let mut drawn = (0..max_draws).filter_map(draw).take(MAX_CANDIDATES);
        let can_take = |id: &BackendId| self.can_take(now_ms, request, *id, candidates.last_resort);
        let first = drawn.find(can_take)?;
        let Some(second) = drawn.find(|id| *id != first && can_take(id)) else { return Some(first) };
        Some(if self.is_cheaper(now_ms, second, first) { second } else { first })
    }

    fn is_cheaper(&self, now_ms: f64, id: BackendId, than: BackendId) -> bool {
        let (endpoint, other) = (&self.endpoints[&id], &self.endpoints[&than]);
        match self.cost(now_ms, endpoint).partial_cmp(&self.cost(now_ms, other)) {
            Some(Ordering::Less) => true,
            Some(Ordering::Equal) => self.outliers.fair_turn(endpoint) < self.outliers.fair_turn(other),
            _ => false,
        }
    }
}
