//! The registry's state, its log on disk and its snapshots.
//!
//! The data directory has two files. `log` is a sequence of framed [`Record`]s (`frame.rs`), each of which is a
//! change of the state. `snapshot` is one framed `Snapshot`, the state at one version; writing it empties the log. A
//! start reads the snapshot, applies the log's records to it and appends a start record (`recovery.rs`). Afterwards
//! the writer thread owns the [`Log`] and appends to it (`log.rs`). The file formats are described in
//! `docs/registry.md`.
//!
//! If the disk was replaced or the directory is an older copy, the registry starts with the state that it finds,
//! possibly an empty one, and with versions above all that were assigned before (see `recovery.rs`).

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
