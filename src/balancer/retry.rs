//! Retry policy. After an attempt has failed, the request is sent again at once if all of these hold:
//! - the failure is not the request's own fault (`Malformed`), and its body has not been consumed;
//! - it has attempts left, and more than one clock step (`tick_ms`) before its deadline;
//! - it may run again: no attempt ran, its class is idempotent, or backends still deduplicate its repeats;
//! - if it may have run, the retry budget has a token;
//! - an endpoint can take it (`selection`).
//!
//! Otherwise it waits in its slice's queue, provided that no attempt can have run, its queue deadline has not
//! passed, and it has attempts and its body left; failing that, it is given up
//! ([`Balancer::reject_or_fail`]).

use super::Balancer;
use super::request::Request;
use crate::interface::*;

/// Tokens that each request adds to the retry budget: retries of requests that may have run are at most a
/// tenth of all requests, beyond a burst of [`MIN_BUDGET_TOKENS`].
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Minimum capacity of the retry budget in tokens, and its content at start.
const MIN_BUDGET_TOKENS: f64 = 10.0;

/// Token budget for retries of requests that may have run.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget { tokens: MIN_BUDGET_TOKENS }
    }

    /// Adds one request's tokens, up to a tenth of the concurrency limit or [`MIN_BUDGET_TOKENS`], whichever
    /// is greater.
    pub(super) fn earn(&mut self, concurrency_limit: f64) {
        let earned = self.tokens + TOKENS_PER_REQUEST;
        self.tokens = earned.min(MIN_BUDGET_TOKENS.max(concurrency_limit * TOKENS_PER_REQUEST));
    }
}

impl Balancer {
    /// Returns whether a request may safely run once more on some backend: no attempt ran, its class is
    /// idempotent, or backends still deduplicate its repeats. The deduplication window counts from the first
    /// attempt that may have run, and is taken one clock step (`tick_ms`) shorter.
    fn may_run_again(&self, now_ms: f64, request: &Request) -> bool {
        let Some(first) = request.first_that_may_have_run() else { return true };
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { dedup_window_ms, .. } => {
                now_ms < first.sent_ms + dedup_window_ms - self.settings.tick_ms
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns whether a retry by the client is harmless. It may reach any backend, so repeats must be
    /// deduplicated by all of them.
    pub(super) fn client_may_retry(&self, now_ms: f64, request: &Request) -> bool {
        let anywhere = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        self.may_run_again(now_ms, request) && (anywhere || request.never_ran())
    }

    /// Sends another attempt and returns whether it was sent. The class, the deadline (more than one clock
    /// step away) and, for a request that may have run, the retry budget must allow it.
    pub(super) fn retry(
        &mut self,
        now_ms: f64,
        id: RequestId,
        never_ran: bool,
        out: &mut Vec<Action>,
    ) -> bool {
        let request = &self.requests[&id];
        let attempts_left = request.attempts.len() < self.settings.caps.max_attempts as usize;
        let time_left = now_ms + self.settings.tick_ms < request.deadline_ms;
        let within_budget = never_ran || self.retry_budget.tokens >= 1.0;
        let allowed = attempts_left && time_left && within_budget && self.may_run_again(now_ms, request);
        let sent = allowed && self.send(now_ms, id, out);
        if sent && !never_ran {
            self.retry_budget.tokens -= 1.0;
        }
        sent
    }
}
