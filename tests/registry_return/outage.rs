//! What clients do while a registry is gone and when it comes back, by their counts of calls.

use super::MAX_PAUSE;
use crate::client_rig::Client;
use crate::rig::within_deadline;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Calls by which each client has got to its longest pause.
const CALLS: u64 = 8;
/// An outage lasts for so long at the least: without a backoff a client calls some forty times meanwhile.
const LASTS: Duration = Duration::from_secs(8);
/// The shortest pause after a failed call, and the shortest time until a further call goes out beside a late one.
const FIRST_PAUSE: Duration = Duration::from_millis(33);
const FIRST_HEDGE: Duration = Duration::from_millis(200);
/// How often the return is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// An outage, since the registry's end.
pub struct Outage {
    begun: Instant,
    calls: Vec<u64>,
}

impl Outage {
    /// Begins now: the registry has ended. Some clients may have failed already, and have longer pauses then.
    pub fn begin(clients: &[Client]) -> Outage {
        Outage { begun: Instant::now(), calls: clients.iter().map(Client::call_count).collect() }
    }

    /// Waits until it has lasted for some seconds, and each client has failed so often that its pauses are the longest.
    pub async fn has_lasted(&self, clients: &[Client]) {
        within_deadline(async {
            let often = |(client, before): (&Client, &u64)| client.call_count() >= before + CALLS;
            while self.begun.elapsed() < LASTS || !clients.iter().zip(&self.calls).all(often) {
                sleep(LOOK).await;
            }
        })
        .await;
    }

    /// No client has made more calls than its shortest pauses allow for. A slow machine makes them fewer, never more.
    pub fn was_bounded(&self, clients: &[Client]) {
        let most: u64 =
            most_in(FIRST_PAUSE, self.begun.elapsed()) + most_in(FIRST_HEDGE, self.begun.elapsed());
        for (client, before) in clients.iter().zip(&self.calls) {
            // One may be about to go out, and one just beside it.
            let made = client.call_count() - before;
            assert!(made <= 2 + most, "{made} calls in {:?}, at most {most}", self.begun.elapsed());
        }
    }
}

/// The most pauses that fit into a time, from the first on and doubling to the longest.
fn most_in(first: Duration, time: Duration) -> u64 {
    let (mut pause, mut spent, mut count) = (first, first, 0);
    while spent <= time {
        count += 1;
        pause = (pause * 2).min(MAX_PAUSE);
        spent += pause;
    }
    count
}

/// What one look at the clients shows.
struct Look {
    at: Instant,
    calls: Vec<u64>,
    away: Vec<bool>,
}

impl Look {
    fn now(clients: &[Client], names: &[&str]) -> Look {
        let away = clients.iter().map(|client| !client.has_backends(names)).collect();
        Look { at: Instant::now(), calls: clients.iter().map(Client::call_count).collect(), away }
    }

    /// How many of those that were away then have called since.
    fn called_since(&self, clients: &[Client]) -> usize {
        let called = |n: &usize| self.away[*n] && clients[*n].call_count() > self.calls[*n];
        (0..clients.len()).filter(called).count()
    }
}

/// Looks on while clients return, until all hold just these backends: none of them call together. At their longest
/// pauses at most half of `N` calls fall into a second. The bound is twice that for the time between a look and the one
/// after the next, however long a busy machine makes it, and an eighth of all for chance. It is taken over two looks
/// since a call that is due at one may be seen at the next only.
pub async fn returns_spread(clients: &[Client], names: &[&str]) {
    let mut earlier = Look::now(clients, names);
    within_deadline(async {
        sleep(LOOK).await;
        let mut last = Look::now(clients, names);
        while last.away.contains(&true) {
            sleep(LOOK).await;
            let (called, time) = (earlier.called_since(clients), earlier.at.elapsed());
            let most = clients.len() as f64 * (time.as_secs_f64() + 1.0 / 8.0);
            assert!(called as f64 <= most, "{called} call within {time:?}");
            earlier = std::mem::replace(&mut last, Look::now(clients, names));
        }
    })
    .await;
}
