//! How the configuration has discovery asked.

use super::Config;
use crate::engine::millis;
use load_balancer::client::discovery::{PollSchedule, Settings};
use load_balancer::client::traffic::Traffic;

impl Config {
    /// How discovery is asked; what is said and heard is counted in `traffic`.
    pub fn discovery_settings(&self, traffic: Traffic) -> Settings {
        let pace =
            PollSchedule::new(self.facts.settings.must_subscribe, millis(self.facts.site.drain_grace_ms));
        let pace = self.discovery_backoff.map_or(pace, |backoff| pace.with_backoff(backoff));
        Settings { service: self.service.clone(), ..Settings::new(pace, traffic) }
    }
}
