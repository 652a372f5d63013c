//! Limits, each at its maximum and one above: a write within the limit is stored, a larger one is rejected with what to
//! do, and nothing that is stored is lost.

use super::{LIST_PATH, dial};
use crate::registry_rig::*;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum number of entries in one write.
const MAX_ENTRIES: usize = 10_000;
/// Default maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

fn entries(count: usize) -> Vec<Value> {
    (0..count).map(|n| entry(&format!("backend-{n:05}.zone-a.example"), dial(), "SERVING")).collect()
}

fn body(hosts: &[Value]) -> String {
    json!({"ttl_ms": 600_000, "hosts": hosts}).to_string()
}

#[tokio::test]
async fn a_write_with_the_maximum_number_of_entries_is_stored_and_one_more_is_rejected() {
    let registry = Registry::start(&data_dir("limit-entries"), &[]).await;
    let hosts = entries(MAX_ENTRIES + 1);
    let (status, reason) = registry.call("PUT", LIST_PATH, &body(&hosts)).await;
    assert_eq!(
        (status, reason.trim()),
        (400, "hosts: at most 10000 in one write; send the others in a further one")
    );
    assert!(host_names(&registry.get("").await).is_empty(), "no entry of a rejected write may be stored");
    let largest = body(&hosts[..MAX_ENTRIES]);
    assert!(
        largest.len() < MAX_BODY_BYTES / 2,
        "the body of {} bytes may reach the limit on its length before that on its entries",
        largest.len()
    );
    let (status, reason) = registry.call("PUT", LIST_PATH, &largest).await;
    assert_eq!(status, 200, "{reason}");
    assert_eq!(host_names(&registry.get("").await).len(), MAX_ENTRIES);
    // A list may have more entries than one write.
    assert_eq!(registry.call("PUT", LIST_PATH, &body(&hosts[MAX_ENTRIES..])).await.0, 200);
    assert_eq!(host_names(&registry.get("").await).len(), MAX_ENTRIES + 1);
}

#[tokio::test]
async fn a_body_of_the_maximum_length_is_read_and_one_byte_more_is_rejected() {
    let registry = Registry::start(&data_dir("limit-body"), &[]).await;
    let write = body(&entries(3));
    // Trailing blanks are valid in JSON and do not change the write.
    let padded = |length: usize| format!("{write}{}", " ".repeat(length - write.len()));
    let (status, reason) = registry.call("PUT", LIST_PATH, &padded(MAX_BODY_BYTES + 1)).await;
    assert_eq!((status, reason.trim()), (413, "at most 4194304 bytes; send less at once"));
    assert!(host_names(&registry.get("").await).is_empty());
    let (status, reason) = registry.call("PUT", LIST_PATH, &padded(MAX_BODY_BYTES)).await;
    assert_eq!(status, 200, "{reason}");
    assert_eq!(host_names(&registry.get("").await).len(), 3);
}

/// Opens idle connections.
async fn open_idle(registry: &Registry, count: usize) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams
            .push(within_deadline(TcpStream::connect(registry.address)).await.expect("the registry accepts"));
    }
    streams
}

/// Returns true if the registry closes an idle connection.
async fn is_closed(mut stream: TcpStream) -> bool {
    matches!(within_deadline(stream.read(&mut [0])).await, Ok(0) | Err(_))
}

/// The registry is started with a soft limit below what its connections need, and a sufficient hard limit.
#[tokio::test]
async fn the_soft_limit_on_descriptors_is_raised_to_what_the_connections_need() {
    let data = data_dir("limit-raised");
    let registry = Registry::start_limited(&data, &["--max-connections", "300"], "-Sn 64").await;
    let before = registry.descriptors();
    let idle = open_idle(&registry, 250).await;
    within_deadline(async {
        while registry.descriptors() < before + 250 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(registry.call("GET", LIST_PATH, "").await.0, 200);
    drop(idle);
}

/// The hard limit is too low for the configured connections: those beyond the reduced maximum are closed on accept, and
/// the files still get their descriptors.
#[tokio::test]
async fn a_descriptor_limit_that_allows_fewer_connections_is_logged_and_writes_succeed() {
    let data = data_dir("limit-allowed");
    let flags = ["--snapshot-every", "1", "--header-timeout-ms", "600000"];
    let mut registry = Registry::start_limited(&data, &flags, "-n 100").await;
    let warning = registry
        .wait_for_log("the descriptor limit allows fewer connections than configured; more are closed on accept; raise it (ulimit -n)")
        .await;
    let allowed = warning["allowed"].as_u64().expect("allowed is a number") as usize;
    assert!((10..100).contains(&allowed), "{warning}");
    let (mut line, address) = (RegistryConnection::default(), registry.address);
    let write = |n: usize| body(&[entry(&format!("b{n}"), dial(), "SERVING")]).into_bytes();
    assert_eq!(line.call(address, "PUT", LIST_PATH, write(0)).await.expect("the registry answers").0, 200);
    let idle = open_idle(&registry, allowed - 1).await;
    // The maximum number of connections is open now.
    for excess in open_idle(&registry, 20).await {
        assert!(is_closed(excess).await, "a connection beyond the maximum must be closed on accept");
    }
    for n in 1..5 {
        registry.wait_for_log("snapshot written, log compacted").await;
        assert_eq!(
            line.call(address, "PUT", LIST_PATH, write(n)).await.expect("the registry answers").0,
            200
        );
    }
    drop(idle);
    within_deadline(async {
        while registry.descriptors() > 40 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(host_names(&registry.get("").await).len(), 5);
}

/// An answer before the end of the body was lost in a reset, since the registry closed the connection over unread bytes.
#[rstest]
#[case::too_long("PUT", LIST_PATH, MAX_BODY_BYTES + (1 << 20), "413")]
#[case::wrong_method("POST", LIST_PATH, 1 << 20, "405")]
#[case::unknown_path("PUT", "/registry/nothing", 1 << 20, "404")]
#[tokio::test]
async fn an_answer_before_the_end_of_the_body_reaches_its_caller(
    #[case] method: &str,
    #[case] path: &str,
    #[case] length: usize,
    #[case] status: &str,
) {
    let registry = Registry::start(&data_dir(&format!("early-{status}")), &[]).await;
    let mut stream =
        within_deadline(TcpStream::connect(registry.address)).await.expect("the registry accepts");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {length}\r\n\r\n");
    let rest = 1 << 18;
    let begin = [head.into_bytes(), vec![b' '; length - rest]].concat();
    within_deadline(stream.write_all(&begin)).await.expect("the connection is open");
    // The answer is there before the last part of the body.
    within_deadline(stream.readable()).await.expect("an answer");
    for part in vec![b' '; rest].chunks(1 << 14) {
        within_deadline(stream.write_all(part)).await.expect("the rest of the body is received");
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let mut answer = [0; 12];
    within_deadline(stream.read_exact(&mut answer)).await.expect("the connection was not reset");
    assert_eq!(&answer[9..], status.as_bytes());
}
