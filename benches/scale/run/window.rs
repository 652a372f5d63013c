//! What a fleet takes while something is played.

use super::error::Result;
use super::fleet::Fleet;
use super::report::Row;
use super::sample::Sample;
use super::traffic::Traffic;
use tokio::time::Instant;

/// Where a measurement began.
pub struct Window {
    began: Instant,
    registry: Sample,
    workers: Sample,
    real: Vec<Sample>,
    traffic: Traffic,
}

/// What was taken since.
pub struct Taken {
    /// For how long was measured, s.
    pub seconds: f64,
    /// By the registry.
    pub registry: Sample,
    /// By all workers.
    pub workers: Sample,
    /// By each real proxy.
    pub real: Vec<Sample>,
    /// By the workers' proxies.
    pub traffic: Traffic,
}

impl Window {
    /// Begins here, with the peaks.
    pub async fn open(fleet: &Fleet) -> Result<Window> {
        fleet.registry.reset_peak();
        fleet.real.iter().for_each(|real| real.reset_peak());
        let (registry, workers, real, traffic) = look(fleet).await?;
        Ok(Window { began: Instant::now(), registry, workers, real, traffic })
    }

    /// The registry is another process now.
    pub fn registry_started(&mut self) {
        self.registry = Sample::default();
    }

    /// Ends here.
    pub async fn close(&self, fleet: &Fleet) -> Result<Taken> {
        let seconds = self.began.elapsed().as_secs_f64();
        let (registry, workers, real, traffic) = look(fleet).await?;
        Ok(Taken {
            seconds,
            registry: registry - self.registry,
            workers: workers - self.workers,
            real: real.into_iter().zip(&self.real).map(|(now, before)| now - *before).collect(),
            traffic: &traffic - &self.traffic,
        })
    }
}

async fn look(fleet: &Fleet) -> Result<(Sample, Sample, Vec<Sample>, Traffic)> {
    let mut workers = Sample::default();
    for hands in &fleet.hands {
        workers = workers + hands.sample().await?;
    }
    let real: Result<Vec<Sample>> = fleet.real.iter().map(|real| real.sample()).collect();
    Ok((fleet.registry.sample()?, workers, real?, fleet.traffic().await?))
}

impl Taken {
    /// Adds what every scenario tells; `idle` is what the registry takes while nothing happens, in cores.
    pub fn tell(&self, row: &mut Row, fleet: &Fleet, idle: Option<f64>) {
        let proxies = fleet.hollow_count() as f64;
        row.add("measured for", "s", self.seconds);
        row.add("registry cpu", "ms", 1000.0 * self.registry.cpu_s);
        if let Some(idle) = idle {
            row.add("registry cpu above idle", "ms", 1000.0 * (self.registry.cpu_s - idle * self.seconds));
        }
        row.add("registry memory", "MiB", self.registry.resident_mib);
        row.add("registry peak memory", "MiB", self.registry.peak_mib);
        row.add("workers' cpu a hollow proxy", "ms", 1000.0 * self.workers.cpu_s / proxies);
        row.add("workers' memory a hollow proxy", "KiB", 1024.0 * self.workers.resident_mib / proxies);
        let real = self.real.len().max(1) as f64;
        let mean = |of: fn(&Sample) -> f64| self.real.iter().map(of).sum::<f64>() / real;
        row.add("real proxy cpu, mean", "ms", 1000.0 * mean(|s| s.cpu_s));
        row.add("real proxy memory, mean", "MiB", mean(|s| s.resident_mib));
        row.add("real proxy peak memory, mean", "MiB", mean(|s| s.peak_mib));
        let highest = |of: fn(&Sample) -> f64| self.real.iter().map(of).fold(0.0, f64::max);
        row.add("real proxy cpu, highest", "ms", 1000.0 * highest(|s| s.cpu_s));
        row.add("real proxy peak memory, highest", "MiB", highest(|s| s.peak_mib));
        for (kind, count) in &self.traffic.kinds {
            if count.messages > 0 {
                row.add(format!("{}: messages a proxy", kind.name()), "", count.messages as f64 / proxies);
                row.add(format!("{}: bytes a proxy", kind.name()), "B", count.bytes() as f64 / proxies);
            }
        }
        row.add("whole lists a proxy", "", self.traffic.whole_lists as f64 / proxies);
        let total = self.traffic.total();
        row.add("all messages a proxy", "", total.messages as f64 / proxies);
        row.add("all bytes a proxy", "B", total.bytes() as f64 / proxies);
    }
}
