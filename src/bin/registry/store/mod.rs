//! The registry's state, its log on disk and its snapshots.
//!
//! The data directory holds two files. `log` is a sequence of framed [`Record`]s (`frame.rs`), of which each is a
//! change of the state. `snapshot` is one framed `Snapshot`, the state at one version; writing it empties the log. A
//! start reads the snapshot, applies the log's records to it and appends a start record (`recovery.rs`). Afterwards the
//! writer thread owns the [`Log`] and appends to it (`log.rs`). The file formats are in `docs/registry.md`.
//!
//! If the disk is replaced, or the directory is an older copy, the registry starts with the state that it finds, which
//! may be none, and with versions above all that were given out before: `recovery.rs` says how.

mod error;
mod frame;
mod log;
mod record;
mod recovery;
mod snapshot;
mod state;
#[cfg(test)]
#[path = "../../../../tests/unit/registry/store.rs"]
mod tests;

pub(crate) use error::OpenError;
pub(crate) use log::{Log, MAX_RECORD_BYTES, SyncMode};
pub(crate) use record::Record;
pub(crate) use recovery::OpenedStore;
pub(crate) use state::State;
