//! Client of one task that calls a registry.

use super::{AnswerTime, Call, CallError, Connection, call};
use crate::client::traffic::Traffic;
use bytes::Bytes;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Shortest and longest time between two hedges: a hedge to a slow registry may be answered within the shortest.
const HEDGE_INTERVAL: RangeInclusive<Duration> = Duration::from_secs(3)..=Duration::from_secs(4);

/// Makes a task's calls one after another, over a kept connection and with a time limit that adapts to the answers.
pub struct RegistryClient {
    connection: Option<Connection>,
    answer_time: AnswerTime,
    traffic: Traffic,
}

impl RegistryClient {
    /// Creates a client without a connection, whose calls are counted in `traffic`.
    pub fn new(traffic: Traffic) -> Self {
        RegistryClient { connection: None, answer_time: AnswerTime::default(), traffic }
    }

    /// Makes a call; see [`call`].
    pub async fn call(&mut self, address: SocketAddr, request: Call<'_>) -> Result<Bytes, CallError> {
        let (started, wait) = (Instant::now(), request.wait);
        let answer_limit = self.answer_time.time_limit();
        let result = call(&mut self.connection, address, request, answer_limit, &self.traffic).await;
        self.record_end(&result, started.elapsed(), wait);
        result
    }

    /// Makes a call that may be repeated. If the call before it timed out, this one is hedged: its long time limit is
    /// for a registry that is slow, and one that was silent and is prompt again must not be called only after it.
    pub async fn call_idempotent(
        &mut self,
        address: SocketAddr,
        request: Call<'_>,
    ) -> Result<Bytes, CallError> {
        if !self.answer_time.has_timed_out() {
            return self.call(address, request).await;
        }
        let mut hedge_connection = None;
        let (hedge, traffic) = (request.clone(), self.traffic.clone());
        let answered_hedge = tokio::select! {
            biased;
            result = self.call(address, request) => return result,
            answered = answered_hedge(&mut hedge_connection, address, hedge, &traffic) => answered,
        };
        let AnsweredHedge { result, elapsed, wait } = answered_hedge;
        self.connection = hedge_connection;
        self.record_end(&result, elapsed, wait);
        result
    }

    fn record_end(&mut self, result: &Result<Bytes, CallError>, elapsed: Duration, wait: Duration) {
        match result {
            Err(CallError::TimedOut) => self.answer_time.record_timeout(),
            Ok(_) | Err(CallError::Status { .. }) => self.answer_time.record_answer(elapsed, wait),
            Err(_) => {}
        }
    }

    /// Closes the kept connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}

/// Answer to a hedge.
struct AnsweredHedge {
    result: Result<Bytes, CallError>,
    /// Time from the start of the hedge to its answer.
    elapsed: Duration,
    wait: Duration,
}

/// Sends hedges until one is answered. Each one ends when the next is due, so that one is in flight at a time.
async fn answered_hedge(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    request: Call<'_>,
    traffic: &Traffic,
) -> AnsweredHedge {
    let wait = request.wait;
    sleep(next_hedge_interval()).await;
    loop {
        let started = Instant::now();
        let interval = next_hedge_interval();
        let result = call(connection, address, request.clone(), interval, traffic).await;
        if matches!(result, Ok(_) | Err(CallError::Status { .. })) {
            return AnsweredHedge { result, elapsed: started.elapsed(), wait };
        }
        sleep((interval + wait).saturating_sub(started.elapsed())).await;
    }
}

/// Returns a random time between two hedges: clients that lose a registry at the same moment do not repeat their calls at
/// the same moment.
fn next_hedge_interval() -> Duration {
    let spread = *HEDGE_INTERVAL.end() - *HEDGE_INTERVAL.start();
    *HEDGE_INTERVAL.start() + spread.mul_f64(fastrand::f64())
}
