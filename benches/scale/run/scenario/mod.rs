//! What is played with a fleet.

mod change;
mod changes;
mod losses;
mod region;
mod returns;
mod rollout;
mod steady;

use super::args::Scenario;
use super::clock::now_us;
use super::error::Result;
use super::fleet::Fleet;
use super::report::Row;
use super::spread::Spread;
use super::traffic::BUCKET_MS;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// An entry of the driver's own lives for longer than any run.
const LONG_TTL_MS: u64 = 86_400_000;

/// A fleet, and what is known of it so far.
pub struct Stage {
    /// The fleet.
    pub fleet: Fleet,
    /// What the registry takes while nothing happens, in cores; known after `steady`.
    pub idle: Option<f64>,
    changes: u64,
    chance: fastrand::Rng,
    extra: Vec<(Option<String>, String)>,
}

impl Stage {
    /// A fleet that holds the truth.
    pub fn new(fleet: Fleet) -> Stage {
        Stage { fleet, idle: None, changes: 0, chance: fastrand::Rng::with_seed(1), extra: Vec::new() }
    }

    /// Plays one.
    pub async fn play(&mut self, scenario: Scenario, row: &mut Row) -> Result<()> {
        match scenario {
            Scenario::Steady => steady::play(self, row).await?,
            Scenario::Change => change::play(self, row).await?,
            Scenario::RegistryEmpty => returns::empty(self, row).await?,
            Scenario::RegistryRestart => returns::restart(self, row).await?,
            Scenario::Restarts => losses::restarts(self, row).await?,
            Scenario::Rack => losses::rack(self, row).await?,
            Scenario::Zone => losses::zone(self, row).await?,
            Scenario::Region => region::play(self, row).await?,
            Scenario::Changes => changes::play(self, row).await?,
            Scenario::Rollout => rollout::play(self, row).await?,
        }
        self.tidy().await
    }

    /// The service of a backend that chance chooses: a large one is chosen more often.
    fn some_service(&mut self) -> Option<String> {
        let number = self.chance.usize(..self.fleet.plan.size());
        self.fleet.plan.services[number].clone()
    }

    /// The body of a registration of one entry more, which the account has from now on.
    fn next_change(&mut self, service: &Option<String>) -> Value {
        self.changes += 1;
        let name = format!("x{:05}", self.changes);
        let entry = json!({"host": name, "dial": "127.2.0.1:9000", "site": "z00", "class": "m2", "block": 1,
            "health": "SERVING", "share": 1.0, "born_ms": 0});
        self.fleet.account.put(service, entry.clone());
        self.extra.push((service.clone(), name));
        entry
    }

    /// One change of a service's list.
    pub async fn change(&mut self, service: &Option<String>) -> Result<()> {
        let entry = self.next_change(service);
        self.fleet.registry.register(service.as_deref(), &[entry], LONG_TTL_MS).await
    }

    /// The most calls a second since a Unix time in microseconds. The workers count them in buckets, the last of which must
    /// be over.
    async fn most_calls(&self, from_us: u64) -> Result<f64> {
        sleep(Duration::from_millis(2 * BUCKET_MS)).await;
        Ok(self.fleet.traffic().await?.most_a_second(from_us / 1000))
    }

    /// Takes off what was added, and waits until all know.
    async fn tidy(&mut self) -> Result<()> {
        if self.extra.is_empty() {
            return Ok(());
        }
        for (service, name) in std::mem::take(&mut self.extra) {
            self.fleet.account.remove(&service, &name);
            let gone = json!({"host": name, "health": "DELETED"});
            self.fleet.registry.register(service.as_deref(), &[gone], LONG_TTL_MS).await?;
        }
        self.fleet.all_hold_lists(0).await?;
        self.fleet.real_hold_lists().await
    }
}

/// Adds the times of a spread to a row.
fn tell(row: &mut Row, what: &str, spread: Spread) {
    let Spread { first, median, most, last } = spread;
    for (which, value) in [("first", first), ("median", median), ("99 %", most), ("last", last)] {
        row.add(format!("{what}: {which}"), "ms", value);
    }
}

/// How long ago a Unix time in microseconds was, ms.
fn since(from_us: u64) -> f64 {
    now_us().saturating_sub(from_us) as f64 / 1000.0
}
