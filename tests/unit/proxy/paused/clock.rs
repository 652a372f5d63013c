//! A clock that stands still but where a test lets it flow, and then moves on only once all that is under way has
//! arrived.

use std::sync::mpsc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_blocking, yield_now};
use tokio::time::advance;

/// The clock moves on by this at a time: the program's tick in these tests.
const STEP: Duration = Duration::from_millis(5);
/// Round trips before each step: more than a request, its attempt and both answers take.
const ROUND_TRIPS: usize = 6;
/// After so long in real time a test that waits for nothing lets its clock run on, so that its waits end and it fails.
const HANGS: Duration = Duration::from_secs(120);

/// Runs a test whose clock is paused and does not move on by itself when nothing is to be done, as tokio's does.
pub async fn standing<T>(test: impl Future<Output = T>) -> T {
    let (held, holds) = mpsc::channel::<()>();
    // No paused clock moves on by itself while a blocking task is out.
    drop(spawn_blocking(move || holds.recv_timeout(HANGS)));
    let result = LocalSet::new().run_until(test).await;
    drop(held);
    result
}

/// Lets time go by until this is done.
pub async fn flowing<T>(what: impl Future<Output = T>) -> T {
    tokio::select! {
        biased;
        done = what => done,
        () = steps() => unreachable!("it goes on"),
    }
}

async fn steps() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut near = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
    let (mut far, _) = listener.accept().await.expect("a connection");
    near.set_nodelay(true).expect("open");
    loop {
        for _ in 0..ROUND_TRIPS {
            // What was written before this has arrived when this has.
            near.write_all(b"x").await.expect("open");
            far.read_exact(&mut [0]).await.expect("open");
            yield_now().await;
        }
        advance(STEP).await;
    }
}
