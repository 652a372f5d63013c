//! The pool of connections to all backends: established, kept idle, and closed before the backends close them.
//!
//! Used by each attempt, and once a second in `close_expired`. Owns the idle connections and the count of open ones.

use super::Target;
use crate::body::BufferBudget;
use crate::io::{Outgoing, Progress, Watched};
use crate::memory::MemoryPlan;
use crate::sent_ids::SentIds;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use load_balancer::interface::Outcome;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// Fraction of the backends' idle timeout (`caps.connIdle`) after which the proxy closes an idle connection.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// Largest part of the connections whose requests, or responses, a slow client may make last, in percent. The others are
/// left for the requests of other clients.
const SLOW_CONNECTIONS_PERCENT: usize = 60;

/// The limits of the connection pool.
pub struct Limits {
    /// Limit of open backend connections for all processes together.
    pub connections: usize,
    /// What this process may hold.
    pub memory: MemoryPlan,
    /// Number of processes that share the limit.
    pub processes: watch::Receiver<u32>,
    /// Timeout of a connect.
    pub connect_timeout: Duration,
    /// Idle time after which backends close a connection.
    pub idle_timeout: Duration,
    /// Time after the notice of a drain within which a request may still be sent to the backend.
    pub drain_grace: Duration,
    /// Whether a superseded attempt may stay open during the next attempt.
    pub may_duplicate: bool,
}

/// The connections to all backends.
pub struct Pool {
    pub(super) limits: Limits,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    /// Number of connections on which the response of a superseded attempt is awaited.
    pub(super) superseded: Rc<Cell<usize>>,
    /// Number of connections on which a request is sent that its client has not sent whole.
    pub(super) incomplete_requests: Rc<Cell<usize>>,
    /// Number of connections on which a long response flows.
    pub(super) long_responses: Rc<Cell<usize>>,
    /// Number of attempts that were written completely.
    attempts: Rc<Cell<u64>>,
    pub(super) buffer_budget: Rc<BufferBudget>,
    /// The ids of requests that may have run.
    pub sent_ids: Rc<SentIds>,
}

struct IdleConnection {
    link: Link,
    idle_since: Instant,
}

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

/// A permit out of a limited number, released when dropped.
pub struct Permit(Rc<Cell<usize>>);

impl Permit {
    /// Takes one permit if `count`, the number in use, is below `most`.
    pub(super) fn acquire(count: &Rc<Cell<usize>>, most: usize) -> Option<Permit> {
        (count.get() < most).then(|| {
            count.set(count.get() + 1);
            Permit(count.clone())
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Limits {
    /// Returns the limit of open connections for this process.
    pub(super) fn own_connections(&self) -> usize {
        let own = self.connections / *self.processes.borrow() as usize;
        own.min(self.memory.backend_connections).max(1)
    }

    /// Returns the largest number of connections for requests, or responses, that a slow client may make last.
    pub(super) fn slow_connections(&self) -> usize {
        (self.own_connections() * SLOW_CONNECTIONS_PERCENT / 100).max(1)
    }
}

impl Pool {
    /// Creates an empty pool. Attempts that were written completely are counted in `attempts`; buffered responses are
    /// charged to `buffer_budget`.
    pub fn new(
        limits: Limits,
        attempts: Rc<Cell<u64>>,
        buffer_budget: Rc<BufferBudget>,
        sent_ids: Rc<SentIds>,
    ) -> Self {
        Pool {
            limits,
            idle: RefCell::default(),
            open: Rc::default(),
            superseded: Rc::default(),
            incomplete_requests: Rc::default(),
            long_responses: Rc::default(),
            attempts,
            buffer_budget,
            sent_ids,
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long, well before their backend closes them. A request that
    /// crosses the backend's close would end as a reset, after which it may have run.
    pub fn close_expired(&self) {
        let max_age = self.limits.idle_timeout.mul_f64(MAX_IDLE_FRACTION);
        // The limit shrinks when another process starts at this address; idle connections are closed first.
        for _ in self.limits.own_connections()..self.open.get() {
            self.close_oldest_idle();
        }
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|idle| !idle.link.sender.is_closed() && idle.idle_since.elapsed() < max_age);
            !links.is_empty()
        });
    }

    /// Takes the most recently used idle connection that is still open, so that connections that are not needed expire.
    pub(super) fn reuse(&self, address: SocketAddr) -> Option<Link> {
        let max_age = self.limits.idle_timeout.mul_f64(MAX_IDLE_FRACTION);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(IdleConnection { link, idle_since }) = links.pop() {
            if link.sender.is_ready() && idle_since.elapsed() < max_age {
                return Some(link);
            }
        }
        None
    }

    /// Adds a connection to the idle ones, unless its backend drains or is gone.
    pub(super) fn keep(&self, target: &Target, link: Link) {
        if target.drained_at.get().is_none() && !link.sender.is_closed() {
            let idle = IdleConnection { link, idle_since: Instant::now() };
            self.idle.borrow_mut().entry(target.address).or_default().push(idle);
        }
    }

    /// Closes the connection that has been idle the longest, regardless of its backend.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(address, links)| Some((links.first()?.idle_since, *address))).min();
        if let Some(links) = oldest.and_then(|(_, address)| idle.get_mut(&address)) {
            links.remove(0);
        }
    }

    /// Establishes a connection to `address`.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Link, Outcome> {
        let most = self.limits.own_connections();
        let Some(permit) = Permit::acquire(&self.open, most) else {
            // The connection limit is reached, which says nothing about the backend; the request was not sent.
            self.close_oldest_idle();
            return Err(Outcome::NotSent);
        };
        if self.open.get() >= most {
            self.close_oldest_idle();
        }
        let stream = match timeout(self.limits.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
        let watched = Watched::counting(TokioIo::new(stream), self.attempts.clone(), is_quiet);
        let progress = watched.progress();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(self.limits.memory.http_buffer_bytes)
            .handshake(watched)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let link = Link { sender, progress: progress.clone() };
        tokio::task::spawn_local(async move {
            let _permit = permit;
            tokio::select! {
                // The sender sees the end of the connection and handles it.
                _ = connection => {}
                () = progress.abandoned() => {}
            }
        });
        Ok(link)
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

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/upstream/pool.rs"]
mod tests;
