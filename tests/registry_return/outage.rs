//! Checks on the calls of clients during an outage of the registry and after its return.

use super::MAX_BACKOFF;
use crate::client_rig::Client;
use crate::rig::within_deadline;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of failed calls after which each client has its maximum backoff.
const CALLS_TO_MAX_BACKOFF: u64 = 8;
/// Minimum duration of an outage. Without a backoff a client makes about forty calls in this time.
const MIN_OUTAGE: Duration = Duration::from_secs(8);
/// Minimum backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(33);
/// Minimum time after which a hedged call is sent in addition to one that is not yet answered.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Time between two samples of the clients.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// An outage of the registry.
pub struct Outage {
    start: Instant,
    /// Number of calls of each client at the start of the outage.
    calls_before: Vec<u64>,
}

impl Outage {
    /// Starts the measurement after the registry has ended. Calls of some clients may have failed before this, so that
    /// their backoff is longer.
    pub fn begin(clients: &[Client]) -> Outage {
        Outage { start: Instant::now(), calls_before: clients.iter().map(Client::call_count).collect() }
    }

    /// Waits until the outage has lasted for [`MIN_OUTAGE`] and each client has reached its maximum backoff.
    pub async fn wait_for_max_backoff(&self, clients: &[Client]) {
        within_deadline(async {
            let has_max_backoff =
                |(client, before): (&Client, &u64)| client.call_count() >= before + CALLS_TO_MAX_BACKOFF;
            while self.start.elapsed() < MIN_OUTAGE
                || !clients.iter().zip(&self.calls_before).all(has_max_backoff)
            {
                sleep(SAMPLE_INTERVAL).await;
            }
        })
        .await;
    }

    /// Checks that no client has made more calls than its minimum backoff allows. A slow machine leads to fewer calls,
    /// never to more.
    pub fn check_call_bound(&self, clients: &[Client]) {
        let max_calls: u64 = max_delays_in(MIN_BACKOFF, self.start.elapsed())
            + max_delays_in(MIN_HEDGE_DELAY, self.start.elapsed());
        for (client, before) in clients.iter().zip(&self.calls_before) {
            // Two more calls are allowed: one that was due at the start, and its hedged call.
            let calls = client.call_count() - before;
            assert!(
                calls <= 2 + max_calls,
                "{calls} calls in {:?}, at most 2 + {max_calls} are allowed",
                self.start.elapsed()
            );
        }
    }
}

/// Returns the maximum number of consecutive delays that fit into a time. The delays start at `first` and double up to
/// [`MAX_BACKOFF`].
fn max_delays_in(first: Duration, time: Duration) -> u64 {
    let (mut delay, mut spent, mut count) = (first, first, 0);
    while spent <= time {
        count += 1;
        delay = (delay * 2).min(MAX_BACKOFF);
        spent += delay;
    }
    count
}

/// A sample of the state of all clients.
struct Sample {
    taken_at: Instant,
    /// Number of calls of each client.
    calls: Vec<u64>,
    /// True for each client whose list differs from the expected one.
    is_outdated: Vec<bool>,
}

impl Sample {
    fn take(clients: &[Client], expected: &[&str]) -> Sample {
        let is_outdated = clients.iter().map(|client| !client.has_backends(expected)).collect();
        Sample {
            taken_at: Instant::now(),
            calls: clients.iter().map(Client::call_count).collect(),
            is_outdated,
        }
    }

    /// Returns the number of clients that were outdated in this sample and have made a call since.
    fn called_since(&self, clients: &[Client]) -> usize {
        let called = |n: &usize| self.is_outdated[*n] && clients[*n].call_count() > self.calls[*n];
        (0..clients.len()).filter(called).count()
    }
}

/// Waits until every client's list has exactly the expected backends, and checks that the clients do not call at the
/// same time. At the maximum backoff, at most half of `N` clients make their call within a second. The bound is twice
/// that for the time between a sample and the one after the next, however long a busy machine makes it, plus an
/// eighth of all clients for random variation. It spans two sample intervals since a call that is due at one sample
/// may be visible only at the next.
pub async fn wait_for_spread_return(clients: &[Client], expected: &[&str]) {
    let mut earlier = Sample::take(clients, expected);
    within_deadline(async {
        sleep(SAMPLE_INTERVAL).await;
        let mut last = Sample::take(clients, expected);
        while last.is_outdated.contains(&true) {
            sleep(SAMPLE_INTERVAL).await;
            let (called, time) = (earlier.called_since(clients), earlier.taken_at.elapsed());
            let max_calls = clients.len() as f64 * (time.as_secs_f64() + 1.0 / 8.0);
            assert!(called as f64 <= max_calls, "{called} clients made a call within {time:?}");
            earlier = std::mem::replace(&mut last, Sample::take(clients, expected));
        }
    })
    .await;
}
