//! What is raised: of one proxy, or of the fleet where many have one cause.

use super::Effect;
use super::Revision;
use super::finding::{Finding, FindingKind};
use std::collections::BTreeMap;

/// A kind and what it comes from.
pub(super) type Cause = (FindingKind, Revision);

/// What is wrong with a proxy.
pub(super) struct Wrong {
    pub cause: Cause,
    pub proxy: String,
    pub since_ms: u64,
    pub evidence: String,
}

/// Proxies that a finding names.
const SOME: usize = 8;

/// The findings as they were raised.
#[derive(Default)]
pub(super) struct Shown {
    pub findings: BTreeMap<(Cause, Option<String>), Finding>,
}

impl Shown {
    /// Raises and clears by what is wrong now. `coming` are proxies of which the same is about to be said: with them,
    /// `many` make one finding of the fleet. Without `may_raise` it only clears.
    pub fn update(
        &mut self,
        now: u64,
        wrong: Vec<Wrong>,
        coming: &BTreeMap<Cause, usize>,
        many: usize,
        may_raise: bool,
    ) -> Vec<Effect> {
        let mut groups: BTreeMap<Cause, Vec<Wrong>> = BTreeMap::new();
        wrong.into_iter().for_each(|w| groups.entry(w.cause).or_default().push(w));
        let mut next = BTreeMap::new();
        for (cause, group) in groups {
            let more = coming.get(&cause).copied().unwrap_or(0);
            let one = self.findings.contains_key(&(cause, None)) || group.len() + more >= many;
            if one {
                next.insert((cause, None), finding(now, cause.0, None, &group));
                continue;
            }
            for w in group {
                let key = (cause, Some(w.proxy.clone()));
                next.insert(key, finding(now, cause.0, Some(w.proxy.clone()), &[w]));
            }
        }
        let mut effects = Vec::new();
        for (key, mut found) in std::mem::take(&mut self.findings) {
            match next.remove(&key) {
                Some(newer) => {
                    let (raised_ms, since_ms) = (found.raised_ms, found.since_ms.min(newer.since_ms));
                    self.findings.insert(key, Finding { raised_ms, since_ms, ..newer });
                }
                None => {
                    if key.1.is_some() && next.contains_key(&(key.0, None)) {
                        found.evidence = format!("part of one finding of the fleet: {}", found.evidence);
                    }
                    effects.push(Effect::Cleared(found));
                }
            }
        }
        if may_raise {
            effects.extend(next.values().cloned().map(Effect::Raised));
            self.findings.append(&mut next);
        }
        effects
    }
}

/// The finding of some proxies with one cause.
fn finding(now: u64, kind: FindingKind, proxy: Option<String>, of: &[Wrong]) -> Finding {
    let since_ms = of.iter().map(|w| w.since_ms).min().unwrap_or(now);
    let evidence = match (&proxy, of) {
        (None, [first, ..]) => format!("{} proxies; {}: {}", of.len(), first.proxy, first.evidence),
        (_, [first, ..]) => first.evidence.clone(),
        _ => String::new(),
    };
    let some = of.iter().take(SOME).map(|w| w.proxy.clone()).collect();
    let what_to_do = kind.what_to_do();
    Finding { kind, proxy, proxies: of.len(), examples: some, since_ms, raised_ms: now, evidence, what_to_do }
}
