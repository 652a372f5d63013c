//! The pool of connections to all backends: established, kept idle, and closed before the backends close them.
//!
//! Acts at each attempt, and once a second in `close_expired`. Owns the idle connections and the counts of the open ones.

use super::Target;
use crate::body::{self, BufferBudget};
use crate::io::{Outgoing, Progress, Watched};
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

/// Idle connections are closed at this part of the time after which backends close them (`caps.connIdle`).
const MAX_IDLE_PART: f64 = 0.5;

/// The limits that the pool keeps.
pub struct Limits {
    /// Most connections at once, of all processes together.
    pub connections: usize,
    /// How many processes there are.
    pub processes: watch::Receiver<u32>,
    /// A connect that takes longer has failed.
    pub connect_timeout: Duration,
    /// Backends close connections idle for so long.
    pub idle_timeout: Duration,
    /// Nothing is sent later than this after the notice of a drain.
    pub drain_grace: Duration,
    /// Whether a superseded attempt may stay open while the next one is.
    pub may_duplicate: bool,
}

/// The connections to all backends.
pub struct Pool {
    pub(super) limits: Limits,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    /// Connections on which the response of a superseded attempt is awaited.
    pub(super) superseded: Rc<Cell<usize>>,
    /// Attempts that were written completely.
    attempts: Rc<Cell<u64>>,
    pub(super) buffer_budget: Rc<BufferBudget>,
}

struct IdleConnection {
    link: Link,
    idle_since: Instant,
}

/// A connection that carries one request at a time.
pub(super) struct Link {
    pub(super) sender: SendRequest<Outgoing>,
    pub(super) progress: Rc<Progress>,
}

/// One of a limited number of permits; released when dropped.
pub(super) struct Permit(Rc<Cell<usize>>);

impl Permit {
    /// One more of `count`, where that is below `most`.
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
    /// Most connections of this process.
    pub(super) fn own_connections(&self) -> usize {
        (self.connections / *self.processes.borrow() as usize).max(1)
    }
}

impl Pool {
    /// An empty pool; attempts that it has written completely are counted in `attempts`, responses buffered in
    /// `buffer_budget`.
    pub fn new(limits: Limits, attempts: Rc<Cell<u64>>, buffer_budget: Rc<BufferBudget>) -> Self {
        Pool {
            limits,
            idle: RefCell::default(),
            open: Rc::default(),
            superseded: Rc::default(),
            attempts,
            buffer_budget,
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for long. Guards against a request that crosses the backend's own close of an
    /// idle connection: it would end as a reset, which may have run. Ours close clearly earlier.
    pub fn close_expired(&self) {
        let max_age = self.limits.idle_timeout.mul_f64(MAX_IDLE_PART);
        // Over the limit once another process has started here: idle connections are closed first.
        for _ in self.limits.own_connections()..self.open.get() {
            self.close_oldest_idle();
        }
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|idle| !idle.link.sender.is_closed() && idle.idle_since.elapsed() < max_age);
            !links.is_empty()
        });
    }

    /// The most recently used idle connection that is still open: the others may then expire and be closed.
    pub(super) fn reuse(&self, address: SocketAddr) -> Option<Link> {
        let max_age = self.limits.idle_timeout.mul_f64(MAX_IDLE_PART);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(IdleConnection { link, idle_since }) = links.pop() {
            if link.sender.is_ready() && idle_since.elapsed() < max_age {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection idle, unless its backend takes nothing new.
    pub(super) fn keep(&self, target: &Target, link: Link) {
        if target.drained_at.get().is_none() && !link.sender.is_closed() {
            let idle = IdleConnection { link, idle_since: Instant::now() };
            self.idle.borrow_mut().entry(target.address).or_default().push(idle);
        }
    }

    /// Closes the connection that has been idle longest, to whichever backend.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(address, links)| Some((links.first()?.idle_since, *address))).min();
        if let Some(links) = oldest.and_then(|(_, address)| idle.get_mut(&address)) {
            links.remove(0);
        }
    }

    /// Establishes a connection.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Link, Outcome> {
        let most = self.limits.own_connections();
        let Some(permit) = Permit::acquire(&self.open, most) else {
            // At the limit of connections: that says nothing of the backend, and the request was not sent.
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
            .max_buf_size(body::BUFFER)
            .handshake(watched)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        tokio::task::spawn_local(async move {
            let _permit = permit;
            // Its end shows at the sender, where it is handled.
            let _ = connection.await;
        });
        Ok(Link { sender, progress })
    }
}

/// Whether a connection is open with nothing to read on it. Guards against a request on a connection that the backend has
/// closed or written to: it would end as a reset, or take those bytes for its response. The system is asked, since the
/// reactor reports what arrived only when it is next polled.
fn is_quiet(stream: &TokioIo<TcpStream>) -> bool {
    // What is read is lost with the connection.
    let read = SockRef::from(stream.inner()).recv(&mut [MaybeUninit::uninit()]);
    read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the process or the machine has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/upstream/pool.rs"]
mod tests;
