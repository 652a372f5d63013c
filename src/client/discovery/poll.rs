//! Polls of the endpoint list, with further calls while an answer is late.
//!
//! A poll either requests the full list or watches for a change after the held version. While its answer is late but not
//! yet due, the next watch is opened at a registry whose calls are free. Once an answer is overdue, hedges are sent one
//! after another. A poll whose answer does not arrive in time fails, but its call stays in flight. The first complete
//! answer to any call is used, and the calls that began before it are cancelled.
//!
//! The poller learns how late answers are, and sends no hedge and gives up no poll before an answer is later than that:
//! a slow registry gets no more calls than a fast one. Once an answer is overdue, hedges follow each other at the
//! schedule's own interval, whatever was learnt.

use super::Settings;
use super::answer_expectation::AnswerExpectation;
use super::calls_in_flight::{CallsInFlight, EndedCall, ListAnswer, ListRequest, PendingCall};
use super::list_call::list_call;
use super::schedule::HedgeSchedule;
use super::slow_report::SlowRegistryReport;
use crate::client::list::ListPage;
use crate::client::registry::{AnswerTime, CallError, Connection};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

/// Page of the list, and the request that it answers.
pub(super) struct PollAnswer {
    pub(super) page: ListPage,
    pub(super) request: ListRequest,
}

/// Makes the calls of a watch.
pub(super) struct Poller {
    settings: Settings,
    connection: Option<Connection>,
    calls: CallsInFlight,
    answer_time: AnswerTime,
    expectation: AnswerExpectation,
    hedges: HedgeSchedule,
    /// Hedge interval after the last call that was started or taken over.
    hedge_interval: Duration,
    /// Start of the last call.
    last_started: Instant,
    slow_report: SlowRegistryReport,
}

impl Poller {
    /// Creates a poller without a connection.
    pub(super) fn new(settings: Settings) -> Self {
        let hedges = settings.schedule.hedge_schedule();
        Poller {
            settings,
            connection: None,
            calls: CallsInFlight::default(),
            answer_time: AnswerTime::default(),
            expectation: AnswerExpectation::default(),
            hedges,
            hedge_interval: Duration::ZERO,
            last_started: Instant::now(),
            slow_report: SlowRegistryReport::default(),
        }
    }

    /// Polls once. After an error the calls of this poll may still be in flight; [`Poller::late_answer`] returns their
    /// answer, as does the next poll.
    ///
    /// # Errors
    ///
    /// Fails with the error of the last awaited call, or with [`CallError::TimedOut`].
    pub(super) async fn poll(&mut self, request: ListRequest) -> Result<PollAnswer, CallError> {
        let awaited_from = self.start_poll(request);
        let lateness = self.answer_time.lateness();
        let follows_timeout = self.answer_time.has_timed_out();
        let deadline = awaited_from + self.settings.schedule.poll_time_limit(lateness, follows_timeout);
        loop {
            let next_call_at = self.next_call_at(request, awaited_from);
            tokio::select! {
                biased;
                ended = self.calls.next_ended() => {
                    if let Some(result) = self.settle(ended) {
                        return result;
                    }
                }
                () = sleep_until(deadline) => {
                    self.time_out(awaited_from);
                    return Err(CallError::TimedOut);
                }
                () = sleep_until(next_call_at) => self.start_further_call(request),
            }
        }
    }

    /// Waits for an answer to a call that is still in flight after its poll. Never returns if there is none.
    pub(super) async fn late_answer(&mut self) -> PollAnswer {
        loop {
            let ended = self.calls.next_ended().await;
            if let Some(Ok(answer)) = self.settle(ended) {
                return answer;
            }
        }
    }

    /// Returns the time since a call was last started.
    pub(super) fn time_since_last_call(&self) -> Duration {
        self.last_started.elapsed()
    }

    /// Cancels all calls, whose answers would no longer be valid, and closes the kept connection.
    pub(super) fn disconnect(&mut self) {
        self.calls.cancel_all();
        self.connection = None;
        self.expectation.cancel();
        self.hedges.reset();
    }

    /// Starts the current call of a poll, unless a call that is in flight can take its place. Returns the time from
    /// which its answer is late.
    fn start_poll(&mut self, request: ListRequest) -> Instant {
        let taken_over = self.calls.keep_awaited(request);
        let awaited_from = match taken_over {
            Some(awaited_from) => {
                debug!("discovery: the poll awaits a call that is in flight");
                awaited_from
            }
            None => self.start_current(request),
        };
        self.hedge_interval = self.hedges.next_interval();
        let lateness = self.expected_lateness();
        self.expectation
            .expect(awaited_from + self.settings.schedule.due_after(self.hedge_interval, lateness));
        awaited_from
    }

    /// Starts the current call of a poll. Returns the time from which its answer is late.
    fn start_current(&mut self, request: ListRequest) -> Instant {
        debug!("discovery: a call is due for the next poll");
        // Where watches overlap, the first call is answered sooner without a wait, and the next watch follows at once.
        let overlaps_watches = self.settings.schedule.overlaps_watches(self.expected_lateness());
        let request = match request.wait.is_zero() || overlaps_watches {
            true => ListRequest { wait: Duration::ZERO, ..request },
            false => self.as_watch(request),
        };
        let connection = self.connection.take();
        self.start_call(request, connection, CallsInFlight::add);
        self.last_started + request.wait
    }

    /// Starts a call beside those in flight: the next watch if the answer is not due yet, and otherwise a hedge.
    fn start_further_call(&mut self, request: ListRequest) {
        if self.settings.schedule.are_calls_free() && !self.expectation.is_overdue() {
            debug!("discovery: the next watch is due beside a late one");
            let connection = self.connection.take();
            self.start_call(self.as_watch(request), connection, CallsInFlight::add);
        } else {
            let lateness_ms = self.expected_lateness().as_millis();
            debug!("discovery: a hedge is due, answers are expected to be {lateness_ms} ms late");
            // The kept connection may be broken, too.
            self.connection = None;
            let request = ListRequest { wait: Duration::ZERO, ..request };
            self.start_call(request, None, CallsInFlight::set_hedge);
        }
        self.hedge_interval = self.hedges.next_interval();
    }

    /// Returns when a call is made beside those in flight, of which the poll's own is late from `awaited_from`.
    fn next_call_at(&self, request: ListRequest, awaited_from: Instant) -> Instant {
        let (schedule, interval) = (self.settings.schedule, self.hedge_interval);
        if self.expectation.is_overdue() {
            return self.last_started + interval;
        }
        let newest = self.calls.newest_awaited_from().unwrap_or(awaited_from);
        let is_allowed = !schedule.are_calls_free() || (request.after.is_some() && !self.calls.is_full());
        let delay = schedule.further_call_after(interval, self.expected_lateness()).filter(|_| is_allowed);
        let due = self.expectation.due();
        let further = delay.map(|delay| newest + delay);
        due.into_iter().chain(further).min().unwrap_or(newest + interval)
    }

    /// Returns by how much the next answer is expected to be late.
    fn expected_lateness(&self) -> Duration {
        match self.settings.schedule.are_calls_free() {
            true => self.expectation.lateness(),
            false => self.answer_time.lateness(),
        }
    }

    fn as_watch(&self, request: ListRequest) -> ListRequest {
        ListRequest { wait: self.settings.schedule.watch_wait(self.expected_lateness()), ..request }
    }

    fn start_call(
        &mut self,
        request: ListRequest,
        connection: Option<Connection>,
        add: fn(&mut CallsInFlight, PendingCall),
    ) {
        let Settings { service, traffic, .. } = &self.settings;
        add(&mut self.calls, list_call(request, service.as_ref(), traffic.clone(), connection));
        self.last_started = Instant::now();
    }

    /// Keeps the current call, whose answer was awaited from `awaited_from`, as the overdue one.
    fn time_out(&mut self, awaited_from: Instant) {
        self.connection = None;
        self.answer_time.record_timeout();
        self.calls.retire_current(awaited_from + self.answer_time.time_limit());
    }

    /// Handles the end of a call; returns the result of the poll if that ends it, too.
    fn settle(&mut self, ended: EndedCall) -> Option<Result<PollAnswer, CallError>> {
        let EndedCall { was_overdue, request, elapsed, result } = ended;
        match result {
            Ok(ListAnswer { page, connection }) => {
                self.connection = connection;
                self.record_answer(request, &page, elapsed);
                Some(Ok(PollAnswer { page, request }))
            }
            Err(_) if was_overdue => None,
            Err(error) => {
                self.connection = None;
                self.expectation.record_failure();
                (!self.calls.has_awaited()).then_some(Err(error))
            }
        }
    }

    /// Records how late an answer was. One to a watch that tells a change may have been sent at any time of its wait.
    fn record_answer(&mut self, request: ListRequest, page: &ListPage, elapsed: Duration) {
        self.hedges.reset();
        self.answer_time.record_answer(elapsed, request.wait);
        let tells_change = request.after != Some(page.version);
        let min_lateness = elapsed.saturating_sub(request.wait);
        let max_lateness = if tells_change { elapsed } else { min_lateness };
        self.expectation.record_answer(min_lateness, max_lateness);
        self.slow_report.record_lateness(request.registry, self.answer_time.lateness());
    }
}
