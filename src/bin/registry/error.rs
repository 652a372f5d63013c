//! Why the registry does not start. Each text says what an operator can do.

use crate::store::OpenError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends the start.
#[derive(Error, Debug)]
pub(crate) enum StartError {
    /// The configuration file can't be read.
    #[error("config: {}: {error}; give a file that can be read, or none", path.display())]
    ConfigRead {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The configuration file is no TOML, or has a wrong key or value.
    #[error("config: {}: {error}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// The place in the file, and what is allowed there.
        error: toml::de::Error,
    },
    /// The data directory can't be opened.
    #[error("data: {}: {error}", path.display())]
    Data {
        /// The directory.
        path: PathBuf,
        /// The reason, and what to do.
        error: OpenError,
    },
    /// The address can't be listened on.
    #[error("listen: {address}: {error}; give a free address of this machine")]
    Listen {
        /// The address.
        address: String,
        /// The system's error.
        error: io::Error,
    },
    /// The operating system refuses a thread, an event loop or a signal handler.
    #[error("{what}: {error}; look at the limits of this process (threads, descriptors)")]
    System {
        /// The thread's name, or `event loop` or `signal`.
        what: &'static str,
        /// The system's error.
        error: io::Error,
    },
}

impl StartError {
    /// Makes an error of the operating system's refusal of `what`.
    pub(crate) fn system(what: &'static str) -> impl FnOnce(io::Error) -> StartError {
        move |error| StartError::System { what, error }
    }
}
