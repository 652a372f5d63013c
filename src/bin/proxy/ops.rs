//! The operators' address: one line to a connection, one answer, then a close.

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

/// Most callers at once. One more takes the place of the one that has been here longest without a whole call:
/// those who say nothing keep nobody out.
const CALLERS: usize = 16;
/// Descriptors that this address may need: the listener, the callers and the one that is just coming.
pub const DESCRIPTORS: usize = CALLERS + 2;
/// A call is awaited for so long, and so is the taking of its answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// So long a caller may go on after its answer.
const AFTER: Duration = Duration::from_millis(200);
/// Longest call.
const MAX_CALL: usize = 256;
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);

/// Why a line is no call; this is its answer.
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
    /// Tells whether requests can be decided.
    pub engine: Rc<Engine>,
    /// The figures.
    pub counters: Rc<Counters>,
    /// Is told to empty the proxy, or to take clients again.
    pub lifecycle: Rc<Lifecycle>,
    /// The proxies of the tier, where they tell each other.
    pub membership: Option<Rc<Membership>>,
    /// The route table, where there is one.
    pub routes: Option<Rc<RouteTableClient>>,
    /// The recording, where there is one.
    pub recording: Option<Rc<Recording>>,
}

impl Ops {
    /// Answers calls for ever.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<oneshot::Sender<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(STARVED).await;
                continue;
            };
            callers.retain(|c| !c.is_closed());
            if callers.len() >= CALLERS {
                callers.pop_front();
            }
            let (place, lost) = oneshot::channel();
            callers.push_back(place);
            spawn_local(self.clone().caller(stream, lost));
        }
    }

    async fn caller(self: Rc<Self>, mut stream: TcpStream, mut lost: oneshot::Receiver<()>) {
        let (mut kept, mut unread) = (true, [0; MAX_CALL]);
        let answer = tokio::select! {
            call = timeout(PATIENCE, read(&mut stream)) => match call {
                Ok(Ok(line)) => self.answer(&line),
                Ok(Err(why)) => why.to_string(),
                Err(_) => "NAK no whole call in time".to_string(),
            },
            _ = &mut lost => {
                kept = false;
                "NAK too many callers".to_string()
            }
        };
        // Who has left, or takes nothing, has no use for the answer.
        let _ = timeout(PATIENCE, async {
            stream.write_all(format!("{answer}\n").as_bytes()).await?;
            stream.shutdown().await
        })
        .await;
        // Closed with something unread, the connection would be reset and the answer lost.
        let rest = async { while matches!(stream.read(&mut unread).await, Ok(1..)) {} };
        tokio::select! {
            () = rest => {}
            () = sleep(AFTER) => {}
            _ = lost, if kept => {}
        }
    }

    fn answer(&self, call: &str) -> String {
        let say = |yes: bool| {
            let state = if self.engine.ready() { self.lifecycle.phase().name() } else { "no backend" };
            format!("{} {state}", if yes { "ACK" } else { "NAK" })
        };
        let can_serve = || matches!(self.lifecycle.phase(), Phase::Serving | Phase::Draining);
        match call {
            "health" => say(self.engine.ready() && can_serve()),
            "counters" => format!("{}\n--", self.counters.page(self.engine.census())),
            "members" => match &self.membership {
                Some(membership) => {
                    let mut page = membership.page();
                    page["share"] = self.engine.share().into();
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
            "quiesce" => say(self.lifecycle.quiesce()),
            "resume" => say(self.lifecycle.resume()),
            _ => "NAK unknown call".to_string(),
        }
    }
}

/// One line, without its end.
async fn read(stream: &mut TcpStream) -> Result<String, BadCall> {
    let mut line = Vec::with_capacity(MAX_CALL);
    loop {
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            let line = String::from_utf8(line).map_err(|_| BadCall::NotText)?;
            return Ok(line.trim().to_string());
        }
        if line.len() >= MAX_CALL {
            return Err(BadCall::TooLong);
        }
        let mut part = [0; MAX_CALL];
        match stream.read(&mut part).await {
            Ok(n @ 1..) => line.extend_from_slice(&part[..n]),
            Ok(_) | Err(_) => return Err(BadCall::Half),
        }
    }
}
