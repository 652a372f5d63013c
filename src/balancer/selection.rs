//! Endpoint selection for the next attempt.
//!
//! Two endpoints that can take the attempt are drawn at random, by their weights in the route table, and the
//! one with the lower cost is used (power of two choices). Among equal costs, the earlier fair turn (weighted
//! fair queueing by virtual time) decides. Candidates are the subset's endpoints in one zone partition, then
//! the whole subset, then all endpoints, and finally the subset including endpoints that are out of service.

use super::Balancer;
use super::endpoint_set::LOCAL;
use super::endpoints::Endpoint;
use super::request::Request;
use crate::interface::*;
use std::cmp::Ordering;

/// Most random draws from one set of candidates, including those that the route table's weights reject.
const MAX_DRAWS: usize = 96;
/// Most endpoints drawn by weight from one set of candidates, including those that cannot take the attempt.
const MAX_CANDIDATES: usize = 12;
/// Most virtual time (turns) that an idle endpoint can fall behind and later make up for.
const MAX_CREDIT: f64 = 8.0;
/// Lower bound of a weight used as a divisor.
const MIN_DIVISOR_WEIGHT: f64 = 1e-6;
/// Cost of an error rate of 1, in calls: a failed call costs more than a slow one.
const ERROR_COST: f64 = 8.0;
/// Cost of a call to another zone, in calls, where crossing zones has a price.
const CROSS_ZONE_COST: f64 = 0.5;

/// State of endpoint selection: the virtual time of the fair turns, and the weights that normalize the draws.
#[derive(Default)]
pub(super) struct Selection {
    /// Virtual start of the latest fair turn that was taken.
    pub(super) virtual_time: f64,
    /// Mean weight of the endpoints that take work.
    pub(super) mean_weight: f64,
    /// Largest route table weight among the endpoints that take work.
    pub(super) max_route_weight: f64,
}

/// A set of endpoints to draw from.
struct Candidates<'a> {
    ids: &'a [BackendId],
    /// Whether endpoints that are ejected or have weight 0 in the route table are used too, because no others
    /// are left.
    last_resort: bool,
}

impl Balancer {
    /// Advances an endpoint's fair turn when it gets a call: the smaller its weight, the later its next turn.
    /// An endpoint that was idle for long gets only a limited credit for the turns it missed.
    pub(super) fn take_fair_turn(&mut self, id: BackendId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let virtual_start = endpoint.virtual_finish.max(self.selection.virtual_time - MAX_CREDIT);
        self.selection.virtual_time = self.selection.virtual_time.max(virtual_start);
        endpoint.virtual_finish = virtual_start + 1.0 / endpoint.route_weight.max(MIN_DIVISOR_WEIGHT);
    }

    /// Returns whether an endpoint can take the next attempt of a request.
    ///
    /// It cannot while it drains, while its warm-up budget is used up, or if it had the previous attempt. An
    /// ejected endpoint can take a trial (a request that may run twice) once its ejection time is over. An
    /// endpoint with weight 0 in the route table is used only as a last resort. Repeats of a keyed request
    /// stay within the zone or cell that deduplicates them.
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

    /// Estimates the cost of one more call at an endpoint: this instance's calls there over its weight,
    /// scaled by its relative latency, its error rate and its missing capacity during warm-up. A trial of an
    /// ejected endpoint costs nothing.
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

    /// Returns the subset's endpoints in the local zone, or those in other zones for the share of calls that
    /// is spilled.
    fn preferred_zone(&self, rng: &mut fastrand::Rng) -> &[BackendId] {
        let (local, remote) = self.subset.members.split_at(self.subset.segments[LOCAL].len);
        let spilled = local.is_empty() || rng.f64() < self.zone_spill.fraction && !remote.is_empty();
        if spilled { remote } else { local }
    }

    /// Draws up to two candidates that can take the attempt and returns the cheaper one.
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
