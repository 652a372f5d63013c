//! Handles signals: SIGTERM stops the proxy, and SIGHUP reads discovery's addresses again.

use crate::config::Origin;
use crate::error::Error;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Streams of the signals that the process handles.
pub(super) struct Signals {
    /// Receives SIGTERM, which stops the proxy.
    pub(super) terminate: Signal,
    /// Receives SIGHUP, which reads discovery's addresses again from the configuration file.
    pub(super) hangup: Signal,
}

impl Signals {
    pub(super) fn install() -> Result<Self, Error> {
        let install =
            |kind, signal_name| signal(kind).map_err(|source| Error::Signal { signal: signal_name, source });
        let terminate = install(SignalKind::terminate(), "SIGTERM")?;
        let hangup = install(SignalKind::hangup(), "SIGHUP")?;
        Ok(Signals { terminate, hangup })
    }
}

/// Starts the task that reads discovery's addresses again at each SIGHUP. If they can't be read, the old ones stay.
pub(super) fn start_reloads(
    origin: Origin,
    mut hangup: Signal,
    discovery_sender: watch::Sender<Vec<SocketAddr>>,
) {
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match origin.discovery() {
                Ok(addresses) => update_discovery(&discovery_sender, addresses),
                Err(e) => warn!("not reloaded, discovery's addresses are unchanged: {e}"),
            }
        }
    });
}

/// Publishes discovery's addresses if they have changed.
fn update_discovery(discovery_sender: &watch::Sender<Vec<SocketAddr>>, addresses: Vec<SocketAddr>) {
    let text = addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
    if discovery_sender.send_if_modified(|now| std::mem::replace(now, addresses.clone()) != addresses) {
        info!("reloaded, discovery is at {text}");
    }
}
