//! The share of reports that are lost in transit, and the duration of silence that such loss does not
//! explain.
//!
//! Reports are numbered, so a gap in a proxy's numbers is a lost report. The gaps of all proxies together
//! give an estimate of the loss, from which [`ReportLoss::silence_threshold_ms`] follows. With a fixed low
//! threshold, a network that loses one report in five would make proxies look lost repeatedly; with a fixed
//! high one, a lost proxy would be found late in a healthy network.

use super::super::Config;

/// Probability, in each window, of mistaking a proxy's lost reports for silence.
const FALSE_SILENCE_PROBABILITY: f64 = 1e-10;
/// Maximum number of windows without a report before a proxy counts as silent, whatever the loss.
const MAX_MISSED_WINDOWS: u64 = 24;
/// Maximum gap in a proxy's numbers that counts as lost reports. A larger gap means that the proxy was cut
/// off or paused.
const MAX_LOST_IN_A_ROW: u64 = 8;
/// Factor by which the counts decay with each window.
const DECAY_PER_WINDOW: f64 = 0.98;
/// Maximum number of windows in one decay; bounds the exponent after a long pause.
const MAX_DECAY_WINDOWS: u64 = 1000;
/// Upper bound of the estimated loss.
const MAX_LOSS: f64 = 0.9;

/// Exponentially decayed counts of reports sent and received, derived from the gaps in their numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportLoss {
    sent: f64,
    received: f64,
    /// Number of the window up to which the counts have been decayed.
    window: u64,
}

impl ReportLoss {
    /// Counts a received report. `gap` is the difference between its number and the proxy's last one: 1 for
    /// the next report, and 0 for a late one that was counted as lost before.
    pub fn count_received(&mut self, gap: u64) {
        self.sent += if gap > MAX_LOST_IN_A_ROW { 1.0 } else { gap as f64 };
        self.received += 1.0;
    }

    /// Decays the counts by the windows that have passed since the last call.
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

    /// The time without a report, in milliseconds, after which a proxy counts as silent: the number of
    /// consecutive windows that are lost with a probability below [`FALSE_SILENCE_PROBABILITY`], at least
    /// [`Config::raise_after_windows`], plus half a window for reports that are late.
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
