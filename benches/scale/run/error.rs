//! What can go wrong in a run.

use std::io;
use std::net::SocketAddr;

/// Why a run ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process could not be started or spoken to.
    #[error("{what}: {source}; build the release programs and see the limits on processes and descriptors")]
    Process {
        /// Which process.
        what: String,
        /// The system's reason.
        source: io::Error,
    },
    /// A process ended, or said something else than was awaited.
    #[error("{what} {said}; run it by itself with the same flags to see why")]
    Said {
        /// Which process.
        what: String,
        /// What it said.
        said: String,
    },
    /// A file could not be read or written.
    #[error("{path}: {source}; see that the folder exists and has room")]
    File {
        /// Which file.
        path: String,
        /// The system's reason.
        source: io::Error,
    },
    /// The registry did not answer a call of the driver.
    #[error("{path} at {address}: {why}; see the registry's log")]
    Call {
        /// Whom.
        address: SocketAddr,
        /// What was asked for.
        path: String,
        /// Status and text, or the connection's error.
        why: String,
    },
    /// Not all proxies got there in time.
    #[error(
        "{missing} of {all} proxies do not hold {what} after {waited_s} s; raise --patience-s or use fewer proxies"
    )]
    Missing {
        /// How many.
        missing: usize,
        /// Of how many.
        all: usize,
        /// What they should hold.
        what: String,
        /// How long was waited.
        waited_s: u64,
    },
    /// SIGTERM or SIGINT.
    #[error("ended by a signal; figures printed so far stand")]
    Signal,
}

/// The result of a step of the run.
pub type Result<T> = std::result::Result<T, Error>;
