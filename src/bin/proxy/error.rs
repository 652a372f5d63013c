//! Errors that end the program. Each message is one line that says what an operator can do.

use crate::config;
use load_balancer::client::membership;
use load_balancer::interface::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration is missing, malformed or invalid.
    #[error(transparent)]
    Config(#[from] config::Error),
    /// The decision module rejects the settings.
    #[error("{0}; mend this key in the configuration file")]
    Settings(#[from] SettingsError),
    /// Membership can't bind its socket.
    #[error(transparent)]
    Membership(#[from] membership::Error),
    /// The event loop can't be created.
    #[error("runtime: {0}; raise the limit of open files (ulimit -n)")]
    Runtime(io::Error),
    /// The handler of a signal can't be installed.
    #[error("{signal}: {source}; raise the limit of open files (ulimit -n)")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A listener can't be opened.
    #[error("{what}: {address}: {source}; end the program that holds it, or change the address")]
    Listen {
        /// Purpose of the listener, `listening` for clients or `ops` for operators.
        what: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The task that serves clients has panicked.
    #[error("serving clients: {0}; this is a defect in the proxy: keep the log and restart it")]
    Serving(#[from] tokio::task::JoinError),
}
