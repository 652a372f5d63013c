//! Watch of the route table: long polls with failover among the registries, for the lifetime of the process.
//!
//! While no registry answers, or an answer is rejected, the table in force stays.

use super::RouteTableClient;
use super::table::TableResponse;
use crate::client::registry::{Call, CallError, DEFAULT_BACKOFF, EndpointFailover, RegistryClient};
use crate::client::traffic::TrafficKind;
use bytes::Bytes;
use hyper::Method;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tracing::info;

/// Longest time that a registry holds a poll open. The request rate of a fleet is inversely proportional to it.
const POLL_WAIT: Duration = Duration::from_secs(5);
/// Delay after a poll that was answered without a new table sooner than this. Without the delay, a registry that
/// answers immediately would be polled in a tight loop.
const UNCHANGED_DELAY: Duration = Duration::from_millis(500);
/// Longest accepted answer, in bytes. The largest table that a registry accepts takes 4.5 MB (computed: the maximum
/// number of weights, with the longest names).
const MAX_TABLE_BYTES: usize = 8 << 20;

impl RouteTableClient {
    /// Watches the table for ever, at the registries that the channel currently holds.
    pub async fn run_watch(self: Rc<Self>, mut registries: watch::Receiver<Vec<SocketAddr>>) {
        loop {
            let current = registries.borrow_and_update().clone();
            tokio::select! {
                () = self.watch_registries(current) => return,
                Ok(()) = registries.changed() => {}
            }
        }
    }

    /// Polls the table with failover among `registries`, with the delays of the failover after failed polls.
    async fn watch_registries(&self, registries: Vec<SocketAddr>) {
        let mut failover = EndpointFailover::new("routes", registries, DEFAULT_BACKOFF);
        let mut client = RegistryClient::new(self.traffic.clone());
        loop {
            self.registry.set(Some(failover.address()));
            let polled_at = Instant::now();
            let wait = if failover.is_failing() { Duration::ZERO } else { POLL_WAIT };
            let answer = self.poll(&mut client, failover.address(), wait).await;
            match answer.and_then(|response| self.update_table(response)) {
                Ok(is_new) => {
                    if failover.record_success() {
                        info!(
                            "routes: {} answers after failed calls; revision {} is in force",
                            failover.address(),
                            self.current.borrow().revision
                        );
                    }
                    self.current.borrow_mut().error = None;
                    if !is_new && polled_at.elapsed() < UNCHANGED_DELAY {
                        sleep(UNCHANGED_DELAY).await;
                    }
                }
                Err(error) => {
                    self.current.borrow_mut().error = Some(format!("{}: {error}", failover.address()));
                    sleep(failover.record_failure(&error)).await;
                }
            }
        }
    }

    /// Polls the table that this process should have. While this process has no table, the registry answers
    /// immediately; otherwise when there is a newer table, or after `wait`.
    async fn poll(
        &self,
        client: &mut RegistryClient,
        registry: SocketAddr,
        wait: Duration,
    ) -> Result<TableResponse, CallError> {
        let name = self.identity.name();
        let generation = self.identity.generation();
        let mut path = format!("/registry/routes?name={name}&generation={generation}");
        let after =
            Some(self.current.borrow()).filter(|current| current.received).map(|current| current.revision);
        let wait = after.map_or(Duration::ZERO, |_| wait);
        if let Some(after) = after {
            // A registry may treat a wait of 0 as an absent parameter and apply its default wait.
            path += &format!("&after={after}&wait_ms={}", wait.as_millis().max(1));
        }
        let request = Call {
            kind: TrafficKind::RouteWatch,
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            wait,
            max_answer: MAX_TABLE_BYTES,
        };
        let text = client.call_idempotent(registry, request).await?;
        serde_json::from_slice(&text).map_err(CallError::InvalidTable)
    }

    /// Applies a table if it is new; returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns an error if the table is rejected. It is counted, and the table in force stays.
    fn update_table(&self, response: TableResponse) -> Result<bool, CallError> {
        let mut current = self.current.borrow_mut();
        current.newest = response.newest;
        match response.is_new(&current) {
            Ok(false) => Ok(false),
            Ok(true) => {
                info!(
                    "routes: revision {} is in force with digest {}; it replaces revision {}",
                    response.revision, response.digest, current.revision
                );
                current.set(&response);
                drop(current);
                self.proxy.apply_table(response.revision, response.weights);
                // The calls counted so far followed the previous weights; a report must not mix both.
                self.restart_window();
                self.first_table.notify_one();
                Ok(true)
            }
            Err(error) => {
                current.rejected += 1;
                Err(error.into())
            }
        }
    }
}
