//! The thread that takes segments in: packing, checksums and the disk hold up nobody else.

use super::ring::{LeftOut, Ring, RingError};
use crate::error::StartError;
use bytes::Bytes;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use tokio::sync::oneshot;

/// Segments that wait for the thread at the most.
const WAITING: usize = 8;

/// What has become of a segment.
pub type Taken = Result<Option<LeftOut>, RingError>;

/// The ring and its thread.
pub struct Traces {
    /// What is held.
    pub ring: Arc<Ring>,
    segments: SyncSender<(Bytes, u64, oneshot::Sender<Taken>)>,
}

impl Traces {
    /// Over a directory, which is made if missing and read in the thread.
    pub fn start(dir: &Path, bytes: u64, keep_ms: u64) -> Result<Traces, StartError> {
        std::fs::create_dir_all(dir)
            .map_err(|error| StartError::Data { path: dir.to_path_buf(), error: error.into() })?;
        let ring = Arc::new(Ring::new(dir, bytes, keep_ms));
        let (segments, taken) = sync_channel::<(Bytes, u64, oneshot::Sender<Taken>)>(WAITING);
        let for_thread = ring.clone();
        std::thread::Builder::new()
            .name("traces".into())
            .spawn(move || {
                for_thread.load();
                while let Ok((bytes, now, answer)) = taken.recv() {
                    // A caller that went away needs no answer.
                    let _ = answer.send(for_thread.take(&bytes, now));
                }
            })
            .map_err(StartError::system("traces"))?;
        Ok(Traces { ring, segments })
    }

    /// Hands a segment to the thread; none if too many wait there.
    pub fn hand(&self, bytes: Bytes, now: u64) -> Option<oneshot::Receiver<Taken>> {
        let (told, answered) = oneshot::channel();
        self.segments.try_send((bytes, now, told)).ok().map(|()| answered)
    }
}
