//! The phase `accept`: accepts connections until the process stops, then waits until the last one is closed.
//!
//! Runs from the start of listening to the end of the process. Owns the tasks of all client connections.

use super::Downstream;
use super::activity::{CLOSED_GRACE, FIRST_REQUEST_TIMEOUT, IdleCloseReason};
use crate::lifecycle::DRAIN_DELAY;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Delay before the next accept when no descriptor is left or the connection limit is reached.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The tasks of the client connections, and the channel that asks idle ones to close.
struct Connections {
    tasks: JoinSet<()>,
    idle_close: watch::Sender<IdleCloseReason>,
    /// The last time at which idle connections were asked to close because the limit was reached.
    asked_at: Option<Instant>,
}

impl Connections {
    fn spawn(&mut self, downstream: &Rc<Downstream>, stream: TcpStream, over_limit: bool) {
        let connection = downstream.clone().serve_connection(stream, self.idle_close.subscribe(), over_limit);
        self.tasks.spawn_local(connection);
    }

    fn close_idle(&self, reason: IdleCloseReason) {
        self.idle_close.send_replace(reason);
    }

    /// Asks idle connections to close because the limit is reached. Each is woken, so that this is not done for every
    /// connection that ends or comes.
    fn make_room(&mut self) {
        if self.asked_at.is_none_or(|asked_at| asked_at.elapsed() >= ACCEPT_RETRY_DELAY) {
            self.asked_at = Some(Instant::now());
            self.close_idle(IdleCloseReason::LimitReached);
        }
    }
}

impl Downstream {
    /// Accepts connections until the process stops and the listen queue is empty, then closes each connection once
    /// it is idle. Returns when the last one is closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections = Connections {
            tasks: JoinSet::new(),
            idle_close: watch::Sender::new(IdleCloseReason::LimitReached),
            asked_at: None,
        };
        let idle_close = connections.idle_close.clone();
        tokio::select! {
            () = self.serve_all(listener, &mut connections) => {}
            never = self.slots.evict(&idle_close) => match never {},
        }
    }

    async fn serve_all(self: &Rc<Self>, listener: TcpListener, connections: &mut Connections) {
        self.accept_until_stopped(&listener, connections).await;
        self.accept_queued(listener, connections).await;
        // A client that has its response and leaves the connection open must not delay the end of the process.
        while !connections.tasks.is_empty() {
            tokio::select! {
                _ = connections.tasks.join_next() => {}
                () = sleep(CLOSED_GRACE) => connections.close_idle(IdleCloseReason::Stopping),
            }
        }
    }

    async fn accept_until_stopped(self: &Rc<Self>, listener: &TcpListener, connections: &mut Connections) {
        let mut stopped = pin!(async {
            self.lifecycle.stopped().await;
            sleep(DRAIN_DELAY).await;
        });
        loop {
            self.open.set(connections.tasks.len());
            let full = connections.tasks.len() >= self.own_connections() + self.spare;
            if full {
                // Without this, idle clients could hold all connections while requests wait in the kernel's listen
                // queue. Closing the idle connections makes room for them.
                connections.make_room();
            }
            tokio::select! {
                () = &mut stopped => break,
                () = sleep(ACCEPT_RETRY_DELAY), if full => {}
                Some(_) = connections.tasks.join_next() => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => {
                        let over_limit = connections.tasks.len() >= self.own_connections();
                        connections.spawn(self, stream, over_limit);
                    }
                    // No error ends the loop, whether for lack of descriptors or another reason: clients are
                    // waiting, and descriptors become free again.
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        }
    }

    /// Accepts the connections that are still in the listen queue. Closing the listener would reset them, and no other
    /// process would accept them even if one serves the address by now. If no descriptor is left, idle connections are
    /// closed to free some; the last idle one has closed after [`FIRST_REQUEST_TIMEOUT`].
    async fn accept_queued(self: &Rc<Self>, listener: TcpListener, connections: &mut Connections) {
        let mut unfinished = listener.into_std().ok();
        let deadline = Instant::now() + FIRST_REQUEST_TIMEOUT;
        while let Some(listener) = unfinished.take_if(|_| Instant::now() < deadline) {
            let queued;
            (queued, unfinished) = drain_accept_queue(listener);
            for stream in queued {
                connections.spawn(self, stream, true);
            }
            if unfinished.is_some() {
                connections.close_idle(IdleCloseReason::LimitReached);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts all connections in a listener's queue and closes the listener, or returns the listener if connections
/// remain queued because no descriptor is left. Calls `accept` on the socket directly, since the reactor may not
/// have reported the last connections yet.
pub(super) fn drain_accept_queue(
    listener: std::net::TcpListener,
) -> (Vec<TcpStream>, Option<std::net::TcpListener>) {
    let mut queued = Vec::new();
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => queued.push(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return (queued, None),
            Err(_) => return (queued, Some(listener)),
        }
    }
}
