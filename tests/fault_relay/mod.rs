//! Relays that inject faults: a TCP relay at a fixed address whose target can be replaced, and UDP links between
//! processes that can be cut one by one or lose datagrams.
#![allow(dead_code)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::sleep;

/// TCP relay to a replaceable target, which counts the forwarded calls for the endpoint list.
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<watch::Sender<SocketAddr>>,
    call_counts: Arc<CallCounts>,
    answer_delay: Arc<watch::Sender<Duration>>,
}

/// Counts of the calls for the endpoint list that a relay has forwarded.
#[derive(Default)]
struct CallCounts {
    full_list: AtomicUsize,
    watch: AtomicUsize,
}

impl Relay {
    /// Starts a relay to this target on port 0.
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
        let address = listener.local_addr().expect("bound listener has an address");
        let target = Arc::new(watch::Sender::new(target));
        let relay = Relay { address, target, call_counts: Arc::default(), answer_delay: Arc::default() };
        let (target, call_counts) = (relay.target.clone(), relay.call_counts.clone());
        let answer_delay = relay.answer_delay.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let (mut target, call_counts) = (target.subscribe(), call_counts.clone());
                let target_address = *target.borrow_and_update();
                let answer_delay = answer_delay.clone();
                tokio::spawn(async move {
                    // If the target refuses, the caller sees a connection that closes at once.
                    let Ok(callee) = TcpStream::connect(target_address).await else { return };
                    tokio::select! {
                        () = forward(caller, callee, &call_counts, &answer_delay) => {}
                        _ = target.changed() => {}
                    }
                });
            }
        });
        relay
    }

    /// Replaces the target; connections to the previous one are closed.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Makes all bytes of the target late by this time.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.answer_delay.send_replace(delay);
    }

    /// Returns the number of calls for the full list so far.
    pub fn full_list_calls(&self) -> usize {
        self.call_counts.full_list.load(SeqCst)
    }

    /// Returns the number of watches after a version so far.
    pub fn watch_calls(&self) -> usize {
        self.call_counts.watch.load(SeqCst)
    }
}

/// Forwards both directions until one of them ends.
async fn forward(
    caller: TcpStream,
    callee: TcpStream,
    call_counts: &CallCounts,
    answer_delay: &watch::Sender<Duration>,
) {
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_callee, mut to_callee) = callee.into_split();
    let requests = async {
        let mut buffer = [0; 4096];
        // The head of a call arrives in a single read: it is one small write.
        while let Ok(n @ 1..) = from_caller.read(&mut buffer).await {
            let contains = |text: &[u8]| buffer[..n].windows(text.len()).any(|window| window == text);
            let is_full_list = contains(b"GET /registry/instances HTTP");
            let is_watch = contains(b"GET /registry/instances?after=");
            call_counts.full_list.fetch_add(usize::from(is_full_list), SeqCst);
            call_counts.watch.fetch_add(usize::from(is_watch), SeqCst);
            if to_callee.write_all(&buffer[..n]).await.is_err() {
                return;
            }
        }
    };
    let answers = async {
        let mut buffer = vec![0; 1 << 16];
        while let Ok(n @ 1..) = from_callee.read(&mut buffer).await {
            let delay = *answer_delay.borrow();
            if !delay.is_zero() {
                sleep(delay).await;
            }
            if to_caller.write_all(&buffer[..n]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        () = answers => {}
    }
}

/// UDP links between processes, each of which is reached at an address of the relay. Each direction between two
/// processes is a separate link that can be cut; all links can lose a fraction of their datagrams, chosen by a seeded
/// random number generator.
pub struct Links {
    /// Address at which each process is reached through the relay.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<LinkState>>,
}

struct LinkState {
    /// Own address of each process.
    process_addresses: Vec<Option<SocketAddr>>,
    /// Links that are cut, as sender and receiver.
    cut: HashSet<(usize, usize)>,
    /// Fraction of the datagrams that are lost.
    loss: f64,
    rng: fastrand::Rng,
    /// Number of datagrams forwarded.
    forwarded: usize,
}

impl Links {
    /// Starts the links between this number of processes.
    pub async fn start(processes: usize) -> Links {
        let state = LinkState {
            process_addresses: vec![None; processes],
            cut: HashSet::new(),
            loss: 0.0,
            rng: fastrand::Rng::with_seed(7),
            forwarded: 0,
        };
        let mut links = Links { addresses: Vec::new(), state: Arc::new(Mutex::new(state)) };
        for receiver in 0..processes {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds a loopback port");
            links.addresses.push(socket.local_addr().expect("bound socket has an address"));
            let state = links.state.clone();
            tokio::spawn(async move {
                let mut datagram = [0; 2048];
                while let Ok((length, source)) = socket.recv_from(&mut datagram).await {
                    let destination =
                        state.lock().expect("lock is not poisoned").destination(source, receiver);
                    if let Some(destination) = destination {
                        let _ = socket.send_to(&datagram[..length], destination).await;
                    }
                }
            });
        }
        links
    }

    /// Sets the own address of a process.
    pub fn set_process_address(&self, process: usize, address: SocketAddr) {
        self.state.lock().expect("lock is not poisoned").process_addresses[process] = Some(address);
    }

    /// Cuts the link from one process to another, in this direction only.
    pub fn cut(&self, from: usize, to: usize) {
        self.state.lock().expect("lock is not poisoned").cut.insert((from, to));
    }

    /// Restores all links that were cut.
    pub fn heal(&self) {
        self.state.lock().expect("lock is not poisoned").cut.clear();
    }

    /// Sets the fraction of datagrams that every link loses.
    pub fn set_loss(&self, fraction: f64) {
        self.state.lock().expect("lock is not poisoned").loss = fraction;
    }

    /// Returns the number of datagrams forwarded so far.
    pub fn forwarded(&self) -> usize {
        self.state.lock().expect("lock is not poisoned").forwarded
    }
}

impl LinkState {
    /// Returns the address to which a datagram is forwarded, or `None` if it is lost.
    fn destination(&mut self, source: SocketAddr, to: usize) -> Option<SocketAddr> {
        let from = self.process_addresses.iter().position(|address| *address == Some(source))?;
        let is_lost = self.cut.contains(&(from, to)) || self.rng.f64() < self.loss;
        let destination = self.process_addresses[to].filter(|_| !is_lost)?;
        self.forwarded += 1;
        Some(destination)
    }
}
