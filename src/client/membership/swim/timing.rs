//! Intervals and timeouts of the protocol, and the configuration of `foca` derived from them.

use super::MAX_DATAGRAM;
use super::frame::HEADER_LENGTH;
use foca::{Config, PeriodicParams};
use serde::Deserialize;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of members that are asked to probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Number of times that a member gossips one change.
const MAX_TRANSMISSIONS: u8 = 10;

/// Intervals and timeouts of the protocol. Their names are the keys of the configuration.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between probes, each of one member, ms; by default 1,000.
    pub probe_ms: u64,
    /// Timeout of a probe before other members are asked to probe, ms; below `probe_ms`, by default 300.
    pub rtt_ms: u64,
    /// Time in which a suspect can refute the suspicion before it is declared gone, ms; by default 4,000.
    pub suspicion_ms: u64,
    /// Time for which a gone member is remembered, ms; by default 600,000.
    pub forget_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { probe_ms: 1000, rtt_ms: 300, suspicion_ms: 4000, forget_ms: 600_000 }
    }
}

impl Timing {
    /// Returns the setting that is out of bounds, with its bounds, or `None` if all are valid.
    pub fn invalid(&self) -> Option<&'static str> {
        const DAY_MS: u64 = 86_400_000;
        let checks = [
            (!(10..=60_000).contains(&self.probe_ms), "probe_ms: from 10 to 60000"),
            (self.rtt_ms == 0 || self.rtt_ms >= self.probe_ms, "rtt_ms: above 0 and under probe_ms"),
            (!(self.probe_ms..=DAY_MS).contains(&self.suspicion_ms), "suspicion_ms: from probe_ms to a day"),
            (
                !(self.suspicion_ms..=DAY_MS).contains(&self.forget_ms),
                "forget_ms: from suspicion_ms to a day",
            ),
        ];
        checks.iter().find(|(is_wrong, _)| *is_wrong).map(|(_, problem)| *problem)
    }

    /// Returns the configuration of `foca`.
    pub(super) fn config(&self) -> Config {
        Config {
            probe_period: Duration::from_millis(self.probe_ms),
            probe_rtt: Duration::from_millis(self.rtt_ms),
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(self.suspicion_ms),
            remove_down_after: Some(Duration::from_millis(self.forget_ms)),
            max_packet_size: non_zero(MAX_DATAGRAM - HEADER_LENGTH),
            // Without this, a member that was paused or disconnected and declared dead would not learn of it and never
            // rejoin. Other members notify it, and it rejoins with a new generation.
            notify_down_members: true,
            periodic_announce: periodic(self.probe_ms * 30, 1),
            // After a partition each side has declared the other dead and no longer probes it. Announcements to gone
            // members join the sides again, for as long as they remember each other.
            periodic_announce_to_down_members: periodic(self.probe_ms * 2, 2),
            periodic_gossip: periodic((self.probe_ms / 5).max(1), 3),
        }
    }
}

/// Returns the parameters of an action on `members` members each `interval_ms` milliseconds.
fn periodic(interval_ms: u64, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency: Duration::from_millis(interval_ms), num_members: non_zero(members) })
}

fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
