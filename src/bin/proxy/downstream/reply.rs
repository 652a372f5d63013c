//! What a caller is answered, and the answer's body.

use crate::body::{Held, Paced};
use crate::counters::{Ending, Record};
use crate::engine::Answer;
use crate::upstream::Served;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

pub(super) type Reply = Response<Outflow>;

/// An answer's body. The request's record goes along and ends with it.
#[derive(Default)]
pub struct Outflow {
    data: Bytes,
    rest: Option<Paced>,
    record: Option<Record>,
    _room: Option<Held>,
}

impl Body for Outflow {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let data = std::mem::take(&mut self.data);
        let next = match &mut self.rest {
            _ if !data.is_empty() => Ok(Some(data)),
            None => Ok(None),
            Some(rest) => match rest.poll_next(cx) {
                Poll::Ready(next) => next,
                Poll::Pending => return Poll::Pending,
            },
        };
        if let (Err(_), Some(record)) = (&next, &mut self.record) {
            // The client can tell: its connection ends here.
            record.ends(Ending::Failed);
        }
        Poll::Ready(next.transpose().map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.rest.as_ref().is_none_or(Paced::over)
    }

    fn size_hint(&self) -> SizeHint {
        let data = self.data.len() as u64;
        match self.rest.as_ref().map(Paced::left) {
            None => SizeHint::with_exact(data),
            Some(Some(rest)) => SizeHint::with_exact(data + rest),
            Some(None) => SizeHint::default(),
        }
    }
}

pub(super) fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Outflow::default());
    *reply.status_mut() = status;
    reply
}

/// The last one on its connection.
pub(super) fn closing(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

pub(super) fn write(answer: Answer, mut record: Record) -> Reply {
    let none = Served { data: Bytes::new(), rest: None, room: None };
    let (status, ending, served, wait) = match answer {
        Answer::Served(served) => (StatusCode::OK, Ending::Served, served, None),
        Answer::Refused { retry_after } => {
            (StatusCode::SERVICE_UNAVAILABLE, Ending::Refused, none, retry_after)
        }
        Answer::Failed => (StatusCode::BAD_GATEWAY, Ending::Failed, none, None),
        Answer::TimedOut => (StatusCode::GATEWAY_TIMEOUT, Ending::Failed, none, None),
        Answer::Broken => (StatusCode::REQUEST_TIMEOUT, Ending::Failed, none, None),
    };
    record.ends(ending);
    let Served { data, rest, room } = served;
    let mut reply = Response::new(Outflow { data, rest, record: Some(record), _room: room });
    *reply.status_mut() = status;
    if status == StatusCode::REQUEST_TIMEOUT {
        reply = closing(reply);
    }
    let seconds = wait.map(|d| format!("{:.3}", d.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
