//! Why a call to a registry fails.

use crate::client::route_table::TableError;
use hyper::StatusCode;
use std::io;

/// Why a call to a registry brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// Nothing came in time.
    #[error("no answer in time; see that a registry runs there and is reachable")]
    Silent,
    /// There is no connection.
    #[error("{0}; see that a registry runs there, or change its address in the configuration")]
    Connect(#[from] io::Error),
    /// The connection broke, or speaks no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be written.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// It answers something else than what was asked for.
    #[error("answered {status}{why}; see that this is a registry's address")]
    Status {
        /// Its status.
        status: StatusCode,
        /// The beginning of its text after a colon, if it gave one.
        why: String,
    },
    /// Its answer broke off or is longer than any.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// Its table is not taken.
    #[error("{0}")]
    Table(#[from] TableError),
    /// Its answer is no table.
    #[error("a table that cannot be read: {0}; see that this is a registry's address")]
    NoTable(serde_json::Error),
    /// Its answer is no list.
    #[error("list: {0}; see that this is a registry's address")]
    List(#[from] serde_json::Error),
    /// It tells changes to a list that is not held.
    #[error("answered with changes where the whole list was asked for")]
    Changes,
    /// It tells changes of another history.
    #[error("its version went back from {held} to {told}; the whole list is asked for")]
    WentBack {
        /// The version that is held.
        held: u64,
        /// The version that it told.
        told: u64,
    },
}
