//! The review of a stage at a tick: whether it waits, gets more members, advances, completes or is stopped.
//!
//! Pure functions of the durable [`Rollout`], the counts of the stage and the drift detector's view of the
//! fleet. [`next_step`] lists the checks in order.

use super::super::{Config, OutcomeCounts, Rollout, Stage};
use super::stage::{proxy_rank, stage_size};
use super::state::{FleetView, LiveProxy, RolloutStep, StageProgress};
use std::collections::BTreeSet;

/// Reviews the stage. The first check that returns a step decides; a stage that passes all checks advances.
///
/// Harm stops the rollout in the first tick that shows it, also in a stage that still waits for something
/// else. Missing reports, tables or requests are waited for until the stage times out.
pub(crate) fn next_step(
    config: &Config,
    now_ms: u64,
    rollout: &Rollout,
    progress: &StageProgress,
    fleet: &FleetView,
) -> RolloutStep {
    let review = StageReview::new(config, now_ms, rollout, progress, fleet);
    review
        .wait_for_fleet(fleet)
        .or_else(|| review.replace_silent_members())
        .or_else(|| review.stop_if_worse())
        .or_else(|| review.stop_if_drifting())
        .or_else(|| review.wait_for_table())
        .or_else(|| review.wait_for_min_time())
        .or_else(|| review.wait_for_requests())
        .unwrap_or_else(|| review.advance())
}

/// The review of a stage at one tick, with the live proxies divided into its members and the others.
struct StageReview<'a> {
    config: &'a Config,
    rollout: &'a Rollout,
    progress: &'a StageProgress,
    elapsed_ms: u64,
    live: usize,
    members: Vec<&'a LiveProxy<'a>>,
    others: Vec<&'a LiveProxy<'a>>,
}

impl<'a> StageReview<'a> {
    fn new(
        config: &'a Config,
        now_ms: u64,
        rollout: &'a Rollout,
        progress: &'a StageProgress,
        fleet: &'a FleetView,
    ) -> Self {
        let is_member =
            |proxy: &&LiveProxy| rollout.stage == Stage::All || rollout.members.contains(proxy.name);
        let (members, others) = fleet.proxies.iter().partition(is_member);
        let elapsed_ms = now_ms.saturating_sub(progress.since_ms);
        StageReview { config, rollout, progress, elapsed_ms, live: fleet.proxies.len(), members, others }
    }

    /// Waits, or stops the rollout once [`Config::stage_timeout_ms`] have passed since
    /// [`StageProgress::since_ms`].
    ///
    /// That time restarts when the members change, and after a pause or a restart of the registry.
    ///
    /// Failure: a condition that never becomes true would block every later proposal. The state page shows it
    /// as `waits`.
    fn wait_or_time_out(&self, reason: String) -> RolloutStep {
        if self.elapsed_ms > self.config.stage_timeout_ms {
            let reason = format!("waited for {} ms: {reason}", self.config.stage_timeout_ms);
            return RolloutStep::Stop { reason };
        }
        RolloutStep::Wait { reason }
    }

    /// Waits while the view of the fleet is not reliable or no proxy reports. Failure: without reports from a
    /// majority, silence of the members would be taken for health.
    fn wait_for_fleet(&self, fleet: &FleetView) -> Option<RolloutStep> {
        if !fleet.reliable {
            let reason = "too few proxies are heard to judge by: see the drift page, have the proxies report";
            return Some(self.wait_or_time_out(reason.into()));
        }
        let no_proxies = self.target_size() == 0;
        no_proxies.then(|| self.wait_or_time_out("no proxy reports: configure the proxies' reports".into()))
    }

    /// Number of members that the current stage should have.
    fn target_size(&self) -> usize {
        stage_size(self.rollout.stage, self.live, self.config.first_stage_proxies)
    }

    /// Adds the next proxies in rank, at the start of the stage and where members went silent.
    ///
    /// Failure: a table that makes proxies crash would silence its members and spread through their
    /// replacements. A stage therefore names at most twice its size; after that it waits for its members and
    /// times out.
    fn replace_silent_members(&self) -> Option<RolloutStep> {
        let target_size = self.target_size();
        let max_named = 2 * target_size;
        let named = self.rollout.members.len();
        if self.members.len() >= target_size || named >= max_named {
            return None;
        }
        let missing = target_size - self.members.len();
        let members = self.members_with_next(missing.min(max_named - named));
        Some(RolloutStep::Assign { stage: self.rollout.stage, members })
    }

    /// Reference counts: those of proxies without the table in this stage, or, where they have too few
    /// requests, those of the fleet from before.
    fn comparison(&self) -> &OutcomeCounts {
        if self.progress.without_table.requests >= self.config.min_requests {
            &self.progress.without_table
        } else {
            &self.rollout.fleet_baseline
        }
    }

    /// Stops the rollout if proxies with the table do significantly worse than those without, and worse than
    /// the same proxies did before.
    ///
    /// The second condition guards against members whose calls differ from those of other proxies: they may
    /// do worse with any table. It is not applied while the members' own earlier counts are too few to
    /// compare with.
    fn stop_if_worse(&self) -> Option<RolloutStep> {
        let with_table = &self.progress.with_table;
        let worse = with_table.significantly_worse_than(self.comparison(), self.config)?;
        let own_baseline = &self.rollout.member_baseline;
        let comparable_with_itself = own_baseline.requests >= self.config.min_requests;
        if comparable_with_itself && with_table.significantly_worse_than(own_baseline, self.config).is_none()
        {
            return None;
        }
        let reason = format!("{worse}: see what the new weights send where, propose others");
        Some(RolloutStep::Stop { reason })
    }

    /// Stops the rollout if a greater share of the members drifts than of the others.
    ///
    /// Where fewer than one proxy without the table is left for every ten with it, there is nothing to
    /// compare with: then the limit is a tenth of the members.
    fn stop_if_drifting(&self) -> Option<RolloutStep> {
        let drifting = |side: &[&LiveProxy]| side.iter().filter(|proxy| proxy.drifting).count();
        let members = self.members.len();
        let others = self.others.len();
        let drifting_members = drifting(&self.members);
        let drifting_others = drifting(&self.others);
        let too_many = if others < members.div_ceil(10) {
            drifting_members * 10 > members
        } else {
            drifting_members * others > drifting_others * members
        };
        too_many.then(|| RolloutStep::Stop {
            reason: format!(
                "{drifting_members} of {members} with the table drift, {drifting_others} of {others} without: see \
                 the drift page"
            ),
        })
    }

    /// Waits until every live member reports the table.
    fn wait_for_table(&self) -> Option<RolloutStep> {
        let mut without = self.members.iter().filter(|proxy| !proxy.has_table);
        let first = without.next()?;
        let count = 1 + without.count();
        let members = self.members.len();
        let reason = format!("{count} of {members} do not report the table yet, such as {}", first.name);
        Some(self.wait_or_time_out(reason))
    }

    /// Waits until the stage has lasted [`Config::min_stage_ms`]. This wait alone cannot time out.
    fn wait_for_min_time(&self) -> Option<RolloutStep> {
        let elapsed_ms = self.elapsed_ms;
        let min_ms = self.config.min_stage_ms;
        let too_short = elapsed_ms < min_ms;
        too_short.then(|| RolloutStep::Wait { reason: format!("stands for {elapsed_ms} of {min_ms} ms") })
    }

    /// Waits until both sides have enough requests for the comparison of [`Self::stop_if_worse`].
    fn wait_for_requests(&self) -> Option<RolloutStep> {
        let min_requests = self.config.min_requests;
        let with_table = self.progress.with_table.requests;
        let without_table = self.comparison().requests;
        let too_few = with_table < min_requests || without_table < min_requests;
        too_few.then(|| {
            self.wait_or_time_out(format!(
                "{with_table} requests with the table and {without_table} without: each side needs {min_requests} to compare"
            ))
        })
    }

    /// Advances to the next stage that has more members than the current one, or completes after the last.
    fn advance(&self) -> RolloutStep {
        if self.rollout.stage == Stage::All {
            return RolloutStep::Complete;
        }
        for stage in [Stage::Tenth, Stage::Half] {
            let size = stage_size(stage, self.live, self.config.first_stage_proxies);
            if stage > self.rollout.stage && size > self.members.len() {
                let members = self.members_with_next(size - self.members.len());
                return RolloutStep::Assign { stage, members };
            }
        }
        RolloutStep::Assign { stage: Stage::All, members: self.rollout.members.clone() }
    }

    /// Names of the current members and of the next `more` reporting proxies in rank.
    fn members_with_next(&self, more: usize) -> BTreeSet<String> {
        let mut others = self.others.clone();
        others.sort_by_key(|proxy| (proxy_rank(proxy.name), proxy.name));
        let next = others.iter().take(more).map(|proxy| proxy.name.to_string());
        self.rollout.members.iter().cloned().chain(next).collect()
    }
}
