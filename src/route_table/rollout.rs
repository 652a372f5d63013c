//! How a table goes out: to a few proxies by rank, a tenth, half, all. Each stage stands for a time and goes on only if
//! those who have the table do no worse than those who have not.

use super::record::{Rollout, Stage};
use super::{Config, OutcomeCounts};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;

/// A proxy's place in every rollout: the same wherever and whenever it is computed.
pub fn rank(name: &str) -> u64 {
    let hash = Sha256::digest(name);
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// What was counted since the stage began, or since the registry started.
#[derive(Clone, Debug, Default)]
pub(super) struct Standing {
    /// Since when.
    pub from_ms: u64,
    /// Of those who have the table.
    pub have: OutcomeCounts,
    /// Of those who have not.
    pub without: OutcomeCounts,
    /// What it waits for.
    pub waits: Option<String>,
}

impl Standing {
    pub fn new(now: u64) -> Self {
        Standing { from_ms: now, ..Standing::default() }
    }
}

/// A proxy that reports.
#[derive(Clone, Debug)]
pub(super) struct Living<'a> {
    pub name: &'a str,
    /// Whether its newest report has the very table that goes out.
    pub has: bool,
    /// Whether a finding is raised of what it does with its table.
    pub drifts: bool,
}

/// The fleet as the reports tell.
pub(super) struct Fleet<'a> {
    /// Whether enough is heard, and for long enough, to judge by.
    pub heard: bool,
    pub living: Vec<Living<'a>>,
}

/// What is to be done about a rollout.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Nothing yet, and why.
    Wait(String),
    /// The stage is for these from now on.
    Go(Stage, BTreeSet<String>),
    /// It is over, well.
    Done,
    /// It is over, badly.
    Stop(String),
}

/// How many proxies of `living` a stage is for.
pub fn target(stage: Stage, living: usize, few: usize) -> usize {
    let few = few.min(living);
    match stage {
        Stage::Few => few,
        Stage::Tenth => few.max(living.div_ceil(10)),
        Stage::Half => few.max(living.div_ceil(2)),
        Stage::All => living,
    }
}

/// What is next. Asked at every tick; the answer is a change of the record, or to wait.
pub(super) fn step(config: &Config, now: u64, rollout: &Rollout, standing: &Standing, fleet: &Fleet) -> Step {
    let over = now.saturating_sub(standing.from_ms) > config.stage_timeout_ms;
    let wait = |what: String| match over {
        false => Step::Wait(what),
        true => Step::Stop(format!("waited for {} ms: {what}", config.stage_timeout_ms)),
    };
    if !fleet.heard {
        return wait(
            "too few proxies are heard to judge by: see the drift page, have the proxies report".into(),
        );
    }
    let is_member = |l: &&Living| rollout.stage == Stage::All || rollout.members.contains(l.name);
    let (members, others): (Vec<_>, Vec<_>) = fleet.living.iter().partition(is_member);
    let wanted = target(rollout.stage, fleet.living.len(), config.first_stage_proxies);
    if wanted == 0 {
        return wait("no proxy reports: configure the proxies' reports".into());
    }
    // Those that went silent are replaced by the next in rank, each at most once.
    if members.len() < wanted && rollout.members.len() < 2 * wanted {
        let more = (wanted - members.len()).min(2 * wanted - rollout.members.len());
        return Step::Go(rollout.stage, with_next(&rollout.members, others, more));
    }
    let without = if standing.without.requests >= config.min_requests {
        &standing.without
    } else {
        &rollout.fleet_baseline
    };
    // Worse than the others, and worse than it was with themselves: proxies differ in what they call.
    let than_before = rollout.member_baseline.requests < config.min_requests
        || standing.have.worse(&rollout.member_baseline, config).is_some();
    if let Some(worse) = standing.have.worse(without, config).filter(|_| than_before) {
        return Step::Stop(format!("{worse}: see what the new weights send where, propose others"));
    }
    let drifting = |side: &[&Living]| side.iter().filter(|l| l.drifts).count();
    let (here, there) = (drifting(&members), drifting(&others));
    let (n, m) = (members.len(), others.len());
    // Where few are left without, there is nothing to compare with: then a tenth is too much.
    if if m < n.div_ceil(10) { here * 10 > n } else { here * m > there * n } {
        return Step::Stop(format!(
            "{here} of {n} with the table drift, {there} of {m} without: see the drift page"
        ));
    }
    if let Some(late) = members.iter().find(|l| !l.has) {
        let count = members.iter().filter(|l| !l.has).count();
        return wait(format!(
            "{count} of {} do not report the table yet, such as {}",
            members.len(),
            late.name
        ));
    }
    let stood = now.saturating_sub(standing.from_ms);
    if stood < config.min_stage_ms {
        return Step::Wait(format!("stands for {} of {} ms", stood, config.min_stage_ms));
    }
    let (have, least) = (standing.have.requests, config.min_requests);
    if have < least || without.requests < least {
        let there = without.requests;
        return wait(format!(
            "{have} requests with the table and {there} without: each side needs {least} to compare"
        ));
    }
    if rollout.stage == Stage::All {
        return Step::Done;
    }
    let wider = [Stage::Tenth, Stage::Half].into_iter().find(|stage| {
        *stage > rollout.stage
            && target(*stage, fleet.living.len(), config.first_stage_proxies) > members.len()
    });
    match wider {
        Some(stage) => {
            let more = target(stage, fleet.living.len(), config.first_stage_proxies) - members.len();
            Step::Go(stage, with_next(&rollout.members, others, more))
        }
        None => Step::Go(Stage::All, rollout.members.clone()),
    }
}

fn with_next(members: &BTreeSet<String>, mut others: Vec<&Living>, more: usize) -> BTreeSet<String> {
    others.sort_by_key(|l| (rank(l.name), l.name));
    members.iter().cloned().chain(others.iter().take(more).map(|l| l.name.to_string())).collect()
}
