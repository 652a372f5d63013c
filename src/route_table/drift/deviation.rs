//! One kind of deviation of one proxy over time: raised after several consecutive bad windows, cleared after
//! several consecutive good ones.

use super::super::{Config, Revision};

/// The observation of a deviation in one bad window.
pub(super) struct Observation {
    /// Revision that causes the deviation, by which proxies are grouped; 0 for kinds without one.
    pub cause: Revision,
    /// Evidence of the deviation, as text for operators.
    pub evidence: String,
}

/// The consecutive bad or good windows of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct DeviationStreak {
    /// Whether the deviation holds, so that a finding is raised for it or will be.
    pub active: bool,
    /// Number of consecutive bad windows.
    pub bad: u32,
    /// Number of consecutive good windows.
    pub good: u32,
    /// Time of the first bad window, Unix time in milliseconds.
    pub since_ms: u64,
    /// [`Observation::cause`] of the last bad window.
    pub cause: Revision,
    /// [`Observation::evidence`] of the last bad window.
    pub evidence: String,
}

impl DeviationStreak {
    /// Counts a window, which is bad if there is an observation. [`Config::raise_after_windows`] consecutive
    /// bad windows activate the deviation and [`Config::clear_after_windows`] consecutive good ones end it,
    /// so that a finding does not depend on single windows.
    pub fn count_window(&mut self, now_ms: u64, observation: Option<Observation>, config: &Config) {
        match observation {
            Some(Observation { cause, evidence }) => {
                if !self.active && self.bad == 0 {
                    self.since_ms = now_ms;
                }
                self.bad = self.bad.saturating_add(1);
                self.good = 0;
                self.cause = cause;
                self.evidence = evidence;
                self.active |= self.bad >= config.raise_after_windows;
            }
            None => {
                self.good = self.good.saturating_add(1);
                self.bad = 0;
                self.active &= self.good < config.clear_after_windows;
            }
        }
    }
}
