//! Who does not do what the table says. Reports are held against the record as they come; what is raised or cleared
//! follows from time to time, by many proxies' marks together.

use super::Effect;
use super::finding::{Finding, FindingKind};
use super::group::{Shown, Wrong};
use super::hearing::{Hearing, Loss};
use super::member::{Member, Taken};
use super::reports::{ReportError, check};
use super::rollout::{Fleet, Living};
use super::{Backends, Config, DriftPage, OutcomeCounts, Report, Revision, RouteRecord, Table};
use std::collections::{BTreeMap, HashMap};

/// The detector.
pub(super) struct Drift {
    members: HashMap<String, Member>,
    /// Counts that all members' spreads hold.
    counts: usize,
    /// Since when it listens without a break.
    since_ms: u64,
    /// Until then nothing is raised.
    quiet_until: Option<u64>,
    next_ms: u64,
    loss: Loss,
    shown: Shown,
    hearing: Hearing,
    highest: Revision,
    ahead: usize,
}

impl Drift {
    pub fn new(now: u64) -> Self {
        Drift {
            members: HashMap::new(),
            counts: 0,
            since_ms: now,
            quiet_until: None,
            next_ms: now,
            loss: Loss::default(),
            shown: Shown::default(),
            hearing: Hearing::default(),
            highest: 0,
            ahead: 0,
        }
    }

    /// The highest revision that any proxy has reported.
    pub fn highest(&self) -> Revision {
        self.highest
    }

    /// How many proxies have a revision that was never given, once they are a tenth of those heard: then this registry
    /// has lost state. Fewer may be spoilt themselves.
    pub fn ahead(&self) -> usize {
        if self.ahead * 10 >= self.hearing.heard { self.ahead } else { 0 }
    }

    /// Some proxies are to have another table from now on.
    pub fn given(&mut self, now: u64, changed: impl Fn(&str) -> bool) {
        self.members.iter_mut().filter(|(name, _)| changed(name)).for_each(|(_, m)| m.could_ms = now);
    }

    /// The registry heard nobody for a while, by its own doing.
    pub fn stood_still(&mut self, now: u64) {
        (self.since_ms, self.quiet_until) = (now, None);
        self.members.values_mut().for_each(|m| m.could_ms = now);
    }

    /// Takes a report.
    pub fn report(
        &mut self,
        now: u64,
        report: Report,
        record: &RouteRecord,
        listed: &Backends,
        config: &Config,
    ) -> Result<Taken, ReportError> {
        check(&report, now, config)?;
        self.room(now, &report, config)?;
        let missed = self.loss.missed_ms(config);
        let Some(member) = self.members.get_mut(&report.name) else { return Ok(Taken::No) };
        if member.floods(now, config) {
            return Err(ReportError::TooOften { name: report.name, least_ms: config.report_ms });
        }
        let before = member.spread.len();
        if self.counts - before + report.calls.len() > config.max_backend_counts {
            return Err(ReportError::FullCounts { most: config.max_backend_counts });
        }
        let (taken, gap) = member.order(now, &report, missed, config);
        gap.into_iter().for_each(|gap| self.loss.gap(gap));
        if taken == Taken::No {
            return Ok(taken);
        }
        self.highest = self.highest.max(report.revision);
        member.recent.count(now / config.report_ms, &OutcomeCounts::of(&report));
        member.judge(now, &report, taken, record, listed, config);
        self.counts = self.counts - before + member.spread.len();
        for other in report.members.iter().filter(|other| other.name != report.name) {
            let room = self.members.len() < config.max_proxies;
            if let Some(member) = self.members.get_mut(&other.name) {
                member.witnessed(now, other.alive, 2 * config.report_ms);
            } else if room && other.alive {
                let mut member = Member::new(now);
                member.witnessed(now, true, 0);
                self.members.insert(other.name.clone(), member);
            }
        }
        Ok(taken)
    }

    /// Makes room for a proxy that is not known yet: one that was only told of goes before one that reports.
    fn room(&mut self, now: u64, report: &Report, config: &Config) -> Result<(), ReportError> {
        if self.members.contains_key(&report.name) {
            return Ok(());
        }
        if self.members.len() >= config.max_proxies {
            let told = self.members.iter().find(|(_, m)| m.latest.is_none()).map(|(name, _)| name.clone());
            let told = told.ok_or(ReportError::Full { most: config.max_proxies })?;
            self.members.remove(&told);
        }
        self.members.insert(report.name.clone(), Member::new(now));
        Ok(())
    }

    /// Raises and clears what there is cause for.
    pub fn evaluate(&mut self, now: u64, config: &Config) -> Vec<Effect> {
        let quiet_until = *self.quiet_until.get_or_insert(now + config.grace_ms);
        if now < self.next_ms {
            return Vec::new();
        }
        self.next_ms = now + config.report_ms / 3;
        self.loss.fade(now, config.report_ms);
        self.forget(now, config);
        self.hearing = Hearing::of(now, self.since_ms, self.members.values(), config);
        let missed = self.loss.missed_ms(config);
        let heard = |m: &&Member| m.at_ms().is_some_and(|at| now.saturating_sub(at) <= missed);
        self.ahead = self.members.values().filter(heard).filter(|m| m.seems(FindingKind::Ahead)).count();
        if self.hearing.blind() {
            self.quiet_until = Some(quiet_until.max(now + config.grace_ms));
            return if now < self.since_ms + config.grace_ms { Vec::new() } else { self.blind(now) };
        }
        let quiet = now < quiet_until;
        let (mut wrong, mut coming) = (Vec::new(), BTreeMap::new());
        for (name, member) in &mut self.members {
            let silent_ms = now.saturating_sub(member.at_ms().unwrap_or(member.known_ms).max(self.since_ms));
            if !quiet && silent_ms > missed {
                member.missing(now, silent_ms, config);
            } else if silent_ms + config.report_ms > missed {
                let kind =
                    if member.held_alive(now, config) { FindingKind::Silent } else { FindingKind::Gone };
                *coming.entry((kind, 0)).or_default() += usize::from(!member.has(kind));
            }
            member.flaps(now, config);
            for kind in FindingKind::OF_PROXIES {
                let mark = member.mark(kind);
                let cause = (kind, mark.cause);
                if mark.active {
                    let (since_ms, evidence) = (mark.since_ms, mark.evidence.clone());
                    wrong.push(Wrong { cause, proxy: name.clone(), since_ms, evidence });
                } else if mark.bad > 0 {
                    *coming.entry(cause).or_default() += 1;
                }
                if kind == FindingKind::Flapping && member.has(kind) {
                    break;
                }
            }
        }
        wrong.sort_by(|a, b| a.proxy.cmp(&b.proxy));
        let many = self.hearing.heard.div_ceil(10).max(3);
        // It says that it was blind until it has heard enough for long enough again.
        let key = ((FindingKind::Blind, 0), None);
        let blind = self.shown.findings.remove(&key);
        let mut effects = self.shown.update(now, wrong, &coming, many, !quiet);
        match blind {
            Some(found) if quiet => drop(self.shown.findings.insert(key, found)),
            found => effects.extend(found.map(Effect::Cleared)),
        }
        effects
    }

    /// It hears too few: it says so and nothing else.
    fn blind(&mut self, now: u64) -> Vec<Effect> {
        let key = ((FindingKind::Blind, 0), None);
        let (heard, alive) = (self.hearing.heard, self.hearing.alive);
        let evidence = format!("heard of {heard} of {alive} proxies");
        if let Some(found) = self.shown.findings.get_mut(&key) {
            (found.evidence, found.proxies) = (evidence, alive - heard);
            return Vec::new();
        }
        let (kind, what_to_do) = (FindingKind::Blind, FindingKind::Blind.what_to_do());
        let (proxy, some, proxies) = (None, Vec::new(), alive - heard);
        let found = Finding {
            kind,
            proxy,
            proxies,
            examples: some,
            since_ms: now,
            raised_ms: now,
            evidence,
            what_to_do,
        };
        self.shown.findings.insert(key, found.clone());
        vec![Effect::Raised(found)]
    }

    fn forget(&mut self, now: u64, config: &Config) {
        let counts = &mut self.counts;
        let heard = |m: &Member| m.at_ms().unwrap_or(m.known_ms).max(m.alive.map_or(0, |(last, _)| last));
        self.members.retain(|_, m| {
            let keep = now.saturating_sub(heard(m)) <= config.forget_ms;
            *counts -= if keep { 0 } else { m.spread.len() };
            keep
        });
    }

    /// The fleet as a rollout of that table sees it that began then: drift from before is not its doing.
    pub fn fleet(&self, now: u64, began: u64, table: &Table, config: &Config) -> Fleet<'_> {
        let missed = self.loss.missed_ms(config);
        let quiet = self.quiet_until.is_none_or(|until| now < until);
        let living = self.members.iter().filter_map(|(name, member)| {
            let latest = member.latest.as_ref().filter(|l| now.saturating_sub(l.at_ms) <= missed)?;
            let has = latest.revision == table.revision && latest.digest == table.digest;
            let drifts =
                [FindingKind::Diverged, FindingKind::Effect].map(|kind| &member.marks[kind as usize]);
            let drifts = drifts.iter().any(|mark| mark.active && mark.since_ms >= began);
            Some(Living { name, has, drifts })
        });
        Fleet { heard: !quiet && !self.hearing.blind(), living: living.collect() }
    }

    /// What some proxies met in the last windows.
    pub fn recent(&self, of: impl Fn(&str) -> bool) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        let some = self.members.iter().filter(|(name, _)| of(name));
        some.for_each(|(_, member)| sum.add(&member.recent.sum()));
        sum
    }

    /// What operators read.
    pub fn page(&self, now: u64, config: &Config) -> DriftPage {
        let missed = self.loss.missed_ms(config);
        let mut revisions = BTreeMap::new();
        let fresh = |m: &&Member| m.at_ms().is_some_and(|at| now.saturating_sub(at) <= missed);
        for latest in self.members.values().filter(fresh).filter_map(|m| m.latest.as_ref()) {
            *revisions.entry(latest.revision).or_default() += 1;
        }
        let Hearing { heard, alive } = self.hearing;
        DriftPage {
            heard,
            alive,
            blind: self.hearing.blind(),
            quiet_ms: self.quiet_until.map_or(config.grace_ms, |until| until.saturating_sub(now)),
            lost: self.loss.share(),
            missed_ms: missed,
            revisions,
            findings: self.shown.findings.values().cloned().collect(),
        }
    }
}
