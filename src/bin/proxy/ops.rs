//! Serves the address that operators call: a connection carries one line and its answer, and is then closed.
//!
//! At most [`MAX_CONNECTIONS`] connections are open. Operators' scripts read the answers and their keys, which therefore
//! do not change.

use crate::counters::Counters;
use crate::engine::Engine;
use crate::lifecycle::{Lifecycle, Phase};
use crate::recorder::Recording;
use load_balancer::client::membership::Membership;
use load_balancer::client::route_table::RouteTableClient;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum number of open connections. One more evicts the oldest of them, so that connections that send nothing keep no
/// operator out.
const MAX_CONNECTIONS: usize = 16;
/// Number of file descriptors that this address may need: the listener, the connections and the one being accepted.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Timeout of reading a call, and of writing its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time after its answer for which a connection is read and its bytes are discarded, until the caller closes it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Length, in bytes, from which a call without a line end is rejected.
const MAX_CALL_BYTES: usize = 256;
/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Error of reading a call; its text is the answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The line is not valid UTF-8.
    #[error("NAK not text")]
    NotText,
    /// No line end follows within [`MAX_CALL_BYTES`].
    #[error("NAK the call is too long")]
    TooLong,
    /// The connection ends before the line does.
    #[error("NAK half a call")]
    Truncated,
}

/// Parts of the proxy from which calls are answered.
pub struct Ops {
    /// Engine, which reports whether requests can be served, and the census and share of backends.
    pub engine: Rc<Engine>,
    /// Counters of the proxy, for the `counters` call.
    pub counters: Rc<Counters>,
    /// Lifecycle, which drains the proxy or lets it accept clients again.
    pub lifecycle: Rc<Lifecycle>,
    /// Membership of the tier's proxies, if configured.
    pub membership: Option<Rc<Membership>>,
    /// Client of the route table, if configured.
    pub routes: Option<Rc<RouteTableClient>>,
    /// Recording, if configured.
    pub recording: Option<Rc<Recording>>,
}

impl Ops {
    /// Answers calls for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections: VecDeque<oneshot::Sender<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            connections.retain(|c| !c.is_closed());
            if connections.len() >= MAX_CONNECTIONS {
                connections.pop_front();
            }
            let (connection, evicted) = oneshot::channel();
            connections.push_back(connection);
            spawn_local(self.clone().serve_call(stream, evicted));
        }
    }

    /// Reads and answers one call. A connection that is evicted before its call is complete gets an answer too.
    async fn serve_call(self: Rc<Self>, mut stream: TcpStream, mut evicted: oneshot::Receiver<()>) {
        let mut was_evicted = false;
        let answer = tokio::select! {
            call = timeout(CALL_TIMEOUT, read_call(&mut stream)) => match call {
                Ok(Ok(line)) => self.answer(&line),
                Ok(Err(why)) => why.to_string(),
                Err(_) => "NAK no whole call in time".to_string(),
            },
            _ = &mut evicted => {
                was_evicted = true;
                "NAK too many callers".to_string()
            }
        };
        // After an error or a timeout the caller has left or does not read; the connection is closed in either case.
        let _ = timeout(CALL_TIMEOUT, async {
            stream.write_all(format!("{answer}\n").as_bytes()).await?;
            stream.shutdown().await
        })
        .await;
        // A close with unread bytes would reset the connection, and the caller could lose the answer.
        let mut unread = [0; MAX_CALL_BYTES];
        let caller_closes = async { while matches!(stream.read(&mut unread).await, Ok(1..)) {} };
        tokio::select! {
            () = caller_closes => {}
            () = sleep(LINGER_TIMEOUT) => {}
            _ = evicted, if !was_evicted => {}
        }
    }

    /// Returns the answer to a call, without its final line end.
    fn answer(&self, call: &str) -> String {
        let acknowledge = |yes: bool| {
            let state = if self.engine.is_ready() { self.lifecycle.phase().name() } else { "no backend" };
            format!("{} {state}", if yes { "ACK" } else { "NAK" })
        };
        let can_serve = || matches!(self.lifecycle.phase(), Phase::Serving | Phase::Draining);
        match call {
            "health" => acknowledge(self.engine.is_ready() && can_serve()),
            "counters" => format!("{}\n--", self.counters.page(self.engine.census())),
            "members" => match &self.membership {
                Some(membership) => {
                    let mut page = membership.page();
                    page["share"] = self.engine.fleet_share().into();
                    format!("{page}\n--")
                }
                None => "NAK no membership".to_string(),
            },
            "routes" => match &self.routes {
                Some(routes) => format!("{}\n--", routes.page()),
                None => "NAK no routes".to_string(),
            },
            "record" => match &self.recording {
                Some(recording) => format!("{}\n--", recording.page()),
                None => "NAK no record".to_string(),
            },
            "quiesce" => acknowledge(self.lifecycle.quiesce()),
            "resume" => acknowledge(self.lifecycle.resume()),
            _ => "NAK unknown call".to_string(),
        }
    }
}

/// Reads one line and returns it without surrounding white space.
async fn read_call(stream: &mut TcpStream) -> Result<String, CallError> {
    let mut line = Vec::with_capacity(MAX_CALL_BYTES);
    loop {
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            let line = String::from_utf8(line).map_err(|_| CallError::NotText)?;
            return Ok(line.trim().to_string());
        }
        if line.len() >= MAX_CALL_BYTES {
            return Err(CallError::TooLong);
        }
        let mut part = [0; MAX_CALL_BYTES];
        match stream.read(&mut part).await {
            Ok(n @ 1..) => line.extend_from_slice(&part[..n]),
            Ok(_) | Err(_) => return Err(CallError::Truncated),
        }
    }
}
