//! The share of reports that are lost on their way, and how long a proxy must be silent before loss cannot
//! explain it.
//!
//! Reports are numbered, so a gap in a proxy's numbers is a lost report. The gaps of all proxies together
//! estimate the loss; [`ReportLoss::silence_threshold_ms`] follows from it. Without this, a network that
//! loses one report in five would make proxies look lost again and again; with a fixed high threshold a
//! healthy network would show a lost proxy late.

use super::super::Config;

/// Probability, in each window, of taking one proxy's lost reports for silence.
const FALSE_SILENCE_PROBABILITY: f64 = 1e-10;
/// Most windows without a report before a proxy counts as silent, however many reports are lost.
const MAX_MISSED_WINDOWS: u64 = 24;
/// Largest gap in a proxy's numbers that counts as lost reports. A larger one is a proxy that was cut off or
/// paused.
const MAX_LOST_IN_A_ROW: u64 = 8;
/// Weight of the counts so far when a window begins (exponential decay).
const DECAY_PER_WINDOW: f64 = 0.98;
/// Windows after which decayed counts no longer change; bounds the exponent after a long pause.
const MAX_DECAY_WINDOWS: u64 = 1000;
/// Largest loss that is reckoned with.
const MAX_LOSS: f64 = 0.9;

/// Reports that were sent and received lately, by the gaps in their numbers, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportLoss {
    sent: f64,
    received: f64,
    /// Number of the window up to which the counts have decayed.
    window: u64,
}

impl ReportLoss {
    /// Counts a received report. `gap` is how far its number lies above the proxy's last one, 1 being the
    /// next; 0 for one that was counted as lost and has come late.
    pub fn count_received(&mut self, gap: u64) {
        self.sent += if gap > MAX_LOST_IN_A_ROW { 1.0 } else { gap as f64 };
        self.received += 1.0;
    }

    /// Decays the counts by the windows that have passed.
    pub fn decay(&mut self, now_ms: u64, report_ms: u64) {
        let window = now_ms / report_ms;
        let windows = window.saturating_sub(self.window).min(MAX_DECAY_WINDOWS);
        let factor = DECAY_PER_WINDOW.powi(windows as i32);
        self.sent *= factor;
        self.received *= factor;
        self.window = window;
    }

    /// The share of reports that are lost, from 0 to 1.
    pub fn share(&self) -> f64 {
        if self.sent > 0.0 { ((self.sent - self.received) / self.sent).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// The time without a report, ms, after which a proxy counts as silent: as many windows as are lost in a
    /// row with a probability below [`FALSE_SILENCE_PROBABILITY`], at least `raise` of them, and half a
    /// window for reports that are late.
    ///
    /// The loss used is one standard deviation (of a Poisson count) above the estimate, since the estimate
    /// may rest on few reports.
    pub fn silence_threshold_ms(&self, config: &Config) -> u64 {
        let lost = (self.sent - self.received).max(0.0);
        let upper_share =
            if self.sent > 0.0 { ((lost + lost.sqrt()) / self.sent).min(MAX_LOSS) } else { 0.0 };
        let windows = if upper_share > 0.0 {
            (FALSE_SILENCE_PROBABILITY.ln() / upper_share.ln()).ceil() as u64
        } else {
            0
        };
        let windows = windows.min(MAX_MISSED_WINDOWS).max(config.raise_after_windows.into());
        windows * config.report_ms + config.report_ms / 2
    }
}
