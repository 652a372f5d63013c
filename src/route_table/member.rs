//! What is known of one proxy.

use super::finding::FindingKind;
use super::shares::Recent;
use super::spread::Spread;
use super::{Config, Report, Revision};
use std::collections::VecDeque;

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// It was known, or is of an older process: it counts for nothing.
    No,
    /// It is news, with another revision than the last one.
    Changed,
    /// It is news, with the revision of the last one.
    Same,
}

/// Bad and good windows of one kind, in a row.
#[derive(Clone, Debug, Default)]
pub(super) struct Mark {
    pub active: bool,
    pub bad: u32,
    pub good: u32,
    pub since_ms: u64,
    pub cause: Revision,
    pub evidence: String,
}

impl Mark {
    /// A window: what was wrong, by which cause, or nothing.
    pub fn note(&mut self, now: u64, wrong: Option<(Revision, String)>, config: &Config) {
        match wrong {
            Some((cause, evidence)) => {
                if !self.active && self.bad == 0 {
                    self.since_ms = now;
                }
                (self.bad, self.good) = (self.bad.saturating_add(1), 0);
                (self.cause, self.evidence) = (cause, evidence);
                self.active |= self.bad >= config.raise_after_windows;
            }
            None => {
                (self.good, self.bad) = (self.good.saturating_add(1), 0);
                self.active &= self.good < config.clear_after_windows;
            }
        }
    }
}

/// Its newest report, as far as it is kept.
#[derive(Clone, Debug)]
pub(super) struct Latest {
    pub generation: u64,
    pub number: u64,
    /// Which of the 64 numbers up to the newest came.
    seen: u64,
    pub at_ms: u64,
    pub revision: Revision,
    pub digest: String,
    pub alive: u32,
    /// When this generation was first heard.
    first_ms: u64,
}

/// One proxy, by its name.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub latest: Option<Latest>,
    /// When it was first heard of.
    pub known_ms: u64,
    /// Since when it could have what it is meant to have.
    pub could_ms: u64,
    /// When a peer last held it for alive, and since when without a break.
    pub alive: Option<(u64, u64)>,
    /// Newest report of an older process: generation, number, time.
    pub older: Option<(u64, u64, u64)>,
    /// When it started anew or came back.
    pub turns: VecDeque<u64>,
    pub spread: Spread,
    /// What it met in the last windows.
    pub recent: Recent,
    pub marks: [Mark; FindingKind::COUNT],
    /// Reports in a window.
    burst: (u64, u32),
}

/// Reports that are taken of a name in one window, late and repeated ones among them.
const BURST: u32 = 16;
/// Most turns that are remembered.
const TURNS: usize = 64;

impl Member {
    pub fn new(now: u64) -> Self {
        Member {
            latest: None,
            known_ms: now,
            could_ms: now,
            alive: None,
            older: None,
            turns: VecDeque::new(),
            spread: Spread::default(),
            recent: Recent::default(),
            marks: Default::default(),
            burst: (0, 0),
        }
    }

    /// Whether it reports more often than it has cause to.
    pub fn floods(&mut self, now: u64, config: &Config) -> bool {
        let window = now / config.report_ms;
        self.burst = if self.burst.0 == window { (window, self.burst.1 + 1) } else { (window, 1) };
        self.burst.1 > BURST
    }

    pub fn mark(&mut self, kind: FindingKind) -> &mut Mark {
        &mut self.marks[kind as usize]
    }

    pub fn has(&self, kind: FindingKind) -> bool {
        self.marks[kind as usize].active
    }

    /// Whether it is or is about to be.
    pub fn seems(&self, kind: FindingKind) -> bool {
        self.has(kind) || self.marks[kind as usize].bad > 1
    }

    /// When it was last heard.
    pub fn at_ms(&self) -> Option<u64> {
        self.latest.as_ref().map(|latest| latest.at_ms)
    }

    /// A peer told of it.
    pub fn witnessed(&mut self, now: u64, alive: bool, break_ms: u64) {
        self.alive = match (alive, self.alive) {
            (false, _) => None,
            (true, Some((last, since))) if now.saturating_sub(last) <= break_ms => Some((now, since)),
            (true, _) => Some((now, now)),
        };
    }

    /// Whether a report is news; and how many numbers were passed over, or that one of these has come late.
    pub fn order(
        &mut self,
        now: u64,
        report: &Report,
        missed_ms: u64,
        config: &Config,
    ) -> (Taken, Option<u64>) {
        let Some(latest) = &mut self.latest else {
            self.turn(now, report, now);
            return (Taken::Changed, None);
        };
        let gap = report.number.saturating_sub(latest.number);
        match report.generation.cmp(&latest.generation) {
            std::cmp::Ordering::Less => {
                let newer = self.older.is_none_or(|(g, n, _)| (report.generation, report.number) > (g, n));
                let late = now.saturating_sub(latest.first_ms) <= config.grace_ms;
                if newer {
                    self.older = Some((report.generation, report.number, now));
                }
                if newer && !late {
                    let what = format!("a process of generation {} still reports", report.generation);
                    self.mark(FindingKind::Zombie).note(now, Some((0, what)), config);
                }
                (Taken::No, None)
            }
            std::cmp::Ordering::Greater => {
                self.turns.push_back(now);
                self.turn(now, report, now);
                (Taken::Changed, None)
            }
            std::cmp::Ordering::Equal if gap == 0 => {
                let back = latest.number - report.number;
                let late = back < 64 && latest.seen & (1 << back) == 0;
                if late {
                    latest.seen |= 1 << back;
                }
                (Taken::No, late.then_some(0))
            }
            std::cmp::Ordering::Equal => {
                let same = latest.revision == report.revision && latest.digest == report.digest;
                let came_back = now.saturating_sub(latest.at_ms) > missed_ms;
                let (seen, first_ms) =
                    (latest.seen.checked_shl(gap.min(64) as u32).unwrap_or(0), latest.first_ms);
                if came_back {
                    self.could_ms = now;
                    self.turns.push_back(now);
                }
                self.turn(now, report, first_ms);
                if let Some(latest) = &mut self.latest {
                    latest.seen |= seen;
                }
                (if same { Taken::Same } else { Taken::Changed }, Some(gap))
            }
        }
    }

    /// Its newest report is another one.
    fn turn(&mut self, now: u64, report: &Report, first_ms: u64) {
        if first_ms == now {
            self.could_ms = now;
        }
        let over = self.turns.len().saturating_sub(TURNS);
        self.turns.drain(..over);
        self.latest = Some(Latest {
            generation: report.generation,
            number: report.number,
            seen: 1,
            at_ms: now,
            revision: report.revision,
            digest: report.digest.clone(),
            alive: report.alive,
            first_ms,
        });
    }
}
