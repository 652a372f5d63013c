//! The reasons for not storing a recorded segment.

use load_balancer::replay::BadSegment;
use serde::Serialize;
use std::io;
use thiserror::Error;

/// Why a segment was rejected. The texts are answered to the proxy.
#[derive(Error, Debug)]
pub(crate) enum SegmentError {
    /// The segment cannot be decoded.
    #[error(transparent)]
    Bad(#[from] BadSegment),
    /// The segment ends after this registry's clock, by this number of milliseconds.
    #[error("span_ms: ends {0} ms after this registry's clock; set the proxy's clock right")]
    Ahead(u64),
    /// The segment could not be written to disk.
    #[error("storage: {0}; make room on the disk of the data directory")]
    Storage(#[from] io::Error),
}

/// Why a valid segment was not stored.
#[derive(Serialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum SkipReason {
    /// The segment is stored already.
    Repeated,
    /// The segment ended longer ago than segments are kept.
    Late,
}
