//! Relays for faults: a fixed address in front of a process that may be cut off or replaced by another, and links
//! between processes that may be cut one by one or lose datagrams.
#![allow(dead_code)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Passes connections on to its target. It counts the calls for lists that go through.
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<watch::Sender<SocketAddr>>,
    /// Calls for the whole list.
    pub whole: Arc<AtomicUsize>,
    /// Watches from a version on.
    pub watches: Arc<AtomicUsize>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let target = Arc::new(watch::Sender::new(target));
        let relay = Relay { address, target, whole: Arc::default(), watches: Arc::default() };
        let (target, whole, watches) = (relay.target.clone(), relay.whole.clone(), relay.watches.clone());
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let (mut moved, whole, watches) = (target.subscribe(), whole.clone(), watches.clone());
                let to = *moved.borrow_and_update();
                tokio::spawn(async move {
                    // A target that refuses shows to the caller as a connection that ends at once.
                    let Ok(callee) = TcpStream::connect(to).await else { return };
                    tokio::select! {
                        () = pass(caller, callee, &whole, &watches) => {}
                        _ = moved.changed() => {}
                    }
                });
            }
        });
        relay
    }

    /// Leads to another target from now on; connections to the old one are cut.
    pub fn lead_to(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Calls for the whole list, and watches, so far.
    pub fn calls(&self) -> (usize, usize) {
        (self.whole.load(SeqCst), self.watches.load(SeqCst))
    }
}

async fn pass(caller: TcpStream, callee: TcpStream, whole: &AtomicUsize, watches: &AtomicUsize) {
    let ((mut from, mut to), (mut back_from, mut back_to)) = (caller.into_split(), callee.into_split());
    let there = async {
        let mut part = [0; 4096];
        // A call's head is a single small write.
        while let Ok(n @ 1..) = from.read(&mut part).await {
            let has = |what: &[u8]| part[..n].windows(what.len()).any(|w| w == what);
            whole.fetch_add(usize::from(has(b"GET /registry/instances HTTP")), SeqCst);
            watches.fetch_add(usize::from(has(b"GET /registry/instances?after=")), SeqCst);
            if back_to.write_all(&part[..n]).await.is_err() {
                return;
            }
        }
    };
    let back = async {
        let _ = copy(&mut back_from, &mut to).await;
    };
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

/// UDP between processes of which each is reached at an address of the relay's. Each way of each pair is a link of its
/// own, which may be cut; all links may lose a part of what they carry, by a seeded chance.
pub struct Links {
    /// Where each process is reached.
    pub addresses: Vec<SocketAddr>,
    rules: Arc<Mutex<Rules>>,
}

struct Rules {
    /// Where each process really is.
    places: Vec<Option<SocketAddr>>,
    cut: HashSet<(usize, usize)>,
    loss: f64,
    chance: fastrand::Rng,
    passed: usize,
}

impl Links {
    pub async fn start(processes: usize) -> Links {
        let chance = fastrand::Rng::with_seed(7);
        let rules =
            Rules { places: vec![None; processes], cut: HashSet::new(), loss: 0.0, chance, passed: 0 };
        let mut links = Links { addresses: Vec::new(), rules: Arc::new(Mutex::new(rules)) };
        for to in 0..processes {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
            links.addresses.push(socket.local_addr().expect("bound"));
            let rules = links.rules.clone();
            tokio::spawn(async move {
                let mut datagram = [0; 2048];
                while let Ok((n, source)) = socket.recv_from(&mut datagram).await {
                    let place = rules.lock().expect("sound").passes(source, to);
                    if let Some(place) = place {
                        let _ = socket.send_to(&datagram[..n], place).await;
                    }
                }
            });
        }
        links
    }

    /// Says where a process really is.
    pub fn place(&self, process: usize, at: SocketAddr) {
        self.rules.lock().expect("sound").places[process] = Some(at);
    }

    /// Nothing passes from one to the other any more.
    pub fn cut(&self, from: usize, to: usize) {
        self.rules.lock().expect("sound").cut.insert((from, to));
    }

    /// All links pass again.
    pub fn heal(&self) {
        self.rules.lock().expect("sound").cut.clear();
    }

    /// Every link loses this share of its datagrams.
    pub fn lose(&self, share: f64) {
        self.rules.lock().expect("sound").loss = share;
    }

    /// Datagrams that have passed.
    pub fn passed(&self) -> usize {
        self.rules.lock().expect("sound").passed
    }
}

impl Rules {
    fn passes(&mut self, source: SocketAddr, to: usize) -> Option<SocketAddr> {
        let from = self.places.iter().position(|p| *p == Some(source))?;
        let lost = self.cut.contains(&(from, to)) || self.chance.f64() < self.loss;
        let place = self.places[to].filter(|_| !lost)?;
        self.passed += 1;
        Some(place)
    }
}
