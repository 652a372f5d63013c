//! What a fleet's proxies hear and say: tables taken, windows reported, late, twice or never.

use super::*;

impl Fleet {
    pub(super) fn watches(&mut self) {
        for proxy in self.proxies.iter_mut().filter(|p| p.up && p.linked && p.takes) {
            let meant = self.control.target_table(&proxy.name);
            if meant.revision > proxy.table.revision {
                proxy.table = meant.clone();
            }
        }
    }

    pub(super) fn reports(&mut self) {
        let now = self.now;
        self.alive = self.proxies.iter().filter(|p| p.up).count() as u32;
        for n in 0..self.proxies.len() {
            if self.proxies[n].next_ms > now || !self.proxies[n].up {
                continue;
            }
            let jitter = self.config.report_ms / 10;
            self.proxies[n].next_ms = now + self.config.report_ms - jitter + self.rng.u64(0..=2 * jitter);
            self.proxies[n].number += 1;
            if !self.proxies[n].linked || self.rng.f64() < self.loss {
                continue;
            }
            let report = self.report_of(n);
            if self.rng.f64() < self.twice {
                self.delayed.push((now + self.rng.u64(0..8000), report.clone()));
            }
            if self.rng.f64() < self.late {
                self.delayed.push((now + self.rng.u64(0..8000), report));
            } else {
                self.control.receive_report(now, report).expect("taken");
            }
        }
        let mut at = 0;
        while at < self.delayed.len() {
            if self.delayed[at].0 <= now {
                let (_, report) = self.delayed.swap_remove(at);
                self.control.receive_report(now, report).expect("taken");
            } else {
                at += 1;
            }
        }
    }

    /// What a proxy says of its last window.
    pub fn report_of(&mut self, n: usize) -> Report {
        let size = self.proxies.len();
        let witness = |proxy: &Proxy| Witness {
            name: proxy.name.clone(),
            generation: proxy.generation,
            alive: proxy.up,
        };
        let first = self.rng.usize(0..size);
        let members: Vec<_> = (0..4).map(|i| witness(&self.proxies[(first + i) % size])).collect();
        let alive = self.alive;
        let proxy = &self.proxies[n];
        let subset: Vec<_> = (0..SUBSET).map(|i| &self.listed[(n + i * 2) % self.listed.len()]).collect();
        let weights: Vec<f64> = subset
            .iter()
            .map(|b| if proxy.even { 1.0 } else { proxy.table.weights.of(&b.host, &b.class, &b.zone) })
            .collect();
        let sum: f64 = weights.iter().sum();
        let mut calls = BTreeMap::new();
        let mut errors = BTreeMap::new();
        for (backend, weight) in subset.iter().zip(&weights) {
            let mean = CALLS * SUBSET as f64 * weight / sum;
            // Twelve evenly drawn numbers, as good as a normal one here.
            let normal: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
            let count = (mean + normal * mean.sqrt()).round().max(0.0) as u64;
            let failing = self.ill.get(&backend.host).copied().unwrap_or(0.0);
            if failing > 0.0 {
                errors.insert(backend.host.clone(), (count as f64 * failing) as u64);
            }
            calls.insert(backend.host.clone(), count);
        }
        Report {
            name: proxy.name.clone(),
            generation: proxy.generation,
            number: proxy.number,
            revision: proxy.table.revision,
            digest: proxy.spoilt.clone().unwrap_or_else(|| proxy.table.digest.clone()),
            window_ms: self.config.report_ms,
            requests: calls.values().sum(),
            failed: errors.values().sum(),
            calls,
            errors,
            alive,
            members,
            ..Report::default()
        }
    }
}
