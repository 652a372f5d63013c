//! One kind of deviation of one proxy over time: raised after several bad windows in a row, cleared after
//! several good ones.

use super::super::{Config, Revision};

/// What was seen in one bad window.
pub(super) struct Observation {
    /// The revision that it comes from, by which proxies are grouped; 0 where the kind has none.
    pub cause: Revision,
    /// What was seen, as operators read it.
    pub evidence: String,
}

/// Bad and good windows of one kind, in a row.
#[derive(Clone, Debug, Default)]
pub(super) struct DeviationStreak {
    /// Whether the deviation holds: a finding is, or is to be, raised of it.
    pub active: bool,
    /// Bad windows in a row.
    pub bad: u32,
    /// Good windows in a row.
    pub good: u32,
    /// Time of the first bad window.
    pub since_ms: u64,
    /// See [`Observation::cause`]; of the last bad window.
    pub cause: Revision,
    /// See [`Observation::evidence`]; of the last bad window.
    pub evidence: String,
}

impl DeviationStreak {
    /// Counts a window, bad if there is an observation. [`Config::raise_after_windows`] bad windows
    /// activate the deviation and [`Config::clear_after_windows`] good ones end it, so that single windows
    /// neither raise nor clear.
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
