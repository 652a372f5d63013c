//! Unit tests of `src/bin/proxy/downstream/mod.rs`, which names this file.

use super::accept::drain_accept_queue;
use super::activity::IdleCloseReason;
use super::*;
use crate::paused::rig::settings;
use crate::upstream::{Limits, Pool};
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Longest time for which a connection without a complete request head may stay open, as the platform requires.
const MAX_TIME_WITHOUT_REQUEST: Duration = Duration::from_secs(3);

/// Returns a server without backends for at most 8 connections and 1 spare one.
fn downstream() -> Rc<Downstream> {
    let platform =
        load_balancer::platform_settings::parse(settings().to_string().as_bytes()).expect("valid settings");
    let (counters, buffer_budget) =
        (Counters::new(platform.site.classes.clone()), BufferBudget::new(1 << 20));
    let processes = watch::Sender::new(1);
    let limits = Limits {
        connections: 8,
        memory: MemoryPlan::new(32 << 20, false, 0),
        processes: processes.subscribe(),
        connect_timeout: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(60),
        drain_grace: Duration::from_millis(500),
        may_duplicate: true,
    };
    let sent_ids = Rc::new(SentIds::new(0));
    let (attempts, refusals) = (counters.attempts(), counters.refusals());
    let pool = Rc::new(Pool::new(limits, attempts, buffer_budget.clone(), sent_ids, refusals));
    let engine =
        Engine::new(platform.clone(), 1, pool, watch::Sender::new(false), None).expect("valid settings");
    let (lifecycle, open) = (Rc::new(Lifecycle::new()), Cell::new(0));
    lifecycle.begin();
    Rc::new(Downstream {
        engine,
        platform,
        counters,
        lifecycle,
        connections: 8,
        spare: 1,
        sent_ids: Rc::new(SentIds::new(0)),
        slots: Slots::new(MemoryPlan::new(32 << 20, false, 0).client_connections),
        memory: MemoryPlan::new(32 << 20, false, 0),
        buffer_budget,
        processes,
        open,
    })
}

/// The clock is paused and advances only when no task can run, so that a busy machine cannot delay the close.
#[tokio::test(start_paused = true)]
async fn a_connection_without_a_request_head_is_closed_within_three_seconds() {
    for begun in ["", "POST /once HTTP/1.1\r\nHost: origin"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
        let address = listener.local_addr().expect("the listener's address");
        let mut peer = std::net::TcpStream::connect(address).expect("connect to the listen queue");
        peer.write_all(begun.as_bytes()).expect("the connection is open");
        peer.set_nonblocking(true).expect("the connection is open");
        let mut peer = TcpStream::from_std(peer).expect("the connection is open");
        let (stream, _) = listener.accept().await.expect("accept a connection");
        let (connected, idle_close) = (Instant::now(), watch::Sender::new(IdleCloseReason::LimitReached));
        let serving = downstream().serve_connection(stream, idle_close.subscribe(), false);
        let closed = async {
            peer.read_to_end(&mut Vec::new()).await.expect("a close without a reset");
            connected.elapsed()
        };
        let (after, ()) = LocalSet::new().run_until(async { tokio::join!(closed, serving) }).await;
        assert!(after < MAX_TIME_WITHOUT_REQUEST, "connection with {begun:?} was open for {after:?}");
    }
}

/// Closing a listener resets the connections in its queue, so that they must be accepted before.
#[tokio::test]
async fn queued_connections_are_accepted_before_the_listener_closes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
    let address = listener.local_addr().expect("the listener's address");
    let connect = |_| std::net::TcpStream::connect(address).expect("connect to the listen queue");
    let clients: Vec<_> = (0..5).map(connect).collect();
    let (accepted, unfinished) =
        drain_accept_queue(listener.into_std().expect("the listener leaves the reactor"));
    assert!(unfinished.is_none(), "connections remain in the queue");
    let mut peers: Vec<_> = accepted.iter().map(|s| s.peer_addr().expect("the connection is open")).collect();
    let mut expected: Vec<_> =
        clients.iter().map(|c| c.local_addr().expect("the connection is open")).collect();
    peers.sort();
    expected.sort();
    assert_eq!(peers, expected);
    assert!(std::net::TcpStream::connect(address).is_err(), "the listener must be closed");
}
