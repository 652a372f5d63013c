//! A paused clock that advances only while a test calls [`advance_until`], and only once all bytes in transit have
//! arrived.

use std::sync::mpsc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_blocking, yield_now};
use tokio::time::advance;

/// Step by which the clock advances: the proxy's `tick_ms` in these tests.
const STEP: Duration = Duration::from_millis(5);
/// Loopback round trips before each step: more than a request, its attempt and both responses take.
const ROUND_TRIPS: usize = 6;
/// Real time after which the clock of a test that hangs advances by itself, so that the test's timeouts end and it
/// fails.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs a test with a paused clock that, unlike tokio's, does not advance by itself when no task can run.
pub async fn with_stopped_clock<T>(test: impl Future<Output = T>) -> T {
    let (test_running, test_ended) = mpsc::channel::<()>();
    // A paused clock does not advance by itself while a blocking task is running.
    drop(spawn_blocking(move || test_ended.recv_timeout(HANG_TIMEOUT)));
    let result = LocalSet::new().run_until(test).await;
    drop(test_running);
    result
}

/// Advances the clock until `future` is done, and returns its output.
pub async fn advance_until<T>(future: impl Future<Output = T>) -> T {
    tokio::select! {
        biased;
        output = future => output,
        () = advance_in_steps() => unreachable!("the clock advances without end"),
    }
}

/// Advances the clock step by step, without end.
async fn advance_in_steps() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
    let mut near = TcpStream::connect(listener.local_addr().expect("the listener's address"))
        .await
        .expect("connect to the listener");
    let (mut far, _) = listener.accept().await.expect("accept a connection");
    near.set_nodelay(true).expect("the connection is open");
    loop {
        for _ in 0..ROUND_TRIPS {
            // Once this byte has arrived, so have all bytes that were written before it.
            near.write_all(b"x").await.expect("the connection is open");
            far.read_exact(&mut [0]).await.expect("the connection is open");
            yield_now().await;
        }
        advance(STEP).await;
    }
}
