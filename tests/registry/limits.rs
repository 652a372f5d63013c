//! Limits at their border and one over: what fits is stored, what does not is refused with what to do, nothing is lost.

use super::dial;
use crate::registry_rig::*;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Entries of one write.
const MAX_ENTRIES: usize = 10_000;
/// The longest body, by default.
const MAX_BODY: usize = 4 << 20;

fn many(count: usize) -> Vec<Value> {
    (0..count).map(|n| entry(&format!("backend-{n:05}.zone-a.example"), dial(), "SERVING")).collect()
}

fn body(hosts: &[Value]) -> String {
    json!({"ttl_ms": 600_000, "hosts": hosts}).to_string()
}

#[tokio::test]
async fn a_write_of_as_many_entries_as_it_may_have_is_stored_and_one_more_is_refused() {
    let registry = Registry::start(&data_dir("limit-entries"), &[]).await;
    let path = "/registry/instances";
    let hosts = many(MAX_ENTRIES + 1);
    let (status, why) = registry.call("PUT", path, &body(&hosts)).await;
    assert_eq!(
        (status, why.trim()),
        (400, "hosts: at most 10000 in one write; send the others in a further one")
    );
    assert!(host_names(&registry.get("").await).is_empty(), "nothing of a refused write is stored");
    let whole = body(&hosts[..MAX_ENTRIES]);
    assert!(whole.len() < MAX_BODY / 2, "the body's limit is far: {} bytes", whole.len());
    let (status, why) = registry.call("PUT", path, &whole).await;
    assert_eq!(status, 200, "{why}");
    assert_eq!(host_names(&registry.get("").await).len(), MAX_ENTRIES);
    // More than one write may have are listed, one write after the other.
    assert_eq!(registry.call("PUT", path, &body(&hosts[MAX_ENTRIES..])).await.0, 200);
    assert_eq!(host_names(&registry.get("").await).len(), MAX_ENTRIES + 1);
}

#[tokio::test]
async fn a_body_as_long_as_it_may_be_is_read_and_one_byte_more_is_refused() {
    let registry = Registry::start(&data_dir("limit-body"), &[]).await;
    let path = "/registry/instances";
    let whole = body(&many(3));
    // Blanks behind it are no part of what it says.
    let padded = |length: usize| format!("{whole}{}", " ".repeat(length - whole.len()));
    let (status, why) = registry.call("PUT", path, &padded(MAX_BODY + 1)).await;
    assert_eq!((status, why.trim()), (413, "at most 4194304 bytes; send less at once"));
    assert!(host_names(&registry.get("").await).is_empty());
    let (status, why) = registry.call("PUT", path, &padded(MAX_BODY)).await;
    assert_eq!(status, 200, "{why}");
    assert_eq!(host_names(&registry.get("").await).len(), 3);
}

/// Opens so many connections, all at rest.
async fn open(registry: &Registry, count: usize) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(within_deadline(TcpStream::connect(registry.address)).await.expect("connects"));
    }
    streams
}

/// Whether the registry has closed a connection that was at rest.
async fn closed(mut stream: TcpStream) -> bool {
    matches!(within_deadline(stream.read(&mut [0])).await, Ok(0) | Err(_))
}

/// It is started with fewer descriptors than it needs, and may have more.
#[tokio::test]
async fn the_systems_limit_of_descriptors_is_raised_to_what_the_connections_need() {
    let data = data_dir("limit-raised");
    let registry = Registry::start_limited(&data, &["--max-connections", "300"], "-Sn 64").await;
    let before = registry.descriptors();
    let held = open(&registry, 250).await;
    within_deadline(async {
        while registry.descriptors() < before + 250 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(registry.call("GET", "/registry/instances", "").await.0, 200);
    drop(held);
}

/// It may have no more: those past its places are closed as they come, and the files have their descriptors still.
#[tokio::test]
async fn where_the_system_allows_fewer_connections_that_is_said_and_writes_go_on() {
    let data = data_dir("limit-allowed");
    let flags = ["--snapshot-every", "1", "--header-timeout-ms", "600000"];
    let mut registry = Registry::start_limited(&data, &flags, "-n 100").await;
    let said = registry
        .wait_for_log("the system allows fewer connections than configured, more are closed as they come; raise its limit (ulimit -n)")
        .await;
    let allowed = said["allowed"].as_u64().expect("a number") as usize;
    assert!((10..100).contains(&allowed), "{said}");
    let (mut line, address) = (RegistryConnection::default(), registry.address);
    let write = |n: usize| body(&[entry(&format!("b{n}"), dial(), "SERVING")]).into_bytes();
    let path = "/registry/instances";
    assert_eq!(line.call(address, "PUT", path, write(0)).await.expect("answered").0, 200);
    let resting = open(&registry, allowed - 1).await;
    // Every place is taken now.
    for over in open(&registry, 20).await {
        assert!(closed(over).await, "one more is closed as it comes");
    }
    for n in 1..5 {
        registry.wait_for_log("snapshot written, log compacted").await;
        assert_eq!(line.call(address, "PUT", path, write(n)).await.expect("answered").0, 200);
    }
    drop(resting);
    within_deadline(async {
        while registry.descriptors() > 40 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(host_names(&registry.get("").await).len(), 5);
}
