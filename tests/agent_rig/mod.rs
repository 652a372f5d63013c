//! Discovery's agent as a script on plain sockets: it answers as told, call by call, and notes every call. While it is
//! down it never answers, and a call that it got then stays without an answer for ever.
#![allow(dead_code)]

mod say;

pub use say::Say;

use super::rig::within_deadline;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A call for the list.
#[derive(Debug, Clone)]
pub struct Call {
    pub at: Instant,
    /// The version that the caller holds.
    pub after: Option<u64>,
}

struct Shared {
    list: watch::Sender<(u64, Vec<Value>)>,
    next: Mutex<VecDeque<Say>>,
    /// What every watch is told now, while calls for the whole list get no answer.
    instead: Mutex<Option<String>>,
    calls: watch::Sender<Vec<Call>>,
    /// Odd while it is down; calls of another count are never answered.
    outages: watch::Sender<usize>,
    open: AtomicUsize,
}

#[derive(Clone)]
pub struct Agent {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Agent {
    pub async fn start(hosts: Vec<Value>) -> Agent {
        Agent::on(TcpListener::bind("127.0.0.1:0").await.expect("a port"), hosts)
    }

    pub fn on(listener: TcpListener, hosts: Vec<Value>) -> Agent {
        let shared = Arc::new(Shared {
            list: watch::Sender::new((1, hosts)),
            next: Mutex::default(),
            instead: Mutex::default(),
            calls: watch::Sender::default(),
            outages: watch::Sender::default(),
            open: AtomicUsize::new(0),
        });
        let agent = Agent { addr: listener.local_addr().expect("bound"), shared };
        let shared = agent.shared.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let shared = shared.clone();
                tokio::spawn(async move {
                    shared.open.fetch_add(1, SeqCst);
                    serve(stream, &shared).await;
                    shared.open.fetch_sub(1, SeqCst);
                });
            }
        });
        agent
    }

    /// A proxy's configuration that asks here.
    pub fn config(&self, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": self.addr.to_string(), "seed": "8c1f30d27a5be964",
               "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": settings})
    }

    /// What becomes of the next calls.
    pub fn give(&self, orders: impl IntoIterator<Item = Say>) {
        self.shared.next.lock().expect("sound").extend(orders);
    }

    /// The whole list as it is now.
    pub fn page(&self) -> String {
        page(&self.shared)
    }

    /// From now on every watch is told this at once, and calls for the whole list get no answer; or all is as ever.
    pub fn tell_instead(&self, text: Option<String>) {
        *self.shared.instead.lock().expect("sound") = text;
    }

    /// Waits until a call after the first `begun` is for what is behind this version, and says for which one.
    pub async fn asked_behind(&self, begun: usize, version: u64) -> Option<u64> {
        let behind = |call: &&Call| call.after.is_none_or(|after| after > version);
        let mut calls = self.shared.calls.subscribe();
        let came = |calls: &Vec<Call>| calls[begun..].iter().any(|call| behind(&call));
        let calls = within_deadline(calls.wait_for(came)).await.expect("open");
        calls[begun..].iter().find(behind).expect("it came").after
    }

    /// How many orders no call has taken yet.
    pub fn left(&self) -> usize {
        self.shared.next.lock().expect("sound").len()
    }

    /// Changes the list, from now on.
    pub fn change(&self, hosts: Vec<Value>) {
        self.shared.list.send_modify(|(seq, list)| (*seq, *list) = (*seq + 1, hosts));
    }

    /// Goes down, or comes back.
    pub fn turn(&self) {
        self.shared.outages.send_modify(|n| *n += 1);
    }

    /// Connections that are open now.
    pub fn open(&self) -> usize {
        self.shared.open.load(SeqCst)
    }

    pub fn calls(&self) -> Vec<Call> {
        self.shared.calls.borrow().clone()
    }

    /// Waits until so many calls have come.
    pub async fn called(&self, n: usize) {
        within_deadline(self.shared.calls.subscribe().wait_for(|calls| calls.len() >= n))
            .await
            .expect("open");
    }

    /// Waits until a caller holds the present list.
    pub async fn held(&self) {
        let now = self.shared.list.borrow().0;
        let holds = |calls: &Vec<Call>| calls.iter().any(|c| c.after.is_some_and(|after| after >= now));
        within_deadline(self.shared.calls.subscribe().wait_for(holds)).await.expect("open");
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) {
    while let Some(path) = call(&mut stream).await {
        let of =
            |key: &str| path.split(['?', '&']).find_map(|part| part.strip_prefix(key)?.parse::<u64>().ok());
        let (after, wait) = (of("after="), Duration::from_millis(of("wait_ms=").unwrap_or(0)));
        let order = match (shared.instead.lock().expect("sound").clone(), after) {
            (None, _) => shared.next.lock().expect("sound").pop_front(),
            (Some(text), Some(_)) => Some(Say::Text(text)),
            (Some(_), None) => Some(Say::Nothing),
        };
        let outage = *shared.outages.borrow();
        shared.calls.send_modify(|calls| calls.push(Call { at: Instant::now(), after }));
        let down = async {
            let mut outages = shared.outages.subscribe();
            let _ = outages.wait_for(|n| *n != outage || n % 2 == 1).await;
        };
        tokio::select! {
            biased;
            () = down => {
                // Its caller may leave it; nothing more is written.
                let _ = stream.read(&mut [0; 64]).await;
                return;
            }
            answered = answer(&mut stream, shared, order, after, wait) => if answered.is_none() {
                // It ends here, and with it the connection.
                return;
            }
        }
    }
}

/// The path of the next call.
async fn call(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()?.split(' ').nth(1).map(str::to_string)
}

/// The whole list.
fn page(shared: &Shared) -> String {
    let (seq, hosts) = shared.list.borrow().clone();
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}

fn http(text: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).into_bytes()
}

/// Nothing where the connection is over.
async fn answer(
    stream: &mut TcpStream,
    shared: &Shared,
    order: Option<Say>,
    after: Option<u64>,
    wait: Duration,
) -> Option<()> {
    let page = || page(shared);
    let text = match order {
        None => {
            let mut list = shared.list.subscribe();
            let news = after.is_none_or(|after| list.borrow_and_update().0 > after)
                || matches!(timeout(wait, list.changed()).await, Ok(Ok(())));
            if news { page() } else { json!({"seq": after, "whole": false, "hosts": []}).to_string() }
        }
        Some(Say::Text(text)) => text,
        Some(Say::EndAtNews) => {
            let _ = shared.list.subscribe().changed().await;
            return None;
        }
        Some(Say::Bytes(answer)) => {
            stream.set_nodelay(true).ok()?;
            let answer_ends = answer.contains("Connection: close");
            for byte in answer.into_bytes() {
                stream.write_all(&[byte]).await.ok()?;
            }
            return (!answer_ends).then_some(());
        }
        Some(Say::Late(release)) => {
            let mut over = [0];
            tokio::select! {
                () = release.notified() => page(),
                _ = stream.read(&mut over) => return None,
            }
        }
        Some(Say::Reset) => {
            stream.set_zero_linger().expect("open");
            return None;
        }
        Some(Say::Half) => {
            let whole = http(&page());
            stream.write_all(&whole[..whole.len() / 2]).await.ok()?;
            return None;
        }
        Some(Say::Trickle) => {
            for byte in http(&page()) {
                stream.write_all(&[byte]).await.ok()?;
                sleep(Duration::from_millis(100)).await;
            }
            return None;
        }
        Some(Say::Nothing) => return stream.read(&mut [0; 64]).await.map_or(None, |_| None),
    };
    stream.write_all(&http(&text)).await.ok()
}
