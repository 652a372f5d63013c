//! How many proxies are heard, and how many of their reports are lost on the way.

use super::Config;
use super::member::Member;

/// Chance of taking lost reports for a silence, of one proxy in one window.
const CHANCE: f64 = 1e-10;
/// Most windows without a report before a proxy counts as silent.
const MOST: u64 = 24;
/// Most numbers that one gap counts for: more are a proxy cut off, not reports lost one by one.
const GAP: u64 = 8;
/// What is left of earlier windows in each new one.
const FADE: f64 = 0.98;

/// Reports that should have come and that came, of late, by their numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Loss {
    due: f64,
    came: f64,
    window: u64,
}

impl Loss {
    /// A report came after a gap of so many numbers, 1 being the next; 0 for one that was missed and has come late.
    pub fn gap(&mut self, gap: u64) {
        self.due += if gap > GAP { 1.0 } else { gap as f64 };
        self.came += 1.0;
    }

    /// Old windows count for less.
    pub fn fade(&mut self, now: u64, report_ms: u64) {
        let window = now / report_ms;
        let windows = window.saturating_sub(self.window).min(1000);
        let left = FADE.powi(windows as i32);
        (self.due, self.came, self.window) = (self.due * left, self.came * left, window);
    }

    /// The share that is lost.
    pub fn share(&self) -> f64 {
        if self.due > 0.0 { ((self.due - self.came) / self.due).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// How long a proxy may be unheard before that cannot be lost reports: as many windows in a row as chance hardly
    /// loses, at the share that is lost now.
    pub fn missed_ms(&self, config: &Config) -> u64 {
        let lost = (self.due - self.came).max(0.0);
        // By the upper end of what so few reports can tell.
        let share = if self.due > 0.0 { ((lost + lost.sqrt()) / self.due).min(0.9) } else { 0.0 };
        let windows = if share > 0.0 { (CHANCE.ln() / share.ln()).ceil() as u64 } else { 0 };
        windows.min(MOST).max(config.raise_after_windows.into()) * config.report_ms + config.report_ms / 2
    }
}

/// Whom it hears.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hearing {
    /// Proxies heard of in the last windows.
    pub heard: usize,
    /// Proxies that should be.
    pub alive: usize,
}

impl Hearing {
    /// Of the proxies' last reports: how many are alive as the middle one of those heard says, or as many as reported a
    /// while ago, whichever are more.
    pub fn of<'a>(
        now: u64,
        since: u64,
        members: impl Iterator<Item = &'a Member>,
        config: &Config,
    ) -> Hearing {
        let (mut says, mut counted) = (Vec::new(), 0);
        for latest in members.filter_map(|m| m.latest.as_ref()) {
            let age = now.saturating_sub(latest.at_ms.max(since));
            counted += usize::from(now.saturating_sub(latest.at_ms) <= config.count_silent_ms);
            if age <= 5 * config.report_ms / 2 {
                says.push(latest.alive);
            }
        }
        let heard = says.len();
        says.sort_unstable();
        let middle = says.get(heard / 2).copied().unwrap_or(0) as usize;
        Hearing { heard, alive: counted.max(middle).max(heard) }
    }

    /// Whether that is no majority.
    pub fn blind(&self) -> bool {
        self.alive > 0 && 2 * self.heard <= self.alive
    }
}
