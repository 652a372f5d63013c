//! A relay for faults: a fixed address in front of a process that may be cut off, or replaced by another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
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
