//! One client that sends small requests on one connection as fast as it can.

use crate::backend::start_proxy_with;
use crate::rig::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time for which the client floods.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Requests in one write.
const BATCH: usize = 200;
/// Time for which the other client waits for each answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Allowed growth of the peak memory in the second half of the flood, in MB.
const MAX_GROWTH_MB: usize = 2;

/// Returns a small request of a kind, the `number`th one.
fn small_request(kind: &str, number: usize) -> String {
    let head = |line: &str, id: &str, rest: &str| {
        format!(
            "{line} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1000\r\n{rest}\r\n"
        )
    };
    let id = format!("flood{number}");
    match kind {
        "sound" => head("GET /look", &id, ""),
        "once" => head("POST /once", &id, "Content-Length: 3\r\n") + "abc",
        "stuck" => head("GET /look?answer=3&every=60000&piece=1", &id, ""),
        "keys" => head(&format!("GET /look?k=key{number}"), &id, ""),
        "same_id" => head("POST /once", "same", "Content-Length: 0\r\n"),
        "names" => head(&format!("GET /name{number}"), &id, ""),
        "owners" => head("GET /look", &id, "").replace("acme", &id),
        "fields" => head("GET /look", &id, &format!("x-{number}: 1\r\n")),
        "no_id" => "GET /look HTTP/1.1\r\nHost: o\r\n\r\n".to_string(),
        "expired" => head("GET /look", &id, "").replace("1000", "0"),
        "ready" => "GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n".to_string(),
        _ => unreachable!("an unknown kind"),
    }
}

/// Sends requests until it is aborted, on a new connection whenever the proxy ends the old one.
async fn flood(proxy: std::net::SocketAddr, kind: &'static str) {
    let mut number = 0;
    loop {
        let Ok(stream) = TcpStream::connect(proxy).await else { continue };
        let (mut read, mut write) = stream.into_split();
        let reader = tokio::spawn(async move {
            let mut part = vec![0; 1 << 16];
            while matches!(read.read(&mut part).await, Ok(n) if n > 0) {}
        });
        loop {
            let batch: String = (0..BATCH).map(|n| small_request(kind, number + n)).collect();
            number += BATCH;
            if write.write_all(batch.as_bytes()).await.is_err() {
                break;
            }
        }
        reader.abort();
    }
}

/// While one client flooded its connection, others had their answers late, or memory grew without end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_client_that_floods_its_connection_starves_no_other(
    #[values(
        "sound", "once", "stuck", "keys", "same_id", "names", "owners", "fields", "no_id", "expired", "ready"
    )]
    kind: &'static str,
) {
    let (_discovery, proxy) = start_proxy_with(|config| config["limits"]["memory_mb"] = 32.into()).await;
    let flooding = tokio::spawn(flood(proxy.addr, kind));
    let (started, mut half, mut worst, mut served, mut calls) = (Instant::now(), None, Duration::ZERO, 0, 0);
    while started.elapsed() < FLOOD_TIME {
        let sent = Instant::now();
        let answer = timeout(TEST_DEADLINE, proxy.call("look")).await;
        worst = worst.max(sent.elapsed());
        calls += 1;
        served += usize::from(answer.is_ok_and(|(status, _)| status == 200));
        if started.elapsed() > FLOOD_TIME / 2 {
            half.get_or_insert_with(|| proxy.peak_memory_mb());
        }
        sleep(Duration::from_millis(20)).await;
    }
    flooding.abort();
    let (half, peak) = (half.expect("a reading"), proxy.peak_memory_mb());
    println!("{kind}: {served} of {calls} served, worst {worst:?}, {half} MB, then {peak} MB");
    assert!(worst < CLIENT_TIMEOUT, "an answer took {worst:?}");
    assert!(served * 2 > calls, "{served} of {calls} calls served");
    assert!(peak <= half + MAX_GROWTH_MB, "{half} MB, then {peak} MB");
}
