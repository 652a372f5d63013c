//! The signals that the process handles: SIGTERM, to stop, and SIGHUP, to read discovery's addresses again.

use crate::config::Origin;
use crate::error::Error;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// The signals that the process handles.
pub(super) struct Signals {
    /// SIGTERM: stop.
    pub(super) terminate: Signal,
    /// SIGHUP: read the configuration file again.
    pub(super) hangup: Signal,
}

impl Signals {
    pub(super) fn install() -> Result<Self, Error> {
        let listen =
            |kind, signal_name| signal(kind).map_err(|source| Error::Signal { signal: signal_name, source });
        let terminate = listen(SignalKind::terminate(), "SIGTERM")?;
        let hangup = listen(SignalKind::hangup(), "SIGHUP")?;
        Ok(Signals { terminate, hangup })
    }
}

/// Reads discovery's addresses again at each SIGHUP.
pub(super) fn start_reloads(
    origin: Origin,
    mut hangup: Signal,
    discovery_moved: watch::Sender<Vec<SocketAddr>>,
) {
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match origin.discovery() {
                Ok(addresses) => move_discovery(&discovery_moved, addresses),
                Err(e) => warn!("not reloaded: {e}"),
            }
        }
    });
}

fn move_discovery(discovery_moved: &watch::Sender<Vec<SocketAddr>>, addresses: Vec<SocketAddr>) {
    let text = addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
    if discovery_moved.send_if_modified(|now| std::mem::replace(now, addresses.clone()) != addresses) {
        info!("reloaded, discovery is at {text}");
    }
}
