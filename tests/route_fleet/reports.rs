//! The simulated proxies' traffic with the registry: the tables that they apply, and their reports, which may be lost,
//! repeated or late.

use super::*;

impl Fleet {
    /// Gives each proxy its target table if that is newer than the one it has.
    pub(super) fn deliver_tables(&mut self) {
        for proxy in self.proxies.iter_mut().filter(|p| p.running && p.connected && p.applies_tables) {
            let target = self.control.target_table(&proxy.name);
            if target.revision > proxy.table.revision {
                proxy.table = target.clone();
            }
        }
    }

    /// Delivers the reports that are due, and those that were delayed until now.
    pub(super) fn send_reports(&mut self) {
        let now_ms = self.now_ms;
        self.running_count = self.proxies.iter().filter(|p| p.running).count() as u32;
        for n in 0..self.proxies.len() {
            if self.proxies[n].next_report_ms > now_ms || !self.proxies[n].running {
                continue;
            }
            let jitter = self.config.report_ms / 10;
            self.proxies[n].next_report_ms =
                now_ms + self.config.report_ms - jitter + self.rng.u64(0..=2 * jitter);
            self.proxies[n].number += 1;
            if !self.proxies[n].connected || self.rng.f64() < self.loss_rate {
                continue;
            }
            let report = self.build_report(n);
            if self.rng.f64() < self.duplicate_rate {
                self.delayed.push((now_ms + self.rng.u64(0..8000), report.clone()));
            }
            if self.rng.f64() < self.delay_rate {
                self.delayed.push((now_ms + self.rng.u64(0..8000), report));
            } else {
                self.control.receive_report(now_ms, report).expect("the report is accepted");
            }
        }
        let mut index = 0;
        while index < self.delayed.len() {
            if self.delayed[index].0 <= now_ms {
                let (_, report) = self.delayed.swap_remove(index);
                self.control.receive_report(now_ms, report).expect("the report is accepted");
            } else {
                index += 1;
            }
        }
    }

    /// Builds a proxy's report on its last window. Draws from the random number generator.
    pub fn build_report(&mut self, n: usize) -> Report {
        let size = self.proxies.len();
        let witness = |proxy: &Proxy| Witness {
            name: proxy.name.clone(),
            generation: proxy.generation,
            alive: proxy.running,
        };
        let first = self.rng.usize(0..size);
        let members: Vec<_> = (0..4).map(|i| witness(&self.proxies[(first + i) % size])).collect();
        let alive = self.running_count;
        let proxy = &self.proxies[n];
        let subset: Vec<_> = (0..SUBSET).map(|i| &self.listed[(n + i * 2) % self.listed.len()]).collect();
        let weights: Vec<f64> =
            subset
                .iter()
                .map(|b| {
                    if proxy.ignores_weights {
                        1.0
                    } else {
                        proxy.table.weights.of(&b.host, &b.class, &b.zone)
                    }
                })
                .collect();
        let sum: f64 = weights.iter().sum();
        let mut calls = BTreeMap::new();
        let mut errors = BTreeMap::new();
        for (backend, weight) in subset.iter().zip(&weights) {
            let mean = CALLS * SUBSET as f64 * weight / sum;
            // The sum of twelve uniform numbers approximates a normal one well enough here.
            let normal: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
            let count = (mean + normal * mean.sqrt()).round().max(0.0) as u64;
            let error_rate = self.error_rates.get(&backend.host).copied().unwrap_or(0.0);
            if error_rate > 0.0 {
                errors.insert(backend.host.clone(), (count as f64 * error_rate) as u64);
            }
            calls.insert(backend.host.clone(), count);
        }
        Report {
            name: proxy.name.clone(),
            generation: proxy.generation,
            number: proxy.number,
            revision: proxy.table.revision,
            digest: proxy.reported_digest.clone().unwrap_or_else(|| proxy.table.digest.clone()),
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
