//! Follows the table for ever.

use super::Routes;
use super::table::Page;
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

/// How long a watch waits for another table: what a fleet asks of a registry grows as this gets shorter.
const WAIT: Duration = Duration::from_secs(5);
/// Pause after an answer without news that came at once.
const PAUSE_WITHOUT_NEWS: Duration = Duration::from_millis(500);
/// Longest table, in bytes: one with all the weights that a table may have, under the longest names, takes 4.5 MB
/// (computed). So what a registry takes can be read here; no more than this is held of an answer.
const MAX_TABLE: usize = 8 << 20;

impl Routes {
    /// Follows it wherever the registries move to.
    pub async fn follow(self: Rc<Self>, mut registries: watch::Receiver<Vec<SocketAddr>>) {
        loop {
            let at = registries.borrow_and_update().clone();
            tokio::select! {
                () = self.follow_at(at) => return,
                Ok(()) = registries.changed() => {}
            }
        }
    }

    async fn follow_at(&self, registries: Vec<SocketAddr>) {
        let (mut source, mut link) = (EndpointFailover::new("routes", registries, DEFAULT_BACKOFF), None);
        loop {
            self.registry.set(Some(source.address()));
            let asked = Instant::now();
            let answer = self.ask(&mut link, source.address()).await;
            match answer.and_then(|page| self.take(page)) {
                Ok(news) => {
                    if source.record_success() {
                        info!(
                            "routes: {} answers, revision {}",
                            source.address(),
                            self.held.borrow().revision
                        );
                    }
                    self.held.borrow_mut().error = None;
                    if !news && asked.elapsed() < PAUSE_WITHOUT_NEWS {
                        sleep(PAUSE_WITHOUT_NEWS).await;
                    }
                }
                Err(fault) => {
                    self.held.borrow_mut().error = Some(format!("{}: {fault}", source.address()));
                    sleep(source.record_failure(&fault)).await;
                }
            }
        }
    }

    /// The table that this process should have: at once where it has none yet, else when there is another.
    async fn ask(&self, link: &mut Option<Connection>, registry: SocketAddr) -> Result<Page, CallError> {
        let (name, generation) = (self.who.name(), self.who.generation());
        let mut path = format!("/registry/routes?name={name}&generation={generation}");
        let after = Some(self.held.borrow()).filter(|held| held.any).map(|held| held.revision);
        let wait = after.map_or(Duration::ZERO, |_| WAIT);
        if let Some(after) = after {
            path += &format!("&after={after}&wait_ms={}", WAIT.as_millis());
        }
        let asked = Call {
            kind: TrafficKind::RouteWatch,
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            wait,
            max_answer: MAX_TABLE,
        };
        let text = call(link, registry, asked, &self.traffic).await?;
        serde_json::from_slice(&text).map_err(CallError::InvalidTable)
    }

    /// Puts a table in force if it is news. One that cannot be taken leaves the last good one in force.
    fn take(&self, page: Page) -> Result<bool, CallError> {
        let mut held = self.held.borrow_mut();
        held.newest = page.newest;
        match page.news(&held) {
            Ok(false) => Ok(false),
            Ok(true) => {
                info!(
                    "routes: revision {} in force, digest {}, before {}",
                    page.revision, page.digest, held.revision
                );
                held.take(&page);
                drop(held);
                self.proxy.put_in_force(page.revision, page.weights);
                // What was counted until now was sent by other weights.
                self.cut_window();
                self.first.notify_one();
                Ok(true)
            }
            Err(spoilt) => {
                held.refused += 1;
                Err(spoilt.into())
            }
        }
    }
}
