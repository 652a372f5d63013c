//! Unit tests of `src/bin/proxy/downstream/mod.rs`, which names this file.

use super::accept::drain_accept_queue;
use super::connection::IdleCloseReason;
use super::*;
use crate::paused::rig::settings;
use crate::upstream::{Limits, Pool};
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Longest that a peer may stand open without a request, as callers are promised.
const SILENT_PEER: Duration = Duration::from_secs(3);

fn downstream() -> Rc<Downstream> {
    let platform = load_balancer::platform_settings::parse(settings().to_string().as_bytes()).expect("sound");
    let (counters, buffer_budget) =
        (Counters::new(platform.site.classes.clone()), BufferBudget::new(1 << 20));
    let processes = watch::Sender::new(1);
    let limits = Limits {
        connections: 8,
        processes: processes.subscribe(),
        connect_timeout: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(60),
        drain_grace: Duration::from_millis(500),
        may_duplicate: true,
    };
    let pool = Rc::new(Pool::new(limits, counters.attempts(), buffer_budget.clone()));
    let engine = Engine::new(platform.clone(), 1, pool, watch::Sender::new(false), None).expect("sound");
    let (lifecycle, open) = (Rc::new(Lifecycle::new()), Cell::new(0));
    lifecycle.begin();
    Rc::new(Downstream {
        engine,
        platform,
        counters,
        lifecycle,
        connections: 8,
        spare: 1,
        buffer_budget,
        processes,
        open,
    })
}

/// On the program's own clock, which is paused here and moves on only when nothing is left to do: a busy machine cannot
/// make it late.
#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_no_request_is_let_go_within_three_seconds() {
    for begun in ["", "POST /once HTTP/1.1\r\nHost: origin"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut peer = std::net::TcpStream::connect(address).expect("the queue takes it");
        peer.write_all(begun.as_bytes()).expect("open");
        peer.set_nonblocking(true).expect("open");
        let mut peer = TcpStream::from_std(peer).expect("open");
        let (stream, _) = listener.accept().await.expect("a connection");
        let (connected, idle_close) = (Instant::now(), watch::Sender::new(IdleCloseReason::LimitReached));
        let serving = downstream().serve_connection(stream, idle_close.subscribe(), false);
        let let_go = async {
            peer.read_to_end(&mut Vec::new()).await.expect("closed, not reset");
            connected.elapsed()
        };
        let (after, ()) = LocalSet::new().run_until(async { tokio::join!(let_go, serving) }).await;
        assert!(after < SILENT_PEER, "{begun:?} held for {after:?}");
    }
}

/// Closed with its queue full, a listener would reset those who wait in it.
#[tokio::test]
async fn who_waits_in_a_listeners_queue_is_taken_before_it_closes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let connect = |_| std::net::TcpStream::connect(address).expect("the queue takes it");
    let clients: Vec<_> = (0..5).map(connect).collect();
    let (taken, left) = drain_accept_queue(listener.into_std().expect("sound"));
    assert!(left.is_none(), "nothing is left in it");
    let mut peers: Vec<_> = taken.iter().map(|s| s.peer_addr().expect("open")).collect();
    let mut expected: Vec<_> = clients.iter().map(|c| c.local_addr().expect("open")).collect();
    peers.sort();
    expected.sort();
    assert_eq!(peers, expected);
    assert!(std::net::TcpStream::connect(address).is_err(), "and nobody waits for nothing");
}
