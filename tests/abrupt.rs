//! Peers that end abruptly or stay on after the proxy's end: nothing is left over, and others are not kept out.

mod rig;
mod waits;

use rig::*;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Peers that are turned down and neither close nor stop writing fill all places: they make room for others.
#[tokio::test]
async fn peers_that_stay_after_the_proxys_end_do_not_keep_others_out() {
    let s = start_fixture_with(settings(), |config| config["limits"]["sockets"] = 100.into()).await;
    let mut staying = Vec::new();
    for _ in 0..200 {
        let Ok(mut peer) = within_deadline(TcpStream::connect(s.proxy.addr)).await else { continue };
        staying.push(tokio::spawn(async move {
            while peer.write_all(b"GET /look\r\n\r\n").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }));
    }
    for _ in 0..20 {
        let asked = Instant::now();
        assert_eq!(s.proxy.call("look").await.0, 200);
        assert!(asked.elapsed() < Duration::from_secs(3), "{:?}", asked.elapsed());
    }
    assert!(s.proxy.descriptors() <= 100, "{} descriptors", s.proxy.descriptors());
    // Not one of them is read from for ever.
    for peer in staying {
        within_deadline(peer).await.expect("no panic");
    }
}

/// Four thousand abrupt ends: the descriptors are back where they were.
#[tokio::test]
async fn abrupt_ends_leave_no_descriptor() {
    let s = start_fixture(settings()).await;
    let none = s.proxy.descriptors();
    while s.a.connections_total() * s.b.connections_total() == 0 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    let most = none + s.a.connections_total() + s.b.connections_total();
    let start =
        "POST /once HTTP/1.1\r\nHost: o\r\nReq-Id: x\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n";
    let much = format!("{start}Content-Length: {}\r\n\r\n{}", 1 << 20, "x".repeat(60_000));
    let kinds = ["GET /look\r\n\r\n", start, &much, "POST /nothing HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"];
    for n in 0..1000 {
        for kind in kinds {
            let mut peer = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
            // Who is reset while it writes has ended too.
            let _ = within_deadline(peer.write_all(kind.as_bytes())).await;
            match n % 3 {
                // Closed over an answer that nobody read, this resets the connection.
                0 => drop(peer),
                1 => {
                    peer.shutdown().await.expect("open");
                    let _ = within_deadline(peer.read_to_end(&mut Vec::new())).await;
                }
                _ => peer.set_zero_linger().expect("open"),
            }
        }
    }
    within_deadline(async {
        while s.proxy.descriptors() > most {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    assert_eq!(s.proxy.call("look").await.0, 200);
}
