//! Errors of a call to a registry.

use crate::client::route_table::TableError;
use hyper::StatusCode;
use std::io;

/// Error of a call to a registry. Its text goes to the log and to operators' pages.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No answer arrived before the call's timeout.
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
    /// The answer has a status other than 200.
    #[error("answered {status}{why}; see that this is a registry's address")]
    Status {
        /// Status of the answer.
        status: StatusCode,
        /// Beginning of the answer's text, prefixed by `": "`; empty if the answer has no text.
        why: String,
    },
    /// The answer's body ended early or exceeded the call's limit.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is a route table that is invalid or cannot follow the one in force.
    #[error("{0}")]
    RejectedTable(#[from] TableError),
    /// The answer does not parse as a route table.
    #[error("a table that cannot be read: {0}; see that this is a registry's address")]
    InvalidTable(serde_json::Error),
    /// The answer does not parse as an endpoint list.
    #[error("the endpoint list does not parse: {0}; see that this is a registry's address")]
    InvalidList(#[from] serde_json::Error),
    /// The answer is an update, but the client holds no list to which it could be applied.
    #[error(
        "answered with an update where the full list was requested; see that this is a registry's address"
    )]
    UnexpectedUpdate,
    /// The answer is an update whose version is below the held one, so it belongs to another history.
    #[error("the list's version went back from {held} to {received}; the full list is requested next")]
    VersionWentBack {
        /// Version that the client holds.
        held: u64,
        /// Version of the answer.
        received: u64,
    },
}
