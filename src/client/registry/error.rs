//! The errors of a call to a registry.

use crate::client::route_table::TableError;
use hyper::StatusCode;
use std::io;

/// Why a call to a registry failed. Its text goes to the log and to operators' pages.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No answer came before the call's timeout.
    #[error("no answer in time; see that a registry runs there and is reachable")]
    TimedOut,
    /// The connection could not be opened.
    #[error("{0}; see that a registry runs there, or change its address in the configuration")]
    Connect(#[from] io::Error),
    /// The connection broke, or the peer does not speak HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be built from its parts.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The answer has another status than 200.
    #[error("answered {status}{why}; see that this is a registry's address")]
    Status {
        /// The answer's status.
        status: StatusCode,
        /// The beginning of the answer's text after `": "`; empty if the answer has none.
        why: String,
    },
    /// The answer's body ended early or exceeds the call's limit.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is a route table whose content is not accepted.
    #[error("{0}")]
    RejectedTable(#[from] TableError),
    /// The answer does not parse as a route table.
    #[error("a table that cannot be read: {0}; see that this is a registry's address")]
    InvalidTable(serde_json::Error),
    /// The answer does not parse as an endpoint list.
    #[error("list: {0}; see that this is a registry's address")]
    InvalidList(#[from] serde_json::Error),
    /// The answer is an update, though the client holds no list that it could apply to.
    #[error("answered with changes where the whole list was asked for")]
    UnexpectedUpdate,
    /// The answer is an update whose version lies below the one that the client holds: it is of another history.
    #[error("its version went back from {held} to {received}; the whole list is asked for")]
    VersionWentBack {
        /// The version that the client holds.
        held: u64,
        /// The answer's version.
        received: u64,
    },
}
