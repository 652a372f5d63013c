//! Unit tests of `src/bin/proxy/upstream/pool.rs`, which names this file.

use super::*;
use crate::io::Outgoing;
use crate::memory::MemoryPlan;
use hyper::Request;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use tokio::sync::watch;
use tokio::task::{LocalSet, yield_now};

/// Returns an empty pool for at most 8 connections.
fn pool() -> Pool {
    let limits = Limits {
        connections: 8,
        memory: MemoryPlan::new(32 << 20, false, 0),
        processes: watch::Sender::new(1).subscribe(),
        connect_timeout: Duration::from_secs(20),
        idle_timeout: Duration::from_secs(60),
        drain_grace: Duration::from_millis(500),
        may_duplicate: true,
    };
    Pool::new(limits, Rc::default(), BufferBudget::new(1 << 20), Rc::new(SentIds::new(0)), Rc::default())
}

/// Bytes or a close may have arrived before a request is written, while the reactor has not reported them yet. The
/// bytes must not be taken for the response, and after a close the request would end as a reset, after which it may
/// have run. Both sides share one thread here, so that the reactor is not polled in between.
#[tokio::test]
async fn no_request_is_written_after_unread_bytes_or_a_close() {
    let stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    for unsolicited in [stray, "HTTP/1.1 4", ""] {
        let run = async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
            let pool = pool();
            let Ok(mut link) = pool.connect(listener.local_addr().expect("the listener's address")).await
            else {
                panic!("the backend accepts connections");
            };
            let (mut far, _) = listener.accept().expect("accept a connection");
            link.sender.ready().await.expect("the connection is open");
            for _ in 0..5 {
                yield_now().await;
            }
            if unsolicited.is_empty() {
                far.shutdown(Shutdown::Write).expect("the connection is open");
            } else {
                far.write_all(unsolicited.as_bytes()).expect("the connection is open");
            }
            let body = Outgoing::new(Default::default(), None, link.progress.clone());
            let request = Request::get("/").header("host", "b").body(body).expect("a valid request");
            let answer = link.sender.send_request(request).await;
            assert!(answer.is_err(), "{unsolicited:?} was taken for the response");
            assert!(!link.progress.is_written(), "{unsolicited:?}: the request was written");
            drop(link);
            let mut received = Vec::new();
            // The read may fail: a close with unread bytes resets the connection.
            let _ = far.read_to_end(&mut received);
            assert!(received.is_empty(), "{unsolicited:?}: {:?}", String::from_utf8_lossy(&received));
            while pool.open.get() > 0 {
                yield_now().await;
            }
        };
        LocalSet::new().run_until(run).await;
    }
}
