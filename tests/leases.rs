//! Leases of a registry process: one holder at a time, tokens that increase across kills, fenced writes, and malformed
//! requests.

mod registry_rig;
mod waits;

use registry_rig::*;
use serde_json::{Value, json};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

const PATH: &str = "/registry/leases";
const LIST_PATH: &str = "/registry/instances";

/// Calls `/registry/leases`. Returns the status and the body, as a JSON string if it is plain text.
async fn call_leases(address: SocketAddr, method: &str, body: Value) -> Result<(u16, Value), String> {
    let (status, text) = call(address, method, PATH, body.to_string().into_bytes()).await?;
    Ok((status, serde_json::from_str(&text).unwrap_or(Value::String(text))))
}

async fn acquire(registry: &Registry, duty: &str, holder: &str, ttl_ms: u64) -> (u16, Value) {
    let body = json!({"duty": duty, "holder": holder, "ttl_ms": ttl_ms});
    call_leases(registry.address, "PUT", body).await.expect("the registry answers")
}

fn token(lease: &Value) -> u64 {
    lease["token"].as_u64().expect("the lease has a token")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_kill_during_grants_loses_no_granted_lease_and_no_token_is_granted_twice() {
    let data = data_dir("leases-kill");
    let mut tokens = HashSet::new();
    let mut highest = 0;
    for round in 0..3 {
        let registry = Registry::start(&data, &[]).await;
        let (granted, stop) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let holders: Vec<_> = (0..8)
            .map(|n| {
                let (address, granted, stop) = (registry.address, granted.clone(), stop.clone());
                tokio::spawn(async move {
                    let mut leases = Vec::new();
                    for k in 0.. {
                        let body =
                            json!({"duty": format!("{round}-{n}-{k}"), "holder": "h", "ttl_ms": 600_000});
                        match call_leases(address, "PUT", body).await {
                            Ok((200, lease)) => leases.push(lease),
                            _ => break,
                        }
                        granted.fetch_add(1, SeqCst);
                        if stop.load(SeqCst) {
                            break;
                        }
                    }
                    leases
                })
            })
            .collect();
        within_deadline(async {
            while granted.load(SeqCst) < 100 {
                tokio::task::yield_now().await;
            }
        })
        .await;
        registry.kill().await;
        stop.store(true, SeqCst);
        let mut leases = Vec::new();
        for holder in holders {
            leases.extend(within_deadline(holder).await.expect("the holder task does not panic"));
        }
        for lease in &leases {
            assert!(token(lease) > highest, "a token is not above those of the previous start: {lease}");
            assert!(tokens.insert(token(lease)), "a token was granted twice: {lease}");
        }
        highest = *tokens.iter().max().expect("at least one lease was granted");
        // The next process keeps every granted lease.
        let registry = Registry::start(&data, &[]).await;
        let (status, page) =
            call_leases(registry.address, "GET", json!({})).await.expect("the registry answers");
        assert_eq!(status, 200);
        let listed = page["leases"].as_array().expect("the answer has a list of leases");
        assert!(leases.iter().all(|lease| listed.contains(lease)), "a granted lease is lost");
        let duty = leases[0]["duty"].as_str().expect("the duty is a string");
        let (status, rejection) = acquire(&registry, duty, "other", 1000).await;
        assert_eq!((status, &rejection["held"]), (409, &leases[0]));
        registry.kill().await;
    }
}

#[tokio::test]
async fn a_lease_that_is_not_renewed_passes_to_another_holder_and_its_token_is_rejected() {
    let data = data_dir("leases-pass");
    let registry = Registry::start(&data, &[]).await;
    let (status, first) = acquire(&registry, "trials", "a", 1000).await;
    assert_eq!(status, 200);
    let fenced_write = |token: u64| {
        let dial = "127.0.0.1:9".parse().expect("a valid socket address");
        let host = entry(&format!("by-{token}"), dial, "SERVING");
        json!({"ttl_ms": 60_000, "hosts": [host], "fence": {"duty": "trials", "token": token}}).to_string()
    };
    assert_eq!(registry.call("PUT", LIST_PATH, &fenced_write(token(&first))).await.0, 200);
    // The renewed lease is kept past its first end, also after a kill of the registry.
    let renewal = json!({"duty": "trials", "holder": "a", "token": token(&first), "ttl_ms": 1500});
    let answer = call_leases(registry.address, "PUT", renewal.clone()).await.expect("the registry answers");
    assert_eq!(answer.0, 200);
    registry.kill().await;
    let registry = Registry::start(&data, &[]).await;
    let restarted = Instant::now();
    let (status, rejection) = acquire(&registry, "trials", "b", 1000).await;
    assert_eq!((status, token(&rejection["held"])), (409, token(&first)));
    let remaining_ms = rejection["left_ms"].as_u64().expect("left_ms is a number");
    assert!(
        (1..=1500).contains(&remaining_ms),
        "the lease has the full TTL of its renewal after the restart, not {remaining_ms} ms"
    );
    // The holder no longer renews. Another one acquires the duty after the end of the lease and not before.
    let second = within_deadline(async {
        loop {
            let (status, lease) = acquire(&registry, "trials", "b", 60_000).await;
            if status == 200 {
                return lease;
            }
            assert_eq!(status, 409);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    assert!(
        restarted.elapsed() >= Duration::from_millis(remaining_ms),
        "the duty was granted before the end of the lease"
    );
    assert!(token(&second) > token(&first));
    // The old holder is still running. It can neither renew nor release the lease, nor write with its token.
    let (status, _) = call_leases(registry.address, "PUT", renewal).await.expect("the registry answers");
    assert_eq!(status, 409);
    let release = |holder: &str, token: u64| json!({"duty": "trials", "holder": holder, "token": token});
    let by_old_holder = release("a", token(&first));
    let (status, _) =
        call_leases(registry.address, "DELETE", by_old_holder).await.expect("the registry answers");
    assert_eq!(status, 409);
    let (status, reason) = registry.call("PUT", LIST_PATH, &fenced_write(token(&first))).await;
    assert!(status == 409 && reason.contains("fence"), "{reason}");
    assert_eq!(registry.call("PUT", LIST_PATH, &fenced_write(token(&second))).await.0, 200);
    // After a release the duty can be acquired immediately.
    let by_holder = release("b", token(&second));
    let (status, _) = call_leases(registry.address, "DELETE", by_holder).await.expect("the registry answers");
    assert_eq!(status, 200);
    let (status, third) = acquire(&registry, "trials", "a", 1000).await;
    assert!(status == 200 && token(&third) > token(&second));
    assert_eq!(registry.call("PUT", LIST_PATH, &fenced_write(token(&second))).await.0, 409);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_and_concurrent_lease_requests_are_rejected_and_lose_no_stored_lease() {
    let registry = Registry::start(&data_dir("leases-bad"), &[]).await;
    let (_, kept) = acquire(&registry, "kept", "a", 600_000).await;
    let request_with = |key: &str, value: Value| {
        let mut body = json!({"duty": "kept", "holder": "a", "ttl_ms": 1000});
        body[key] = value;
        body
    };
    let rejected = [
        ("PUT", request_with("ttl_ms", 0.into()), 400),
        ("PUT", request_with("ttl_ms", 31_536_000_000_u64.into()), 400),
        ("PUT", request_with("ttl_ms", (-1).into()), 400),
        ("PUT", request_with("duty", "".into()), 400),
        ("PUT", request_with("holder", "x".repeat(254).into()), 400),
        ("PUT", request_with("colour", "red".into()), 400),
        ("PUT", json!({"duty": "kept", "holder": "a", "token": token(&kept)}), 400),
        ("DELETE", request_with("token", token(&kept).into()), 400),
        ("PUT", request_with("token", (token(&kept) - 1).into()), 409),
        ("PUT", json!({"duty": "kept", "holder": "b", "token": token(&kept), "ttl_ms": 1000}), 409),
        ("DELETE", json!({"duty": "kept", "holder": "b", "token": token(&kept)}), 409),
        ("DELETE", json!({"duty": "never", "holder": "a", "token": 1}), 409),
        ("POST", request_with("ttl_ms", 1000.into()), 405),
    ];
    for (method, body, expected) in rejected {
        let (status, reason) =
            call_leases(registry.address, method, body.clone()).await.expect("the registry answers");
        assert_eq!(status, expected, "{method} {body}: {reason}");
    }
    // Of many concurrent requests for one duty exactly one is granted.
    let requests: Vec<_> = (0..200)
        .map(|n| {
            let body = json!({"duty": "one", "holder": format!("h{n}"), "ttl_ms": 600_000});
            tokio::spawn(call_leases(registry.address, "PUT", body))
        })
        .collect();
    let mut granted = 0;
    for request in requests {
        let (status, _) = within_deadline(request)
            .await
            .expect("the request task does not panic")
            .expect("the registry answers");
        assert!(matches!(status, 200 | 409), "{status}");
        granted += usize::from(status == 200);
    }
    assert_eq!(granted, 1);
    let (_, page) = call_leases(registry.address, "GET", json!({})).await.expect("the registry answers");
    let listed = page["leases"].as_array().expect("the answer has a list of leases");
    assert!(listed.len() == 2 && listed.contains(&kept), "{listed:?}");
}
