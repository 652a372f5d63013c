//! The body of a call, which is received to its end even if the call is answered before that.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for which the rest of a body is received after its call was answered.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes of a body that are received after its call was answered.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// The body of a call. What was not read of it when it is dropped is received and discarded: a connection that closes
/// with unread bytes is reset, and the caller may lose the answer.
pub(super) struct RequestBody(Option<Incoming>);

impl RequestBody {
    /// Wraps a body of which nothing has been read.
    pub(super) fn new(body: Incoming) -> Self {
        RequestBody(Some(body))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.0 {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.0.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.0.as_ref().map_or(SizeHint::with_exact(0), Incoming::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(body) = self.0.take().filter(|body| !body.is_end_stream()) {
            tokio::spawn(timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }
}

async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        let next = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
        let Some(Ok(frame)) = next else { return };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}
