//! Clients that disconnect abruptly or stay after the proxy's FIN: nothing is leaked, and other clients get in.

mod rig;
mod waits;

use rig::*;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Rejected clients that neither close nor stop writing occupy all descriptors: they are evicted for others.
#[tokio::test]
async fn clients_that_stay_after_the_proxys_fin_do_not_block_others() {
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
        let started = Instant::now();
        assert_eq!(s.proxy.call("look").await.0, 200);
        assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    }
    assert!(s.proxy.descriptors() <= 100, "{} descriptors", s.proxy.descriptors());
    // The proxy stops reading from each of them.
    for peer in staying {
        within_deadline(peer).await.expect("task completed");
    }
}

/// Four thousand abrupt disconnects, after which the number of descriptors is as before.
#[tokio::test]
async fn abrupt_disconnects_leak_no_descriptor() {
    let s = start_fixture(settings()).await;
    let initial = s.proxy.descriptors();
    while s.a.connections_total() * s.b.connections_total() == 0 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    let most = initial + s.a.connections_total() + s.b.connections_total();
    let start =
        "POST /once HTTP/1.1\r\nHost: o\r\nReq-Id: x\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n";
    let partial_body = format!("{start}Content-Length: {}\r\n\r\n{}", 1 << 20, "x".repeat(60_000));
    let kinds =
        ["GET /look\r\n\r\n", start, &partial_body, "POST /nothing HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"];
    for n in 0..1000 {
        for kind in kinds {
            let mut peer =
                within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
            // A reset while the client writes ends the connection too.
            let _ = within_deadline(peer.write_all(kind.as_bytes())).await;
            match n % 3 {
                // A close over an unread response resets the connection.
                0 => drop(peer),
                1 => {
                    peer.shutdown().await.expect("connection is open");
                    let _ = within_deadline(peer.read_to_end(&mut Vec::new())).await;
                }
                _ => peer.set_zero_linger().expect("connection is open"),
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
