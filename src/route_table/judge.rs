//! Whether a proxy does what it is meant to do.

use super::finding::FindingKind;
use super::member::{Mark, Member, Taken};
use super::spread::Spread;
use super::{Backends, Config, Report, RouteRecord};

impl Member {
    /// Holds a report that is news against what the proxy is meant to have.
    pub fn judge(
        &mut self,
        now: u64,
        report: &Report,
        taken: Taken,
        record: &RouteRecord,
        listed: &Backends,
        config: &Config,
    ) {
        let meant = record.target_table(&report.name);
        let (has, oldest) = (report.revision, record.issued.iter().map(|k| k.revision).min().unwrap_or(0));
        let known = record.issued.iter().find(|known| known.revision == has);
        let rolling = record.active.as_ref().is_some_and(|w| w.rollout.is_some() && w.table.revision == has);
        let ahead = if known.is_none() && has > oldest {
            Some((has, format!("has revision {has}, which was never given; meant is {}", meant.revision)))
        } else if has > meant.revision && !rolling {
            Some((has, format!("has revision {has}, which was taken back; meant is {}", meant.revision)))
        } else {
            None
        };
        let late = now.saturating_sub(self.could_ms);
        let lagging = (ahead.is_none() && has < meant.revision && late > config.grace_ms).then(|| {
            (meant.revision, format!("has revision {has}, could have {} for {late} ms", meant.revision))
        });
        let diverged = known.filter(|known| known.digest != report.digest).map(|known| {
            (has, format!("revision {has} with digest {}, should be {}", report.digest, known.digest))
        });
        let right = has == meant.revision && diverged.is_none();
        for (kind, wrong) in
            [(FindingKind::Ahead, ahead), (FindingKind::Lagging, lagging), (FindingKind::Diverged, diverged)]
        {
            self.mark(kind).note(now, wrong, config);
        }
        for kind in [FindingKind::Silent, FindingKind::Gone] {
            self.mark(kind).note(now, None, config);
        }
        let silence = self.older.map_or(u64::MAX, |(_, _, at)| now.saturating_sub(at));
        if silence > config.grace_ms.max(3 * config.report_ms) {
            self.mark(FindingKind::Zombie).note(now, None, config);
        }
        if !right || taken != Taken::Same {
            self.spread = Spread::default();
            if !right {
                self.mark(FindingKind::Effect).note(now, None, config);
            }
            return;
        }
        self.spread.add(now, report);
        if let Some(wrong) = self.spread.judge(&meant.weights, listed, config) {
            let wrong = wrong.map(|evidence| (0, evidence));
            self.mark(FindingKind::Effect).note(now, wrong, config);
        }
    }

    /// Whether its peers hold it for alive, of late.
    pub fn held_alive(&self, now: u64, config: &Config) -> bool {
        self.alive.is_some_and(|(last, _)| now.saturating_sub(last) <= 2 * config.report_ms)
    }

    /// It was not heard for longer than lost reports explain.
    pub fn missing(&mut self, now: u64, silent_ms: u64, config: &Config) {
        let break_ms = u64::from(config.raise_after_windows + 2) * config.report_ms;
        let alive = match (self.has(FindingKind::Silent), self.has(FindingKind::Gone)) {
            // Once said, it must hold for some windows before the other is said.
            (true, _) => self.alive.is_some_and(|(last, _)| now.saturating_sub(last) <= break_ms),
            (_, true) => {
                self.held_alive(now, config) && self.alive.is_some_and(|(last, s)| last - s >= break_ms)
            }
            _ => self.held_alive(now, config),
        };
        let (kind, other, held) = match alive {
            true => (FindingKind::Silent, FindingKind::Gone, "peers hold it for alive"),
            false => (FindingKind::Gone, FindingKind::Silent, "no peer holds it for alive"),
        };
        let since_ms = now - silent_ms;
        let evidence = format!("no report for {silent_ms} ms, {held}");
        // What it did before it went silent, nobody knows of it any more.
        for kind in
            [other, FindingKind::Lagging, FindingKind::Diverged, FindingKind::Ahead, FindingKind::Effect]
        {
            *self.mark(kind) = Mark::default();
        }
        *self.mark(kind) = Mark { active: true, since_ms, evidence, ..Mark::default() };
    }

    /// Whether it started or came back too often.
    pub fn flaps(&mut self, now: u64, config: &Config) {
        let recent = self.turns.iter().filter(|at| now.saturating_sub(**at) <= config.flap_window_ms);
        let (count, first) = (recent.clone().count(), recent.min().copied().unwrap_or(now));
        let mark = self.mark(FindingKind::Flapping);
        if count >= config.flap_threshold {
            mark.evidence = format!("started or came back {count} times in {} ms", config.flap_window_ms);
            (mark.active, mark.since_ms) = (true, if mark.active { mark.since_ms } else { first });
        }
        mark.active &= count > config.flap_threshold / 2;
    }
}
