//! Why the program ends. Each error is one line that says what an operator can do.

use crate::config;
use load_balancer::client::membership;
use load_balancer::interface::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why the program ends. Each is one line.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] config::Error),
    /// The decision module rejects the settings.
    #[error("{0}; mend this key in the configuration file")]
    Settings(#[from] SettingsError),
    /// Membership cannot bind its socket.
    #[error(transparent)]
    Membership(#[from] membership::Error),
    /// The event loop cannot be created.
    #[error("runtime: {0}; raise the limit of open files (ulimit -n)")]
    Runtime(io::Error),
    /// A signal cannot be awaited.
    #[error("{signal}: {source}; raise the limit of open files (ulimit -n)")]
    Signal {
        /// Which one.
        signal: &'static str,
        /// What is wrong with it.
        source: io::Error,
    },
    /// A listener cannot be bound.
    #[error("{what}: {address}: {source}; end the program that holds it, or change the address")]
    Listen {
        /// What was to listen.
        what: &'static str,
        /// Where.
        address: SocketAddr,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The task that serves clients has panicked.
    #[error("front: {0}; a defect: keep the log, and start anew")]
    Serving(#[from] tokio::task::JoinError),
}
