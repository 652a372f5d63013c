//! What time brings: windows, spill, cold budgets, those who waited too long, backends that hang.

use super::Balancer;
use super::limiter::LEARN_MS;
use crate::interface::*;

pub(super) const HOUSEKEEPING: u64 = 0; // timer tokens
const HANG_MISSED: f64 = 8.0; // answers missed, by Little's law, before silence is a hang and not a pause
const PIN: f64 = 4.0; // means that a call may pin a slot: even of an exponential tail 2 in 100 take longer
const CROSS_PRICE: f64 = 0.25; // aims that a mean may grow to save a crossing: the slowest grow by far more
const SPILL: [f64; 2] = [1.0, 0.4]; // proportional; integral a second: behind a queue, haste makes it swing
const SPILL_FADE: f64 = 8000.0; // a zone that was left altogether gives no answers and is tried again
const TAKE_OVER: f64 = 30_000.0; // in which the part of those who have gone is taken over
const COLD_MARGIN: f64 = 0.5; // part of the cold budget used: backends are unlike, handshakes count

impl Balancer {
    pub(super) fn housekeep(&mut self, now: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { delay_ms: self.period(), token: HOUSEKEEPING });
        let passed = (now - self.house).max(0.0);
        self.house = now;
        self.limiter.update(passed, self.capacity);
        self.excess.iter_mut().for_each(|e| *e -= *e * passed / SPILL_FADE);
        let gain = self.excess[0] - self.excess[1] - self.s.goal.cross_zone_price * CROSS_PRICE;
        self.drift = (self.drift + SPILL[1] * gain * passed / 1000.0).clamp(0.0, 1.0);
        self.spill = (self.drift + SPILL[0] * gain).clamp(0.0, 1.0);
        self.fleet = self.present.max(self.fleet - (self.fleet - self.present) * passed / TAKE_OVER);
        self.resize(now, passed);
        self.find_usual();
        self.peak = self.inflight.max(self.peak * (1.0 - passed / 5000.0));
        // Those who have waited too long for their key's turn; keys that have rested.
        let stale = |id: &RequestId| self.requests.get(id).is_some_and(|r| now >= r.hold_until);
        let lines = self.lines.values().flat_map(|l| l.ids.iter().skip(usize::from(l.turn)));
        for id in lines.copied().filter(stale).collect::<Vec<_>>() {
            self.finish(now, id, out);
        }
        self.lines.keys().copied().collect::<Vec<_>>().into_iter().for_each(|key| self.pass_turn(now, key));
        self.busy.retain(|id| self.backends.get(id).is_some_and(|b| !b.calls.is_empty()));
        self.busy.clone().into_iter().for_each(|id| self.unpin(now, id, PIN));
        self.drop_proved(now, out);
        self.free_held(now, true, out);
        // Cold budgets grow with what this copy's backends prove to bear, at the warmth surely reached.
        let margin = (COLD_MARGIN * self.s.rules.overload_multiple).min(1.0);
        let rate = self.limiter.member_rate;
        self.member_rate +=
            (rate - self.member_rate) * (passed / LEARN_MS[usize::from(rate < self.member_rate)]).min(1.0);
        // Each backend is in the subsets of so large a part of the copies.
        let part = self.subset.len().max(1) as f64 / self.roster.members.len().max(1) as f64;
        // Before a rate is known, a member surely gives one answer after the other to all copies together.
        let serial_rate = part / (self.limiter.answer_time() * self.fleet);
        let each = self.member_rate.max(serial_rate) * margin * passed / (self.processes * part);
        // Warm ones need none.
        let seated = |&(_, part, rank): &(_, usize, usize)| {
            self.segments[part].seat(rank, self.roster.parts[part].len()).is_some()
        };
        for (id, ..) in self.roster.cold().filter(seated) {
            let Some(b) = self.backends.get_mut(&id) else { continue };
            let more = each * b.warmth(&self.s.rules, now);
            b.cold_tokens = (b.cold_tokens + more).min(1.0 + more);
        }
        self.eject_hung(now);
    }

    /// Finds the middle one of the members' slownesses anew, if one of them has moved.
    fn find_usual(&mut self) {
        if !std::mem::take(&mut self.slowness_moved) {
            return;
        }
        let mut slow: Vec<f64> = self.subset.iter().map(|i| self.backends[i].slow).collect();
        let middle = slow.len() / 2;
        self.usual =
            if slow.is_empty() { 1.0 } else { *slow.select_nth_unstable_by(middle, f64::total_cmp).1 };
    }

    /// Ejects members that are silent while others answer, for longer than so many answers would take by
    /// Little's law.
    fn eject_hung(&mut self, now: f64) {
        let hangs = |id: &BackendId| {
            let Some(b) = self.backends.get(id) else { return false };
            let silence = now - b.heard.max(b.calls.front().map_or(now, |call| call.1));
            let missed = b.calls.len() as f64 * silence / (self.limiter.mean * b.slow).max(1.0);
            let others = now - self.heard < silence * 0.25;
            missed > HANG_MISSED && silence > 2.0 * self.limiter.mean && others && now >= b.ejected_until
        };
        let hung = self.busy.iter().filter(|id| hangs(id));
        let mut hung: Vec<(usize, BackendId)> = hung.filter_map(|id| Some((self.seat(*id)?, *id))).collect();
        hung.sort_unstable(); // in the subset's order: past a share of the list no more are taken out
        hung.into_iter().for_each(|(_, id)| self.eject(now, id));
    }
}
