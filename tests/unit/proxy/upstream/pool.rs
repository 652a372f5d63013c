//! Unit tests of `src/bin/proxy/upstream/pool.rs`, which names this file.

use super::*;
use hyper::Request;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use tokio::task::{LocalSet, yield_now};

fn pool() -> Pool {
    let limits = Limits {
        connections: 8,
        processes: watch::Sender::new(1).subscribe(),
        connect_timeout: Duration::from_secs(20),
        idle_timeout: Duration::from_secs(60),
        drain_grace: Duration::from_millis(500),
        may_duplicate: true,
    };
    Pool::new(limits, Rc::default(), BufferBudget::new(1 << 20))
}

/// What lies in the system unread when a request is about to be written, though the reactor has not told of it yet: no
/// answer, since none was asked for, and after a close a request would end as a reset, which may have run. Both sides
/// are one thread here, so that the reactor gets no turn in between.
#[tokio::test]
async fn what_came_before_a_request_is_seen_before_it_is_written() {
    let stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    for said in [stray, "HTTP/1.1 4", ""] {
        let run = async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let pool = pool();
            let Ok(mut link) = pool.connect(listener.local_addr().expect("bound")).await else {
                panic!("it listens");
            };
            let (mut far, _) = listener.accept().expect("a connection");
            link.sender.ready().await.expect("open");
            for _ in 0..5 {
                yield_now().await;
            }
            if said.is_empty() {
                far.shutdown(Shutdown::Write).expect("open");
            } else {
                far.write_all(said.as_bytes()).expect("open");
            }
            let body = Outgoing::new(Default::default(), None, link.progress.clone());
            let request = Request::get("/").header("host", "b").body(body).expect("well formed");
            let answer = link.sender.send_request(request).await;
            assert!(answer.is_err(), "{said:?} passed for an answer");
            assert!(!link.progress.is_written(), "{said:?}: the request was written all the same");
            drop(link);
            let mut heard = Vec::new();
            let _ = far.read_to_end(&mut heard); // a close over unread bytes resets
            assert!(heard.is_empty(), "{said:?}: {:?}", String::from_utf8_lossy(&heard));
            while pool.open.get() > 0 {
                yield_now().await;
            }
        };
        LocalSet::new().run_until(run).await;
    }
}
