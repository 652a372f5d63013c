//! The raised findings, grouped by cause: deviations of many proxies with a common cause make one finding of
//! the fleet, so that a fault of the registry or of a table is one line on the page and in the log instead of
//! hundreds.

use super::super::{Effect, Finding, FindingKind, Revision};
use std::collections::BTreeMap;

/// Maximum number of proxies that a finding names.
const MAX_EXAMPLES: usize = 8;

/// The cause of a deviation, by which deviations are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cause {
    /// Kind of the deviation.
    pub kind: FindingKind,
    /// Revision that causes the deviation; 0 for kinds without one.
    pub revision: Revision,
}

/// The key of a raised finding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FindingKey {
    /// Cause of the finding.
    pub cause: Cause,
    /// Name of the proxy; `None` for a finding of the fleet.
    pub proxy: Option<String>,
}

impl FindingKey {
    /// Key of the finding of the fleet with this cause.
    pub const fn of_fleet(cause: Cause) -> Self {
        FindingKey { cause, proxy: None }
    }
}

/// A deviation of a proxy that holds now.
pub(super) struct Deviation {
    /// Cause by which the deviation is grouped.
    pub cause: Cause,
    /// Name of the proxy that deviates.
    pub proxy: String,
    /// Time of the first bad window, Unix time in milliseconds.
    pub since_ms: u64,
    /// Evidence of the deviation, as text for operators.
    pub evidence: String,
}

/// The findings that are raised.
#[derive(Default)]
pub(super) struct RaisedFindings {
    /// Findings by cause and proxy.
    pub findings: BTreeMap<FindingKey, Finding>,
}

impl RaisedFindings {
    /// Raises and clears findings according to the deviations that hold now.
    ///
    /// `impending` is the number of further proxies that are about to deviate, by cause. Together with those
    /// that deviate, `fleet_threshold` of them make one finding of the fleet. Failure: a fault that reaches
    /// proxies window by window would first be raised for single proxies and then for the fleet. If
    /// `may_raise` is false, findings are only updated and cleared.
    pub fn update(
        &mut self,
        now_ms: u64,
        deviations: Vec<Deviation>,
        impending: &BTreeMap<Cause, usize>,
        fleet_threshold: usize,
        may_raise: bool,
    ) -> Vec<Effect> {
        let mut current = self.group(now_ms, deviations, impending, fleet_threshold);
        let mut effects = Vec::new();
        for (key, mut raised) in std::mem::take(&mut self.findings) {
            if let Some(newer) = current.remove(&key) {
                let raised_ms = raised.raised_ms;
                let since_ms = raised.since_ms.min(newer.since_ms);
                self.findings.insert(key, Finding { raised_ms, since_ms, ..newer });
                continue;
            }
            if key.proxy.is_some() && current.contains_key(&FindingKey::of_fleet(key.cause)) {
                raised.evidence = format!("part of one finding of the fleet: {}", raised.evidence);
            }
            effects.push(Effect::Cleared(raised));
        }
        if may_raise {
            effects.extend(current.values().cloned().map(Effect::Raised));
            self.findings.append(&mut current);
        }
        effects
    }

    /// Groups deviations into findings. A finding of the fleet remains one while any proxy has its cause.
    fn group(
        &self,
        now_ms: u64,
        deviations: Vec<Deviation>,
        impending: &BTreeMap<Cause, usize>,
        fleet_threshold: usize,
    ) -> BTreeMap<FindingKey, Finding> {
        let mut by_cause: BTreeMap<Cause, Vec<Deviation>> = BTreeMap::new();
        for deviation in deviations {
            by_cause.entry(deviation.cause).or_default().push(deviation);
        }
        let mut current = BTreeMap::new();
        for (cause, group) in by_cause {
            let count = group.len() + impending.get(&cause).copied().unwrap_or(0);
            let fleet_key = FindingKey::of_fleet(cause);
            if self.findings.contains_key(&fleet_key) || count >= fleet_threshold {
                current.insert(fleet_key, finding(now_ms, cause.kind, None, &group));
                continue;
            }
            for deviation in group {
                let proxy = Some(deviation.proxy.clone());
                let found = finding(now_ms, cause.kind, proxy.clone(), &[deviation]);
                current.insert(FindingKey { cause, proxy }, found);
            }
        }
        current
    }
}

/// Creates the finding for a group of proxies with a common cause.
fn finding(now_ms: u64, kind: FindingKind, proxy: Option<String>, group: &[Deviation]) -> Finding {
    let evidence = match (&proxy, group) {
        (None, [first, ..]) => format!("{} proxies; {}: {}", group.len(), first.proxy, first.evidence),
        (_, [first, ..]) => first.evidence.clone(),
        _ => String::new(),
    };
    Finding {
        kind,
        proxy,
        proxies: group.len(),
        examples: group.iter().take(MAX_EXAMPLES).map(|deviation| deviation.proxy.clone()).collect(),
        since_ms: group.iter().map(|deviation| deviation.since_ms).min().unwrap_or(now_ms),
        raised_ms: now_ms,
        evidence,
        what_to_do: kind.what_to_do(),
    }
}
