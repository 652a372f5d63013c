//! Updates of the endpoint list and of the route table's weights: applies them when they arrive, and
//! subscribes to the list when the subscription timer fires. `list_guard` decides whether the removals of an
//! update are applied at once.

use super::endpoints::Endpoint;
use super::fleet_share::GOLDEN_RATIO;
use super::subset::MIN_INSTANCES_PER_ENDPOINT;
use super::{Balancer, Timer};
use crate::interface::*;
use std::collections::BTreeMap;

// A change must be known 6 s after discovery has it, even if the settings allow a longer silence. Three
// failed calls and the delays before and after them fit into that time: the first call is made within 2 s,
// each further one within 1 s.
/// Upper bound (ms) of the time of which the delay before the first call is a random share.
const FIRST_CALL_MAX_MS: f64 = 5000.0;
/// Upper bound (ms) of the time of which the delay before a repeated call is a random share.
const REPEATED_CALL_MAX_MS: f64 = 1500.0;
/// Largest share of [`FIRST_CALL_MAX_MS`], or of a shorter longest silence, that delays the first call.
const FIRST_CALL_SHARE: f64 = 0.4;
/// Share of [`REPEATED_CALL_MAX_MS`], or of a shorter longest silence, that delays the repetition of a failed
/// call, before backoff and jitter.
const REPEATED_CALL_SHARE: f64 = 0.1;
/// Largest factor of the backoff.
const MAX_BACKOFF: f64 = 4.0;
/// Number of distinct offsets that are derived from endpoint ids; a prime.
const ID_OFFSETS: u32 = 8191;

/// State of the list subscription, and the weights from the route table.
pub(super) struct ListUpdates {
    backoff: f64,
    /// Whether the timer for the next call is set.
    pub(super) subscribe_timer_set: bool,
    /// Route table weights by endpoint, including endpoints that are not listed.
    route_weights: BTreeMap<BackendId, f64>,
}

impl ListUpdates {
    pub(super) fn new() -> Self {
        ListUpdates { backoff: 1.0, subscribe_timer_set: false, route_weights: BTreeMap::new() }
    }

    /// Returns an endpoint's weight in the route table, or 1 if it has none there.
    fn route_weight(&self, id: BackendId) -> f64 {
        self.route_weights.get(&id).copied().unwrap_or(1.0)
    }
}

impl Balancer {
    /// Subscribes to the list at start, where the settings require it: at once if the first event is an empty
    /// list, since nothing can be served without endpoints; otherwise after a random delay, since instances
    /// that start together would overload discovery.
    pub(super) fn subscribe_at_start(&mut self, first: &Event, out: &mut Vec<Action>) {
        if !self.settings.must_subscribe {
            return;
        }
        if matches!(first, Event::List { entries, .. } if entries.is_empty()) {
            out.push(Action::Watch { on: true });
            return;
        }
        let share = FIRST_CALL_SHARE * self.rng.f64();
        self.schedule_call(share, FIRST_CALL_MAX_MS, out);
    }

    /// Sets the timer for the next call to a share of `max_ms`, or of the longest silence if that is shorter,
    /// unless it is already set.
    fn schedule_call(&mut self, share: f64, max_ms: f64, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.list_updates.subscribe_timer_set, true) {
            let delay_ms = share * self.settings.rules.max_silence_ms.min(max_ms);
            out.push(Timer::Subscribe.set(delay_ms));
        }
    }

    /// Schedules the repetition of a failed call with backoff and jitter, so that instances whose calls
    /// failed together do not repeat them together.
    fn repeat_failed_call(&mut self, out: &mut Vec<Action>) {
        let share = REPEATED_CALL_SHARE * self.list_updates.backoff * (0.5 + self.rng.f64());
        self.list_updates.backoff = (self.list_updates.backoff * 2.0).min(MAX_BACKOFF);
        self.schedule_call(share, REPEATED_CALL_MAX_MS, out);
    }

    /// Applies a full list or a delta, or schedules a new call after a failed one.
    pub(super) fn on_list(
        &mut self,
        now_ms: f64,
        kind: ListKind,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            return self.repeat_failed_call(out);
        }
        self.list_updates.backoff = 1.0;
        let was_empty = self.endpoint_set.members.is_empty();
        if kind != ListKind::Delta {
            self.endpoints.iter_mut().for_each(|(_, endpoint)| endpoint.entry.phase = Phase::Gone);
            self.endpoint_set.changed = self.endpoints.iter().map(|(id, _)| *id).collect();
            self.endpoint_set.suspected_removals.clear();
        }
        for entry in entries {
            self.apply_entry(now_ms, entry, out);
        }
        self.apply_removals(now_ms, kind, out);
        if kind != ListKind::Delta {
            self.endpoint_set.clear();
        }
        self.update_endpoint_set(now_ms);
        if was_empty {
            let limit = &mut self.concurrency_limit.limit;
            *limit = limit.max(MIN_INSTANCES_PER_ENDPOINT * self.subset.width);
        }
    }

    /// Applies an entry to its endpoint's record. A new process starts without the measurements of the old
    /// one.
    fn apply_entry(&mut self, now_ms: f64, entry: Entry, out: &mut Vec<Action>) {
        let id = entry.backend;
        let known = self.endpoints.contains_key(&id);
        self.endpoint_set.changed.insert(id);
        let endpoint = self.endpoints.get_or_insert(id);
        if entry.phase == Phase::Gone {
            // The rest of the old entry is kept: the removal may turn out to be wrong.
            endpoint.entry.phase = Phase::Gone;
            if !self.endpoint_set.has(id) {
                self.close_idle_if_draining(id, out);
            }
            return;
        }
        if !known || endpoint.entry.started_at_ms != entry.started_at_ms {
            // Instances that learn of the process together start its warm-up budget at different offsets, so
            // that their first sends do not coincide.
            let index = f64::from(self.settings.instance_index);
            let offset = (index + f64::from(id % ID_OFFSETS)) * GOLDEN_RATIO;
            *endpoint = Endpoint {
                calls: std::mem::take(&mut endpoint.calls),
                relative_latency: 1.0,
                last_answer_ms: now_ms,
                warm_up_tokens: offset.fract(),
                route_weight: self.list_updates.route_weight(id),
                virtual_finish: self.selection.virtual_time,
                ..Endpoint::default()
            };
        }
        endpoint.entry = entry;
        endpoint.unlisted_since_ms = None;
        self.endpoint_set.suspected_removals.remove(&id);
        self.close_idle_if_draining(id, out);
    }

    /// Applies the noted changes to the set of endpoints that take work, and updates the weights and the
    /// subset. The record of a removed endpoint is dropped once its calls are over.
    pub(super) fn update_endpoint_set(&mut self, now_ms: f64) {
        let mut changed = std::mem::take(&mut self.endpoint_set.changed);
        changed.retain(|id| {
            if self.endpoints.get(id).is_some_and(|e| e.is_gone() && e.calls.is_empty()) {
                self.endpoints.remove(id);
            }
            let endpoint = self.endpoints.get(id);
            self.endpoint_set.replace(*id, endpoint);
            endpoint.is_some_and(Endpoint::is_gone)
        });
        self.endpoint_set.changed = changed;
        let weights = self.endpoint_set.weight_sums();
        let members = self.endpoint_set.members.len() as f64;
        self.selection.mean_weight = weights.total / members.max(1.0);
        self.selection.max_route_weight = weights.max_route;
        self.resize_subset(now_ms, 0.0);
    }

    /// Applies the route table's weights; weights that are negative or not finite are ignored.
    pub(super) fn on_route_weights(&mut self, now_ms: f64, weights: Vec<(BackendId, f64)>) {
        let usable = |weight: f64| weight.is_finite() && weight >= 0.0;
        self.list_updates.route_weights = weights.into_iter().filter(|(_, weight)| usable(*weight)).collect();
        for (id, endpoint) in self.endpoints.iter_mut() {
            let route_weight = self.list_updates.route_weight(*id);
            if std::mem::replace(&mut endpoint.route_weight, route_weight) != route_weight {
                self.endpoint_set.changed.insert(*id);
            }
        }
        self.update_endpoint_set(now_ms);
    }

    /// Closes idle connections to an endpoint that is draining or removed: called when that becomes known and
    /// after each outcome at the endpoint.
    pub(super) fn close_idle_if_draining(&self, id: BackendId, out: &mut Vec<Action>) {
        let draining = self.endpoints.get(&id).is_some_and(|endpoint| !endpoint.is_ready());
        if draining && self.settings.rules.idle_close_within_ms > 0.0 {
            out.push(Action::CloseIdle { backend: id });
        }
    }
}
