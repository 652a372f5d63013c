//! The thread that stores recorded segments, so that decoding, checksums and disk writes do not delay other calls.

use super::segment_error::{SegmentError, SkipReason};
use super::trace_ring::TraceRing;
use crate::error::StartError;
use bytes::Bytes;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use tokio::sync::oneshot;

/// Maximum number of segments that are queued for the thread.
const MAX_QUEUED_SEGMENTS: usize = 8;

/// The outcome of storing a segment: `None` if it was stored, the reason if it is valid but was skipped.
pub(crate) type SegmentOutcome = Result<Option<SkipReason>, SegmentError>;

/// A segment that is queued for the thread.
struct SegmentUpload {
    /// Segment as the proxy packed it.
    packed: Bytes,
    /// Arrival time, Unix time in milliseconds.
    arrived_ms: u64,
    reply: oneshot::Sender<SegmentOutcome>,
}

/// The ring of segments and the queue of its thread. The thread ends when the value is dropped.
pub(crate) struct Traces {
    /// Ring of the stored segments.
    pub(crate) ring: Arc<TraceRing>,
    uploads: SyncSender<SegmentUpload>,
}

impl Traces {
    /// Starts the thread on a directory, which is created if missing. The thread reads the directory first.
    pub(super) fn start(directory: &Path, max_bytes: u64, keep_ms: u64) -> Result<Traces, StartError> {
        std::fs::create_dir_all(directory)
            .map_err(|error| StartError::Data { path: directory.to_path_buf(), error: error.into() })?;
        let ring = Arc::new(TraceRing::new(directory, max_bytes, keep_ms));
        let (uploads, queue) = sync_channel(MAX_QUEUED_SEGMENTS);
        let ring_of_thread = ring.clone();
        std::thread::Builder::new()
            .name("traces".into())
            .spawn(move || run(&ring_of_thread, &queue))
            .map_err(StartError::system("traces"))?;
        Ok(Traces { ring, uploads })
    }

    /// Queues a segment for the thread. Returns `None` if the queue is full.
    pub(crate) fn store(&self, packed: Bytes, arrived_ms: u64) -> Option<oneshot::Receiver<SegmentOutcome>> {
        let (reply, outcome) = oneshot::channel();
        self.uploads.try_send(SegmentUpload { packed, arrived_ms, reply }).ok()?;
        Some(outcome)
    }
}

fn run(ring: &TraceRing, queue: &Receiver<SegmentUpload>) {
    ring.load();
    while let Ok(SegmentUpload { packed, arrived_ms, reply }) = queue.recv() {
        // Sending fails if the caller no longer waits for the reply.
        let _ = reply.send(ring.store(&packed, arrived_ms));
    }
}
