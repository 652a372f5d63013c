//! The protocol's times.

use super::MAX_DATAGRAM;
use super::frame::FRAME;
use foca::{Config, PeriodicParams};
use serde::Deserialize;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The protocol's times.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// One member is probed so often, ms.
    pub probe_ms: u64,
    /// So long its answer may take before others are asked to probe it, ms; under `probe_ms`.
    pub rtt_ms: u64,
    /// So long a suspect has to refute before it is taken for dead, ms.
    pub suspicion_ms: u64,
    /// Dead members are remembered for so long, ms.
    pub forget_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { probe_ms: 1000, rtt_ms: 300, suspicion_ms: 4000, forget_ms: 600_000 }
    }
}

impl Timing {
    /// What is wrong with it, if anything is.
    pub fn invalid(&self) -> Option<&'static str> {
        let day = 86_400_000;
        let wrong = [
            (!(10..=60_000).contains(&self.probe_ms), "probe_ms: from 10 to 60000"),
            (self.rtt_ms == 0 || self.rtt_ms >= self.probe_ms, "rtt_ms: above 0 and under probe_ms"),
            (!(self.probe_ms..=day).contains(&self.suspicion_ms), "suspicion_ms: from probe_ms to a day"),
            (!(self.suspicion_ms..=day).contains(&self.forget_ms), "forget_ms: from suspicion_ms to a day"),
        ];
        wrong.iter().find(|(bad, _)| *bad).map(|(_, what)| *what)
    }

    pub(super) fn config(&self) -> Config {
        let ms = Duration::from_millis;
        let few = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every =
            |ms: u64, n| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: few(n) });
        Config {
            probe_period: ms(self.probe_ms),
            probe_rtt: ms(self.rtt_ms),
            num_indirect_probes: few(3),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: ms(self.suspicion_ms),
            remove_down_after: Some(ms(self.forget_ms)),
            max_packet_size: few(MAX_DATAGRAM - FRAME),
            // A member that was declared dead while it was stopped or cut off hears of it, and returns.
            notify_down_members: true,
            periodic_announce: every(self.probe_ms * 30, 1),
            // Two halves of a split find each other again by the dead that each remembers.
            periodic_announce_to_down_members: every(self.probe_ms * 2, 2),
            periodic_gossip: every((self.probe_ms / 5).max(1), 3),
        }
    }
}
