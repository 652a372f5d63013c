//! The watch of the table: a long poll of one registry after another, for as long as the process runs.
//!
//! While no registry answers, or an answer is refused, the table in force stays.

use super::RouteTableClient;
use super::table::TableResponse;
use crate::client::registry::{Call, CallError, Connection, DEFAULT_BACKOFF, EndpointFailover, call};
use crate::client::traffic::TrafficKind;
use bytes::Bytes;
use hyper::Method;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tracing::info;

/// Longest time that a registry holds a poll open. The requests of a fleet rise in inverse proportion to it.
const POLL_WAIT: Duration = Duration::from_secs(5);
/// Pause after a poll that was answered at once without a new table. Failure: a registry that answers at once
/// without one would be asked in a busy loop.
const PAUSE_AFTER_EMPTY_ANSWER: Duration = Duration::from_millis(500);
/// Longest answer that is read, in bytes. The largest table that a registry accepts takes 4.5 MB (computed:
/// all the weights that a table may have, under the longest names).
const MAX_TABLE_BYTES: usize = 8 << 20;

impl RouteTableClient {
    /// Watches the table for ever, from the registries that the channel names at the time.
    pub async fn run_watch(self: Rc<Self>, mut registries: watch::Receiver<Vec<SocketAddr>>) {
        loop {
            let current = registries.borrow_and_update().clone();
            tokio::select! {
                () = self.watch_registries(current) => return,
                Ok(()) = registries.changed() => {}
            }
        }
    }

    /// Polls one registry until it fails, then the next one, with the pauses that the rotation gives.
    async fn watch_registries(&self, registries: Vec<SocketAddr>) {
        let mut source = EndpointFailover::new("routes", registries, DEFAULT_BACKOFF);
        let mut link = None;
        loop {
            self.registry.set(Some(source.address()));
            let polled_at = Instant::now();
            let answer = self.poll(&mut link, source.address()).await;
            match answer.and_then(|response| self.update_table(response)) {
                Ok(is_new) => {
                    if source.record_success() {
                        info!(
                            "routes: {} answers, revision {}",
                            source.address(),
                            self.current.borrow().revision
                        );
                    }
                    self.current.borrow_mut().error = None;
                    if !is_new && polled_at.elapsed() < PAUSE_AFTER_EMPTY_ANSWER {
                        sleep(PAUSE_AFTER_EMPTY_ANSWER).await;
                    }
                }
                Err(fault) => {
                    self.current.borrow_mut().error = Some(format!("{}: {fault}", source.address()));
                    sleep(source.record_failure(&fault)).await;
                }
            }
        }
    }

    /// Asks for the table that this process should have. Without a table the registry answers at once, else
    /// when there is a newer one or after [`POLL_WAIT`].
    async fn poll(
        &self,
        link: &mut Option<Connection>,
        registry: SocketAddr,
    ) -> Result<TableResponse, CallError> {
        let name = self.identity.name();
        let generation = self.identity.generation();
        let mut path = format!("/registry/routes?name={name}&generation={generation}");
        let after =
            Some(self.current.borrow()).filter(|current| current.received).map(|current| current.revision);
        let wait = after.map_or(Duration::ZERO, |_| POLL_WAIT);
        if let Some(after) = after {
            path += &format!("&after={after}&wait_ms={}", POLL_WAIT.as_millis());
        }
        let request = Call {
            kind: TrafficKind::RouteWatch,
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            wait,
            max_answer: MAX_TABLE_BYTES,
        };
        let text = call(link, registry, request, &self.traffic).await?;
        serde_json::from_slice(&text).map_err(CallError::InvalidTable)
    }

    /// Puts a table in force if it is new, and says whether it was.
    ///
    /// # Errors
    ///
    /// The table is refused and counted; the one in force stays.
    fn update_table(&self, response: TableResponse) -> Result<bool, CallError> {
        let mut current = self.current.borrow_mut();
        current.newest = response.newest;
        match response.is_new(&current) {
            Ok(false) => Ok(false),
            Ok(true) => {
                info!(
                    "routes: revision {} in force, digest {}, before {}",
                    response.revision, response.digest, current.revision
                );
                current.set(&response);
                drop(current);
                self.proxy.put_in_force(response.revision, response.weights);
                // The calls counted so far followed other weights: a report must not mix both.
                self.restart_window();
                self.first_table.notify_one();
                Ok(true)
            }
            Err(error) => {
                current.refused += 1;
                Err(error.into())
            }
        }
    }
}
