//! A connection to a backend, from its establishment to its close.

use super::limits::{Limits, Permit};
use crate::io::{Outgoing, Progress, Watched};
use crate::refusals::Shortage;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use load_balancer::interface::Outcome;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// An HTTP connection to a backend, which carries one request at a time. It closes when this is dropped, wherever its
/// request or response stands.
pub(super) struct Link {
    pub(super) sender: SendRequest<Outgoing>,
    pub(super) progress: Rc<Progress>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.progress.abandon();
    }
}

impl Link {
    /// Connects to `address`, and serves the connection until it closes. It holds `permit` for as long, counts its requests
    /// in `attempts`, and notifies `closed` at its end.
    pub(super) async fn establish(
        address: SocketAddr,
        limits: &Limits,
        attempts: Rc<Cell<u64>>,
        permit: Permit,
        closed: Rc<Notify>,
    ) -> Result<Self, ConnectError> {
        let stream = match timeout(limits.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => return Err(ConnectError::Short(Shortage::Descriptors)),
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Failed),
        };
        stream.set_nodelay(true).map_err(|_| ConnectError::Failed)?;
        let watched = Watched::counting(TokioIo::new(stream), attempts, is_quiet);
        let progress = watched.progress();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(limits.memory.http_buffer_bytes)
            .handshake(watched)
            .await
            .map_err(|_| ConnectError::Failed)?;
        let link = Link { sender, progress: progress.clone() };
        tokio::task::spawn_local(async move {
            tokio::select! {
                // The sender sees the end of the connection and handles it.
                _ = connection => {}
                () = progress.abandoned() => {}
            }
            drop(permit);
            closed.notify_one();
        });
        Ok(link)
    }
}

/// Why a connection was not established.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The process has no connection or descriptor for it.
    #[error("the process lacks {0:?}")]
    Short(Shortage),
    /// The backend did not accept it in time.
    #[error("the backend did not accept the connection")]
    Failed,
}

impl ConnectError {
    /// Returns what the process lacks for the connection, if that is the reason.
    pub(super) fn shortage(&self) -> Option<Shortage> {
        match self {
            ConnectError::Short(shortage) => Some(*shortage),
            ConnectError::Failed => None,
        }
    }
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Short(_) => Outcome::NotSent,
            ConnectError::Failed => Outcome::ConnectFailed,
        }
    }
}

/// Returns whether a connection is open with no unread bytes. On a connection that the backend has closed or
/// written to, a request would end as a reset, or take the unread bytes for its response. Reads the socket
/// directly, since the reactor reports new bytes only when it is polled next.
fn is_quiet(stream: &TokioIo<TcpStream>) -> bool {
    // A byte that is read here is lost, but a connection with unread bytes is not used again.
    let read = SockRef::from(stream.inner()).recv(&mut [MaybeUninit::uninit()]);
    read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether the process or the machine has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}
