//! The callers' side: takes connections, and closes them as the process stops or places run short.

mod answer;
mod linger;
mod reply;
mod request;

use crate::body::{self, Room};
use crate::counters::Counters;
use crate::engine::Engine;
use crate::io::{ClientStream, Watched};
use crate::lifecycle::{LINGER, Lifecycle};
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use linger::Lingering;
use load_balancer::platform_settings::PlatformSettings;
use reply::{closing, plain};
use std::cell::Cell;
use std::future::ready;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// A caller may take so long to send a request's head, and may be idle for so long before it.
const HEAD: Duration = Duration::from_secs(60);
/// A caller that has sent no request's head so long after it connected is not a proper one. It is owed an error or a
/// close within 3 s whatever the settings: no deadline counts yet, which begins with a request's last byte.
const FIRST: Duration = Duration::from_millis(2500);
/// At rest for so long, its connection is closed: before the HTTP library does it, which lets nobody end in peace.
const IDLE: Duration = Duration::from_secs(55);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);
/// Where places are short, a connection at rest for so long is closed.
const REST: Duration = Duration::from_secs(1);
/// And one that was answered and only has to be closed after so long: a round trip or two.
const ENDED: Duration = Duration::from_millis(100);

/// Why connections that nothing is owed on are closed soon.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Crowd {
    /// Places are short: those at rest, and those that were ended.
    Full,
    /// The process stops: those that were ended.
    Leaving,
}

/// What is needed to read requests.
pub struct Front {
    /// Decides them.
    pub engine: Rc<Engine>,
    /// The settings.
    pub facts: PlatformSettings,
    /// Counts them.
    pub counters: Rc<Counters>,
    /// Whether clients are taken.
    pub lifecycle: Rc<Lifecycle>,
    /// Most connections at once, of all processes together.
    pub connections: usize,
    /// Connections past the limit, taken only to be refused at once.
    pub spare: usize,
    /// Where bodies are held.
    pub room: Rc<Room>,
    /// How many processes there are.
    pub processes: watch::Sender<u32>,
    /// How many there are.
    pub open: Cell<usize>,
}

impl Front {
    /// Most connections of this process.
    fn own(&self) -> usize {
        (self.connections / *self.processes.borrow() as usize).max(1)
    }

    /// Accepts connections until the process stops and no more come; then closes them as they fall idle, and
    /// returns when the last one is.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut open = JoinSet::new();
        let crowd = watch::Sender::new(Crowd::Full);
        let mut over = pin!(async {
            self.lifecycle.stopped().await;
            sleep(LINGER).await;
        });
        loop {
            self.open.set(open.len());
            let full = open.len() >= self.own() + self.spare;
            if full {
                // Connections that are left in the system's queue hold requests that we owe an answer, and
                // callers at rest may keep theirs for long: those make room.
                crowd.send_replace(Crowd::Full);
            }
            tokio::select! {
                () = &mut over => break,
                () = sleep(STARVED), if full => {}
                Some(_) = open.join_next() => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => {
                        let crowded = open.len() >= self.own();
                        open.spawn_local(self.clone().connection(stream, crowd.subscribe(), crowded));
                    }
                    // No error ends the loop, out of descriptors or other: callers are waiting, and what is
                    // short comes free again.
                    Err(_) => sleep(STARVED).await,
                }
            }
        }
        // Where another process has taken over the address, nobody else will come for what still waits here. With no
        // descriptor left for it, those at rest make room: after `FIRST` the last one has.
        let (mut left, until) = (listener.into_std().ok(), Instant::now() + FIRST);
        while let Some(listener) = left.take_if(|_| Instant::now() < until) {
            let waiting;
            (waiting, left) = queued(listener);
            for stream in waiting {
                open.spawn_local(self.clone().connection(stream, crowd.subscribe(), true));
            }
            if left.is_some() {
                crowd.send_replace(Crowd::Full);
                sleep(STARVED).await;
            }
        }
        drop(left);
        // Who was answered and lets its connection stand is not waited for.
        while !open.is_empty() {
            tokio::select! {
                _ = open.join_next() => {}
                () = sleep(ENDED) => drop(crowd.send_replace(Crowd::Leaving)),
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, mut crowd: watch::Receiver<Crowd>, crowded: bool) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (rests_since, asked) = (Cell::new(Instant::now()), Cell::new(false));
        let stream = ClientStream::new(stream);
        let client = stream.client();
        let stream = Lingering::new(stream);
        let ended = stream.ended();
        let stream = Watched::new(stream);
        let seen = stream.progress();
        seen.await_head();
        let service = service_fn(async |request| {
            asked.set(true);
            if seen.contradicts() {
                return Ok(closing(plain(StatusCode::BAD_REQUEST)));
            }
            let reply = self.answer(request, crowded, &seen, &client).await;
            rests_since.set(Instant::now());
            reply
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
            .max_buf_size(body::BUFFER)
            .serve_connection(stream, service);
        let mut connection = pin!(connection);
        let mut due = pin!(sleep(FIRST));
        let mut released = pin!(self.lifecycle.released());
        loop {
            let lets_go = tokio::select! {
                // What came is read before anything is closed on it.
                biased;
                // However it ends, the caller is gone and its request, if any, was told so.
                _ = connection.as_mut() => return,
                () = &mut due => {
                    let (now, rested) = (Instant::now(), rests_since.get() + IDLE);
                    due.as_mut().reset(rested.max(now + FIRST));
                    !asked.get() || now >= rested
                }
                () = &mut released => {
                    released.set(self.lifecycle.released());
                    // A request that is still on its way is the first here and must not be closed on; its
                    // answer closes the connection.
                    asked.get()
                }
                _ = crowd.changed() => {
                    if ended.get().is_some_and(|at| at.elapsed() > ENDED) {
                        return;
                    }
                    // Not the newest ones: their requests are on their way.
                    *crowd.borrow() == Crowd::Full && rests_since.get().elapsed() > REST
                }
            };
            if !lets_go || ended.get().is_some() {
                continue;
            }
            connection.as_mut().graceful_shutdown();
            if !asked.get() {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    // Half a head would be waited for.
                    () = ready(()) => if ended.get().is_none() { return },
                }
            }
        }
    }
}

/// Takes what a listener's queue holds and closes it; gives it back where something is left in it for want of a
/// descriptor.
fn queued(listener: std::net::TcpListener) -> (Vec<TcpStream>, Option<std::net::TcpListener>) {
    // Asked directly: the reactor may not have heard yet of the last ones to come.
    let mut waiting = Vec::new();
    loop {
        let taken = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match taken {
            Ok(stream) => waiting.push(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return (waiting, None),
            Err(_) => return (waiting, Some(listener)),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/downstream.rs"]
mod tests;
