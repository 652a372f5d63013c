//! The list of backends: what it tells, when it is doubted, and what follows for those who take work.

use super::Balancer;
use super::state::Backend;
use crate::interface::*;

pub(super) const ASK: u64 = 1;
pub(super) const RELIST: u64 = 2;
// Milliseconds. News counts as told after 6 s, however long asking may be put off otherwise: three calls
// that fail, and the pauses before and behind them, fit in. The first call goes out 2 s on at the latest,
// each further one after 1 s.
pub(super) const ASK_FIRST: f64 = 5000.0;
const ASK_AGAIN: f64 = 1500.0;
const BACKOFF: f64 = 4.0;
/// Copies that share a backend at the least, so that none depends on a single one.
pub(super) const OVERLAP: f64 = 2.0;

impl Balancer {
    /// Asks for the list after a share of the time in which asking is due, or of `most` if that is less.
    pub(super) fn ask_later(&mut self, share: f64, most: f64, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.asking, true) {
            out.push(Action::SetTimer {
                delay_ms: share * self.s.rules.max_silence_ms.min(most),
                token: ASK,
            });
        }
    }

    pub(super) fn on_list(&mut self, now: f64, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            // Jittered and doubling, so that copies that failed together do not call together again.
            let share = 0.1 * self.ask_backoff * (0.5 + self.rng.f64());
            self.ask_backoff = (self.ask_backoff * 2.0).min(BACKOFF);
            return self.ask_later(share, ASK_AGAIN, out);
        }
        self.ask_backoff = 1.0;
        let before = self.roster.members.len();
        if kind != ListKind::Delta {
            self.backends.iter_mut().for_each(|(_, b)| b.entry.phase = Phase::Gone);
            self.roster.changed = self.backends.iter().map(|(id, _)| *id).collect();
            self.roster.doubted.clear();
        }
        for e in entries {
            let known = self.backends.contains_key(&e.backend);
            self.roster.changed.insert(e.backend);
            let b = self.backends.get_or_insert(e.backend);
            if e.phase == Phase::Gone {
                // The rest of its entry may be needed still: the news of its end may turn out wrong.
                b.entry.phase = Phase::Gone;
                if !self.roster.has(e.backend) {
                    self.release(e.backend, out);
                }
                continue;
            }
            if !known || b.entry.started_at_ms != e.started_at_ms {
                // A new process: nothing known of the old one holds. Copies that hear of it together begin
                // its cold budget at different phases, so that their first sends do not meet.
                let phase =
                    (f64::from(self.s.instance_index) + f64::from(e.backend % 8191)) * 0.618_033_988_75;
                let (calls, cold_tokens) = (std::mem::take(&mut b.calls), phase.fract());
                let (route, turn) = (self.routes.get(&e.backend).copied().unwrap_or(1.0), self.turn);
                *b = Backend { calls, slow: 1.0, heard: now, cold_tokens, route, turn, ..Backend::default() };
            }
            let id = e.backend;
            (b.entry, b.unlisted) = (e, None);
            self.roster.doubted.remove(&id);
            self.release(id, out);
        }
        self.withhold(now, kind, out);
        if kind != ListKind::Delta {
            self.roster.clear();
        }
        self.update_roster(now);
        if before == 0 {
            self.limiter.total = self.limiter.total.max(OVERLAP * self.width);
        }
    }

    /// What the list no longer has, or has draining, is withdrawn, unless the news is suspicious: a list
    /// service that has lost its state takes nearly all backends at once. Those stay, to be judged by their
    /// own calls, until a whole list has lacked them for long enough.
    pub(super) fn withhold(&mut self, now: f64, kind: ListKind, out: &mut Vec<Action>) {
        let (guard, was) = (self.s.list_guard, self.roster.members.len() as f64);
        let few = guard.panic_threshold > 0.0 && self.left() as f64 <= guard.panic_threshold * was;
        let members = self.roster.changed.iter().filter(|id| self.roster.has(**id));
        for id in members.copied().collect::<Vec<_>>() {
            let Some(b) = self.backends.get_mut(&id).filter(|b| b.entry.phase != Phase::Ready) else {
                continue;
            };
            let (gone, since) = (b.entry.phase == Phase::Gone, b.unlisted.unwrap_or(now));
            let doubted = gone && (few || b.unlisted.is_some());
            if doubted && (kind == ListKind::Delta || now < since + guard.confirm_after_ms) {
                (b.unlisted, b.entry.phase) = (Some(since), Phase::Ready);
                self.roster.doubted.insert(id);
                continue;
            }
            self.roster.doubted.remove(&id);
            out.push(Action::Withdraw { backend: id });
            if gone && kind == ListKind::Delta {
                self.release(id, out);
            }
        }
        self.doubt(out);
    }

    /// How many are listed and take work, by the news that the roster does not know yet.
    fn left(&self) -> usize {
        let trusted = |id: &&BackendId| self.roster.has(**id) && !self.roster.doubted.contains(id);
        let ready = |b: &&Backend| b.entry.phase == Phase::Ready && b.unlisted.is_none();
        let changed = &self.roster.changed;
        let before = changed.iter().filter(trusted).count();
        let after = changed.iter().filter_map(|id| self.backends.get(id)).filter(ready).count();
        self.roster.members.len() - self.roster.doubted.len() - before + after
    }

    /// While the list is doubted, it is asked for again: copies that lost it together ask each in its time.
    pub(super) fn doubt(&mut self, out: &mut Vec<Action>) {
        if !self.roster.doubted.is_empty() && !std::mem::replace(&mut self.relisting, true) {
            let delay =
                (self.s.list_guard.confirm_after_ms * (0.5 + 0.5 * self.rng.f64())).max(self.period());
            out.push(Action::SetTimer { delay_ms: delay, token: RELIST });
        }
    }

    /// Takes those out of the roster whose end their own calls have proved.
    pub(super) fn drop_proved(&mut self, now: f64, out: &mut Vec<Action>) {
        let gone = |id: &&BackendId| {
            self.roster.has(**id) && self.backends.get(id).is_some_and(|b| b.entry.phase == Phase::Gone)
        };
        let proved: Vec<BackendId> = self.roster.changed.iter().filter(gone).copied().collect();
        out.extend(proved.iter().map(|&backend| Action::Withdraw { backend }));
        proved.iter().for_each(|&id| self.release(id, out));
        if !proved.is_empty() {
            self.update_roster(now);
        }
    }

    /// The backends that take work, anew, and what follows from them.
    pub(super) fn update_roster(&mut self, now: f64) {
        let mut changed = std::mem::take(&mut self.roster.changed);
        changed.retain(|id| {
            let gone = |b: &Backend| b.entry.phase == Phase::Gone;
            if self.backends.get(id).is_some_and(|b| gone(b) && b.calls.is_empty()) {
                self.backends.remove(id);
            }
            let backend = self.backends.get(id);
            self.roster.place(*id, backend);
            backend.is_some_and(gone) // it goes once its calls are over
        });
        self.roster.changed = changed;
        let (sum, heaviest) = self.roster.weights();
        (self.weight, self.heaviest) = (sum / (self.roster.members.len() as f64).max(1.0), heaviest);
        self.resize(now, 0.0);
    }

    /// Closes what is idle to a draining backend: at the notice, and once more after each outcome there.
    pub(super) fn release(&self, id: BackendId, out: &mut Vec<Action>) {
        let draining = self.backends.get(&id).is_some_and(|b| b.entry.phase != Phase::Ready);
        if draining && self.s.rules.idle_close_within_ms > 0.0 {
            out.push(Action::CloseIdle { backend: id });
        }
    }
}
