//! Errors that keep the registry from starting. Each message says what an operator can do.

use crate::store::OpenError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that keeps the registry from starting.
#[derive(Error, Debug)]
pub(crate) enum StartError {
    /// The configuration file can't be read.
    #[error("config: {}: {error}; give a file that can be read, or none", path.display())]
    ConfigRead {
        /// Path of the configuration file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The configuration file is not valid TOML, or has an unknown key or a wrong value.
    #[error("config: {}: {error}", path.display())]
    Config {
        /// Path of the configuration file.
        path: PathBuf,
        /// Position in the file, and what is allowed there.
        error: toml::de::Error,
    },
    /// The data directory can't be opened.
    #[error("data: {}: {error}", path.display())]
    Data {
        /// Path of the data directory.
        path: PathBuf,
        /// Cause, and what to do about it.
        error: OpenError,
    },
    /// The listener can't be bound to the configured address.
    #[error("listen: {address}: {error}; give a free address of this machine")]
    Listen {
        /// Configured address.
        address: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The operating system refuses a thread, an event loop or a signal handler.
    #[error("{resource}: {error}; look at the limits of this process (threads, descriptors)")]
    System {
        /// Name of the thread, or `event loop` or `signal`.
        resource: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
}

impl StartError {
    /// Returns a function that wraps the operating system's error for a resource that it refused.
    pub(crate) fn system(resource: &'static str) -> impl FnOnce(io::Error) -> StartError {
        move |error| StartError::System { resource, error }
    }
}
