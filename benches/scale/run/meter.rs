//! A relay in front of the registry that counts, on the wire, what one proxy sends and receives.

use super::traffic::{Count, Kind, Traffic};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Methods that a call begins with.
const METHODS: [&str; 2] = ["GET", "PUT"];

/// A relay.
pub struct Meter {
    /// Where it listens.
    pub address: SocketAddr,
    counted: Arc<Mutex<Traffic>>,
}

fn lock(counted: &Mutex<Traffic>) -> MutexGuard<'_, Traffic> {
    counted.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Meter {
    /// Passes connections on to a registry.
    pub async fn start(target: SocketAddr) -> std::io::Result<Meter> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, counted) = (listener.local_addr()?, Arc::<Mutex<Traffic>>::default());
        let counting = counted.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let counting = counting.clone();
                tokio::spawn(async move {
                    // A target that refuses shows to the caller as a connection that ends at once.
                    if let Ok(callee) = TcpStream::connect(target).await {
                        pass(caller, callee, &counting).await;
                    }
                });
            }
        });
        Ok(Meter { address, counted })
    }

    /// What has passed so far.
    pub fn traffic(&self) -> Traffic {
        lock(&self.counted).clone()
    }
}

/// Calls follow each other on a connection: what comes belongs to the call that was begun last.
async fn pass(mut caller: TcpStream, mut callee: TcpStream, counted: &Mutex<Traffic>) {
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let ((mut from, mut to), (mut back_from, mut back_to)) = (caller.split(), callee.split());
    let (mut kind, mut there, mut back) = (Kind::Other, vec![0; 16 << 10], vec![0; 16 << 10]);
    loop {
        tokio::select! {
            read = from.read(&mut there) => {
                let Ok(n @ 1..) = read else { return };
                let begun = begins(&there[..n]);
                kind = begun.unwrap_or(kind);
                let count = Count { messages: u64::from(begun.is_some()), sent: n as u64, ..Count::default() };
                lock(counted).record(kind, count);
                if back_to.write_all(&there[..n]).await.is_err() {
                    return;
                }
            }
            read = back_from.read(&mut back) => {
                let Ok(n @ 1..) = read else { return };
                let answers = u64::from(back.starts_with(b"HTTP/1.1 "));
                let count = Count { answers, received: n as u64, ..Count::default() };
                lock(counted).record(kind, count);
                if to.write_all(&back[..n]).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// What a call is for, if one begins here.
fn begins(bytes: &[u8]) -> Option<Kind> {
    let line = bytes.split(|byte| *byte == b'\r').next()?;
    let mut words = std::str::from_utf8(line).ok()?.split(' ');
    let (method, path) = (words.next()?, words.next()?);
    METHODS.contains(&method).then(|| Kind::of(method, path))
}
