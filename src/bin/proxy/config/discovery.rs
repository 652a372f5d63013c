//! Derives the settings of the discovery client from the configuration.

use super::Config;
use crate::engine::millis;
use load_balancer::client::discovery::{PollSchedule, Settings};
use load_balancer::client::traffic::Traffic;

impl Config {
    /// Returns the settings of the discovery client, which counts the bytes that it sends and receives in `traffic`.
    pub fn discovery_settings(&self, traffic: Traffic) -> Settings {
        let schedule = PollSchedule::new(
            self.platform.settings.must_subscribe,
            millis(self.platform.site.drain_grace_ms),
        );
        let schedule = self.discovery_backoff.map_or(schedule, |backoff| schedule.with_backoff(backoff));
        Settings { service: self.service.clone(), ..Settings::new(schedule, traffic) }
    }
}
