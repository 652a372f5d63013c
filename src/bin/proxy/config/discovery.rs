//! The settings of discovery's client, from the configuration.

use super::Config;
use crate::engine::millis;
use load_balancer::client::discovery::{PollSchedule, Settings};
use load_balancer::client::traffic::Traffic;

impl Config {
    /// How discovery is called; the bytes sent and received are counted in `traffic`.
    pub fn discovery_settings(&self, traffic: Traffic) -> Settings {
        let pace = PollSchedule::new(
            self.platform.settings.must_subscribe,
            millis(self.platform.site.drain_grace_ms),
        );
        let pace = self.discovery_backoff.map_or(pace, |backoff| pace.with_backoff(backoff));
        Settings { service: self.service.clone(), ..Settings::new(pace, traffic) }
    }
}
