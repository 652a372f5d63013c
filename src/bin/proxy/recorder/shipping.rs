//! Sends the recorder's segments to a registry, the oldest first.
//!
//! Acts when a segment is cut, and again after a backoff where no registry accepts it. Owns the connection to the registry.

use super::{MAX_WAITING, Recording};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use load_balancer::client::registry::{Call, CallError, DEFAULT_BACKOFF, EndpointFailover, RegistryClient};
use load_balancer::client::traffic::TrafficKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use tracing::{info, warn};

/// Maximum length of a registry's answer to a segment, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The registry that segments are sent to.
struct Destination {
    registries: EndpointFailover,
    client: RegistryClient,
}

impl Recording {
    /// Sends segments to a registry as long as the process runs, and reconnects when the registries' addresses change.
    pub async fn ship_segments(self: Rc<Self>, mut registries: watch::Receiver<Vec<SocketAddr>>) {
        loop {
            let addresses = registries.borrow_and_update().clone();
            tokio::select! {
                () = self.ship_to_registries(addresses) => return,
                Ok(()) = registries.changed() => {}
            }
        }
    }

    async fn ship_to_registries(&self, addresses: Vec<SocketAddr>) {
        let registries = EndpointFailover::new("record", addresses, DEFAULT_BACKOFF);
        let mut destination = Destination { registries, client: RegistryClient::new(self.traffic.clone()) };
        loop {
            let Some(segment) = self.waiting.borrow_mut().pop_front() else {
                self.ready.notified().await;
                continue;
            };
            let number = segment.number;
            // Encoding takes milliseconds, and this thread serves requests.
            let Ok(bytes) = spawn_blocking(move || segment.encode()).await.map(Bytes::from) else {
                continue;
            };
            while !self.send_segment(&mut destination, number, &bytes).await {}
        }
    }

    /// Sends a segment once. Returns whether it is settled: accepted, rejected for good or dropped.
    async fn send_segment(&self, destination: &mut Destination, number: u64, bytes: &Bytes) -> bool {
        let Destination { registries, client } = destination;
        let put = Call {
            kind: TrafficKind::Trace,
            method: Method::PUT,
            path: "/registry/traces",
            body: bytes.clone(),
            wait: Duration::ZERO,
            max_answer: MAX_ANSWER_BYTES,
        };
        match client.call(registries.address(), put).await {
            Ok(_) => {
                if registries.record_success() {
                    info!(
                        "record: {} accepts segments again, from segment {number} on",
                        registries.address()
                    );
                }
                self.count(|counts| {
                    counts.segments += 1;
                    counts.bytes += bytes.len() as u64;
                });
                true
            }
            Err(CallError::Status { status, why }) if is_final(status) => {
                warn!("record: segment {number} lost: {} answered {status}{why}", registries.address());
                self.count(|counts| counts.lost += 1);
                true
            }
            Err(error) => {
                client.disconnect();
                sleep(registries.record_failure(&error)).await;
                // While no registry is reachable, drops this segment once the queue is full: newer ones are more useful.
                let is_full = self.waiting.borrow().len() >= MAX_WAITING;
                if is_full {
                    self.count(|counts| counts.lost += 1);
                }
                is_full
            }
        }
    }
}

/// Whether a registry would answer a retry with the same status.
fn is_final(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::TOO_MANY_REQUESTS
        && status != StatusCode::REQUEST_TIMEOUT
}
