//! Why a recorded segment is not stored.

use load_balancer::replay::BadSegment;
use serde::Serialize;
use std::io;
use thiserror::Error;

/// Why a segment was rejected. The texts are answered to the proxy.
#[derive(Error, Debug)]
pub(crate) enum SegmentError {
    /// It can't be decoded.
    #[error(transparent)]
    Bad(#[from] BadSegment),
    /// It ends after this registry's clock, by so many milliseconds.
    #[error("span_ms: ends {0} ms after this registry's clock; set the proxy's clock right")]
    Ahead(u64),
    /// It could not be written.
    #[error("storage: {0}; make room on the disk of the data directory")]
    Storage(#[from] io::Error),
}

/// Why a sound segment was not stored.
#[derive(Serialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum SkipReason {
    /// It is stored already.
    Repeated,
    /// It ended longer ago than segments are kept.
    Late,
}
