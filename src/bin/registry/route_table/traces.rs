//! The thread that stores recorded segments, so that decoding, checksums and the disk delay no other call.

use super::segment_error::{SegmentError, SkipReason};
use super::trace_ring::TraceRing;
use crate::error::StartError;
use bytes::Bytes;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use tokio::sync::oneshot;

/// Most segments that wait for the thread.
const MAX_QUEUED_SEGMENTS: usize = 8;

/// Whether a segment was stored: `None` if it was, the reason if it is sound but was skipped.
pub(crate) type SegmentOutcome = Result<Option<SkipReason>, SegmentError>;

/// A segment on its way to the thread.
struct SegmentUpload {
    /// The segment as the proxy packed it.
    packed: Bytes,
    /// When it arrived, Unix time in milliseconds.
    arrived_ms: u64,
    reply: oneshot::Sender<SegmentOutcome>,
}

/// The ring of segments and the queue of its thread. The thread ends when this is dropped.
pub(crate) struct Traces {
    /// The stored segments.
    pub(crate) ring: Arc<TraceRing>,
    uploads: SyncSender<SegmentUpload>,
}

impl Traces {
    /// Starts the thread over a directory, which is created if missing. The thread reads it first.
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

    /// Queues a segment for the thread; `None` if too many are queued.
    pub(crate) fn store(&self, packed: Bytes, arrived_ms: u64) -> Option<oneshot::Receiver<SegmentOutcome>> {
        let (reply, outcome) = oneshot::channel();
        self.uploads.try_send(SegmentUpload { packed, arrived_ms, reply }).ok()?;
        Some(outcome)
    }
}

fn run(ring: &TraceRing, queue: &Receiver<SegmentUpload>) {
    ring.load();
    while let Ok(SegmentUpload { packed, arrived_ms, reply }) = queue.recv() {
        // Sending fails where the caller has gone away; it needs no reply.
        let _ = reply.send(ring.store(&packed, arrived_ms));
    }
}
