//! The registry's state, its log on disk and its snapshots.
//!
//! On disk a record is `length (u32 LE) | crc32 of the payload (u32 LE) | payload (JSON)`. The log holds `Record`s;
//! the snapshot holds one `Snapshot`. See `docs/registry.md`.

mod frame;
mod log;
mod record;
mod snapshot;
mod state;
#[cfg(test)]
#[path = "../../../../tests/unit/registry/store.rs"]
mod tests;

pub use log::{Log, MAX_RECORD, OpenError, Sync};
pub use record::Record;
pub use state::State;
