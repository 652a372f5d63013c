//! Why the registry does not start, with what to do.

use crate::store::OpenError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// What ends a start.
#[derive(Error, Debug)]
pub enum StartError {
    /// The configuration file can't be read.
    #[error("config: {}: {error}; give a file that can be read, or none", path.display())]
    ConfigRead {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The configuration file is wrong.
    #[error("config: {}: {error}", path.display())]
    Config {
        /// Which file.
        path: PathBuf,
        /// Where, and what is allowed there.
        error: toml::de::Error,
    },
    /// The data directory can't be used.
    #[error("data: {}: {error}", path.display())]
    Data {
        /// Which directory.
        path: PathBuf,
        /// Why, and what to do.
        error: OpenError,
    },
    /// The address can't be served on.
    #[error("listen: {address}: {error}; give a free address of this machine")]
    Listen {
        /// Which address.
        address: String,
        /// Why.
        error: io::Error,
    },
    /// The system gives no thread, event loop or signal.
    #[error("{what}: {error}; look at the limits of this process (threads, descriptors)")]
    System {
        /// What was asked for.
        what: &'static str,
        /// Why.
        error: io::Error,
    },
}

impl StartError {
    /// For a system's refusal.
    pub fn system(what: &'static str) -> impl FnOnce(io::Error) -> StartError {
        move |error| StartError::System { what, error }
    }
}
