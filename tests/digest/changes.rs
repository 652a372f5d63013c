//! Changes around an instance: list updates, backend restarts and route tables.

use super::RandomRun;
use load_balancer::interface::*;

impl RandomRun {
    /// A random listed backend.
    pub(super) fn any_listed(&mut self) -> Option<BackendId> {
        let count = self.listed.len();
        (count > 0)
            .then(|| *self.listed.keys().nth(self.rng.usize(..count)).expect("the index is within the list"))
    }

    /// Changes, adds or removes one to three entries.
    pub(super) fn change_entries(&mut self) {
        let mut entries = Vec::new();
        for _ in 0..=self.rng.usize(..3) {
            let Some(backend) = self.any_listed() else { return };
            let mut entry = self.listed[&backend].clone();
            match self.rng.u32(..8) {
                0 => entry.phase = Phase::Draining,
                1 => entry.phase = Phase::Gone,
                2 => entry.zone = self.rng.u16(..self.scenario.zones),
                3 => entry.weight += 0.1,
                4 => entry.started_at_ms = self.now - 10.0,
                5 => {
                    let id = self.scenario.backends + self.rng.u32(1..30);
                    self.add(id);
                    let backend = id.wrapping_mul(2_654_435_761);
                    entry = self.listed[&backend].clone();
                }
                _ => entry.phase = Phase::Ready,
            }
            if entry.phase == Phase::Gone {
                self.listed.remove(&entry.backend);
            } else {
                self.listed.insert(entry.backend, entry.clone());
            }
            entries.push(entry);
        }
        self.notify(Event::List { kind: ListKind::Delta, entries });
    }

    /// Restarts a random share of the backends.
    pub(super) fn restart_backends(&mut self) {
        let (now, share) = (self.now, self.rng.f64());
        let mut entries: Vec<Entry> = self.listed.values().cloned().collect();
        entries.retain(|_| self.rng.f64() < share);
        entries.iter_mut().for_each(|e| e.started_at_ms = now - 100.0 * self.rng.f64());
        self.listed.extend(entries.iter().map(|e| (e.backend, e.clone())));
        self.notify(Event::List { kind: ListKind::Delta, entries });
    }

    /// Delivers a failed list request, or a part of the list that the full list may follow.
    pub(super) fn lose_entries(&mut self) {
        if self.rng.bool() {
            return self.notify(Event::List { kind: ListKind::Failed, entries: Vec::new() });
        }
        let share = [0.0, 0.1, 0.5, 0.95, 1.0][self.rng.usize(..5)];
        let mut entries: Vec<Entry> = self.listed.values().cloned().collect();
        entries.retain(|_| self.rng.f64() < share);
        self.notify(Event::List { kind: ListKind::Full, entries });
        if self.rng.bool() {
            let entries = self.listed.values().cloned().collect();
            self.notify(Event::List { kind: ListKind::Full, entries });
        }
    }

    /// Delivers a route table with random weights for a part of the backends.
    pub(super) fn change_route_weights(&mut self) {
        let mut weights = Vec::new();
        for &id in self.listed.keys() {
            if self.rng.f64() < 0.3 {
                weights.push((id, [0.0, 0.5, 1.0, 1.7][self.rng.usize(..4)]));
            }
        }
        self.notify(Event::RouteWeights { weights });
    }
}
