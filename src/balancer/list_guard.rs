//! The list guard: defers suspicious removals from the endpoint list until they are confirmed. A list service
//! that has lost its state removes nearly all endpoints at once. The endpoints of such removals stay in
//! service, judged by their own calls, and the full list is requested again. A removal is confirmed when full
//! lists have lacked the endpoint for the configured time, or when connects to the endpoint fail. Draining is
//! always applied at once.

use super::endpoints::Endpoint;
use super::{Balancer, Timer};
use crate::interface::*;

/// Error rate above which a failed connect confirms a removal; one failed connect alone does not reach it.
const CONFIRMING_ERROR_RATE: f64 = 0.5;

/// State of the list guard.
#[derive(Default)]
pub(super) struct ListGuardState {
    /// Whether the timer for requesting the full list is set.
    resync_timer_set: bool,
}

impl Endpoint {
    /// Returns whether a failed connect confirms the endpoint's suspected removal, because the list and the
    /// connects agree.
    pub(super) fn confirms_removal(&self) -> bool {
        self.unlisted_since_ms.is_some() && self.error_rate > CONFIRMING_ERROR_RATE
    }
}

impl Balancer {
    /// Withdraws the members that the list reports as draining or lacks, unless their removal is suspected.
    ///
    /// Guards against a list service that has lost its state, which would take all endpoints out of service.
    /// Inputs: the share of the members that an update leaves, against the guard's threshold, and the time
    /// (ms) for which an endpoint has been missing. A delta confirms no suspected removal.
    pub(super) fn apply_removals(&mut self, now_ms: f64, kind: ListKind, out: &mut Vec<Action>) {
        let guard = self.settings.list_guard;
        let panic_count = guard.panic_threshold * self.endpoint_set.members.len() as f64;
        let too_few_left = guard.panic_threshold > 0.0 && self.count_after_update() as f64 <= panic_count;
        let members = self.endpoint_set.changed.iter().filter(|id| self.endpoint_set.has(**id));
        for id in members.copied().collect::<Vec<_>>() {
            let Some(endpoint) = self.endpoints.get_mut(&id).filter(|e| !e.is_ready()) else { continue };
            let gone = endpoint.is_gone();
            let since_ms = endpoint.unlisted_since_ms.unwrap_or(now_ms);
            let suspected = gone && (too_few_left || endpoint.unlisted_since_ms.is_some());
            let confirmed = kind != ListKind::Delta && now_ms >= since_ms + guard.confirm_after_ms;
            if suspected && !confirmed {
                endpoint.unlisted_since_ms = Some(since_ms);
                endpoint.entry.phase = Phase::Ready;
                self.endpoint_set.suspected_removals.insert(id);
                continue;
            }
            self.endpoint_set.suspected_removals.remove(&id);
            out.push(Action::Withdraw { backend: id });
            if gone && kind == ListKind::Delta {
                self.close_idle_if_draining(id, out);
            }
        }
        self.schedule_resync(out);
    }

    /// Counts the endpoints that are listed and take work according to an update that is not applied to the
    /// members yet.
    fn count_after_update(&self) -> usize {
        let set = &self.endpoint_set;
        let was_counted = |id: &&BackendId| set.has(**id) && !set.suspected_removals.contains(id);
        let takes_work = |endpoint: &&Endpoint| endpoint.is_ready() && endpoint.unlisted_since_ms.is_none();
        let before = set.changed.iter().filter(was_counted).count();
        let after = set.changed.iter().filter_map(|id| self.endpoints.get(id)).filter(takes_work).count();
        set.members.len() - set.suspected_removals.len() - before + after
    }

    /// Sets the timer for requesting the full list while removals are suspected. The delay has jitter, since
    /// instances that lost the list together would otherwise request it together.
    fn schedule_resync(&mut self, out: &mut Vec<Action>) {
        if self.endpoint_set.suspected_removals.is_empty() {
            return;
        }
        if !std::mem::replace(&mut self.list_guard.resync_timer_set, true) {
            let jitter = 0.5 + 0.5 * self.rng.f64();
            let delay_ms = self.settings.list_guard.confirm_after_ms * jitter;
            out.push(Timer::Resync.set(delay_ms.max(self.tick_interval_ms())));
        }
    }

    /// Requests the full list and sets the timer again if removals are still suspected.
    pub(super) fn on_resync_timer(&mut self, out: &mut Vec<Action>) {
        self.list_guard.resync_timer_set = false;
        self.schedule_resync(out);
        if self.list_guard.resync_timer_set {
            out.push(Action::Resync);
        }
    }

    /// Withdraws, on a tick, the members whose suspected removal was confirmed by failed connects.
    pub(super) fn withdraw_confirmed_removals(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        let is_gone = |id: &BackendId| self.endpoints.get(id).is_some_and(Endpoint::is_gone);
        let changed = self.endpoint_set.changed.iter().copied();
        let confirmed: Vec<BackendId> =
            changed.filter(|id| self.endpoint_set.has(*id) && is_gone(id)).collect();
        if confirmed.is_empty() {
            return;
        }
        out.extend(confirmed.iter().map(|&backend| Action::Withdraw { backend }));
        confirmed.iter().for_each(|&id| self.close_idle_if_draining(id, out));
        self.update_endpoint_set(now_ms);
    }
}
