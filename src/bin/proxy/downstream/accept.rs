//! The phase `accept`: takes connections until the process stops, and waits until the last one is closed.
//!
//! Acts from the start of listening to the end of the process. Owns the tasks of all client connections.

use super::Downstream;
use super::connection::{CLOSED_GRACE, FIRST_REQUEST_TIMEOUT, IdleCloseReason};
use crate::lifecycle::DRAIN_DELAY;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Pause when nothing can be accepted, for want of a descriptor or at the limit of connections.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The tasks of the client connections, and the channel that asks idle ones to close.
struct Connections {
    tasks: JoinSet<()>,
    idle_close: watch::Sender<IdleCloseReason>,
}

impl Connections {
    fn spawn(&mut self, downstream: &Rc<Downstream>, stream: TcpStream, over_limit: bool) {
        let connection = downstream.clone().serve_connection(stream, self.idle_close.subscribe(), over_limit);
        self.tasks.spawn_local(connection);
    }

    fn close_idle(&self, reason: IdleCloseReason) {
        self.idle_close.send_replace(reason);
    }
}

impl Downstream {
    /// Accepts connections until the process stops and no more come; then closes them as they fall idle, and returns when
    /// the last one is closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections = Connections {
            tasks: JoinSet::new(),
            idle_close: watch::Sender::new(IdleCloseReason::LimitReached),
        };
        self.accept_until_stopped(&listener, &mut connections).await;
        self.accept_queued(listener, &mut connections).await;
        // Clients that have their response and leave the connection open are not waited for.
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
                // Guards against requests that starve in the system's queue while idle clients hold all connections: those
                // close, and the queue moves on.
                connections.close_idle(IdleCloseReason::LimitReached);
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
                    // No error ends the loop, out of descriptors or other: clients are waiting, and descriptors are freed.
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        }
    }

    /// Accepts what is still in the listener's queue. Guards against connections that are reset when the listener closes:
    /// where another process serves the address by now, nobody else would accept these. Without a descriptor for one, idle
    /// connections are closed; after [`FIRST_REQUEST_TIMEOUT`] the last idle one has closed.
    async fn accept_queued(self: &Rc<Self>, listener: TcpListener, connections: &mut Connections) {
        let mut unfinished = listener.into_std().ok();
        let until = Instant::now() + FIRST_REQUEST_TIMEOUT;
        while let Some(listener) = unfinished.take_if(|_| Instant::now() < until) {
            let queued;
            (queued, unfinished) = take_queued(listener);
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

/// Takes what a listener's queue holds and closes the listener; returns it where something is left in the queue for want of
/// a descriptor. The system is asked, since the reactor may not have reported the last ones yet.
pub(super) fn take_queued(
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
