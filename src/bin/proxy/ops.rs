//! The operators' address: one line on a connection, one answer, then a close.
//!
//! Acts on each connection to it. Owns these connections, of which there are at most [`MAX_CALLERS`]. Answers and their
//! keys are read by operators' scripts and do not change.

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

/// Most connections at once. One more closes the one that has been open longest without a complete call: connections that
/// send nothing keep no operator out.
const MAX_CALLERS: usize = 16;
/// Descriptors that this address may need: the listener, the connections and the one that is just being accepted.
pub const DESCRIPTORS: usize = MAX_CALLERS + 2;
/// A call is awaited for so long, and so is the writing of its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// After its answer a connection is read and dropped for so long, until the caller closes it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest call, bytes.
const MAX_CALL_BYTES: usize = 256;
/// Pause when nothing can be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why a line is no call; its text is the answer.
#[derive(Debug, thiserror::Error)]
enum BadCall {
    #[error("NAK not text")]
    NotText,
    #[error("NAK the call is too long")]
    TooLong,
    #[error("NAK half a call")]
    Half,
}

/// What is needed to answer.
pub struct Ops {
    /// Says whether requests can be served.
    pub engine: Rc<Engine>,
    /// The figures.
    pub counters: Rc<Counters>,
    /// Drains the proxy, or accepts clients again.
    pub lifecycle: Rc<Lifecycle>,
    /// The proxies of the tier, where membership is configured.
    pub membership: Option<Rc<Membership>>,
    /// The route table, where there is one.
    pub routes: Option<Rc<RouteTableClient>>,
    /// The recording, where there is one.
    pub recording: Option<Rc<Recording>>,
}

impl Ops {
    /// Answers calls for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<oneshot::Sender<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            callers.retain(|c| !c.is_closed());
            if callers.len() >= MAX_CALLERS {
                callers.pop_front();
            }
            let (connection, evicted) = oneshot::channel();
            callers.push_back(connection);
            spawn_local(self.clone().serve_call(stream, evicted));
        }
    }

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
        // An error or a timeout means that the caller has left or does not read: the connection closes in any case.
        let _ = timeout(CALL_TIMEOUT, async {
            stream.write_all(format!("{answer}\n").as_bytes()).await?;
            stream.shutdown().await
        })
        .await;
        // Guards against an answer that is lost: closed over unread bytes, the connection would be reset.
        let mut unread = [0; MAX_CALL_BYTES];
        let caller_closes = async { while matches!(stream.read(&mut unread).await, Ok(1..)) {} };
        tokio::select! {
            () = caller_closes => {}
            () = sleep(LINGER_TIMEOUT) => {}
            _ = evicted, if !was_evicted => {}
        }
    }

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

/// One line, without its end.
async fn read_call(stream: &mut TcpStream) -> Result<String, BadCall> {
    let mut line = Vec::with_capacity(MAX_CALL_BYTES);
    loop {
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            let line = String::from_utf8(line).map_err(|_| BadCall::NotText)?;
            return Ok(line.trim().to_string());
        }
        if line.len() >= MAX_CALL_BYTES {
            return Err(BadCall::TooLong);
        }
        let mut part = [0; MAX_CALL_BYTES];
        match stream.read(&mut part).await {
            Ok(n @ 1..) => line.extend_from_slice(&part[..n]),
            Ok(_) | Err(_) => return Err(BadCall::Half),
        }
    }
}
