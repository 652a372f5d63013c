//! Leases at a registry process: one holder at a time, tokens that rise through kills, fenced writes, bad input.

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

async fn ask(address: SocketAddr, method: &str, body: Value) -> Result<(u16, Value), String> {
    let (status, text) = call(address, method, PATH, body.to_string().into_bytes()).await?;
    Ok((status, serde_json::from_str(&text).unwrap_or(Value::String(text))))
}

async fn acquire(registry: &Registry, duty: &str, holder: &str, ttl_ms: u64) -> (u16, Value) {
    let body = json!({"duty": duty, "holder": holder, "ttl_ms": ttl_ms});
    ask(registry.address, "PUT", body).await.expect("answered")
}

fn token(lease: &Value) -> u64 {
    lease["token"].as_u64().expect("a token")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_kill_during_grants_loses_none_and_no_token_comes_twice() {
    let data = data_dir("leases-kill");
    let mut tokens = HashSet::new();
    let mut highest = 0;
    for round in 0..3 {
        let registry = Registry::start(&data, &[]).await;
        let (granted, over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let holders: Vec<_> = (0..8)
            .map(|n| {
                let (address, granted, over) = (registry.address, granted.clone(), over.clone());
                tokio::spawn(async move {
                    let mut held = Vec::new();
                    for k in 0.. {
                        let body =
                            json!({"duty": format!("{round}-{n}-{k}"), "holder": "h", "ttl_ms": 600_000});
                        match ask(address, "PUT", body).await {
                            Ok((200, lease)) => held.push(lease),
                            _ => break,
                        }
                        granted.fetch_add(1, SeqCst);
                        if over.load(SeqCst) {
                            break;
                        }
                    }
                    held
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
        over.store(true, SeqCst);
        let mut held = Vec::new();
        for holder in holders {
            held.extend(within_deadline(holder).await.expect("no panic"));
        }
        for lease in &held {
            assert!(token(lease) > highest, "above all of the start before");
            assert!(tokens.insert(token(lease)), "granted twice: {lease}");
        }
        highest = *tokens.iter().max().expect("some");
        // All that was granted is honoured by the next process.
        let registry = Registry::start(&data, &[]).await;
        let (status, listed) = ask(registry.address, "GET", json!({})).await.expect("answered");
        assert_eq!(status, 200);
        let listed = listed["leases"].as_array().expect("leases");
        assert!(held.iter().all(|lease| listed.contains(lease)), "a granted lease is lost");
        let (status, refused) =
            acquire(&registry, held[0]["duty"].as_str().expect("text"), "other", 1000).await;
        assert_eq!((status, &refused["held"]), (409, &held[0]));
        registry.kill().await;
    }
}

#[tokio::test]
async fn a_duty_passes_on_when_its_holder_is_silent_and_the_old_token_is_refused() {
    let data = data_dir("leases-pass");
    let registry = Registry::start(&data, &[]).await;
    let (status, first) = acquire(&registry, "trials", "a", 1000).await;
    assert_eq!(status, 200);
    let write = |token: u64| {
        let host = entry(&format!("by-{token}"), "127.0.0.1:9".parse().expect("address"), "SERVING");
        json!({"ttl_ms": 60_000, "hosts": [host], "fence": {"duty": "trials", "token": token}}).to_string()
    };
    assert_eq!(registry.call("PUT", "/registry/instances", &write(token(&first))).await.0, 200);
    // Renewed, it is kept past its first end, through a kill of the registry too.
    let renewal = json!({"duty": "trials", "holder": "a", "token": token(&first), "ttl_ms": 1500});
    assert_eq!(ask(registry.address, "PUT", renewal.clone()).await.expect("answered").0, 200);
    registry.kill().await;
    let registry = Registry::start(&data, &[]).await;
    let restarted = Instant::now();
    let (status, refused) = acquire(&registry, "trials", "b", 1000).await;
    assert_eq!((status, token(&refused["held"])), (409, token(&first)));
    let left = refused["left_ms"].as_u64().expect("a number");
    assert!((1..=1500).contains(&left), "the TTL of the renewal, whole from the start: {left}");
    // The holder says nothing more. Another takes the duty once it is over and not before.
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
    assert!(restarted.elapsed() >= Duration::from_millis(left), "not before its end");
    assert!(token(&second) > token(&first));
    // The old holder wakes up: it can neither renew nor release nor act.
    assert_eq!(ask(registry.address, "PUT", renewal).await.expect("answered").0, 409);
    let release = |holder: &str, token: u64| json!({"duty": "trials", "holder": holder, "token": token});
    assert_eq!(ask(registry.address, "DELETE", release("a", token(&first))).await.expect("answered").0, 409);
    let (status, why) = registry.call("PUT", "/registry/instances", &write(token(&first))).await;
    assert!(status == 409 && why.contains("fence"), "{why}");
    assert_eq!(registry.call("PUT", "/registry/instances", &write(token(&second))).await.0, 200);
    // A release passes it on at once.
    assert_eq!(ask(registry.address, "DELETE", release("b", token(&second))).await.expect("answered").0, 200);
    let (status, third) = acquire(&registry, "trials", "a", 1000).await;
    assert!(status == 200 && token(&third) > token(&second));
    assert_eq!(registry.call("PUT", "/registry/instances", &write(token(&second))).await.0, 409);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_asks_and_a_flood_get_plain_refusals_and_nothing_stored_is_lost() {
    let registry = Registry::start(&data_dir("leases-bad"), &[]).await;
    let (_, kept) = acquire(&registry, "kept", "a", 600_000).await;
    let lease = |key: &str, value: Value| {
        let mut body = json!({"duty": "kept", "holder": "a", "ttl_ms": 1000});
        body[key] = value;
        body
    };
    let bad = [
        ("PUT", lease("ttl_ms", 0.into()), 400),
        ("PUT", lease("ttl_ms", 31_536_000_000_u64.into()), 400),
        ("PUT", lease("ttl_ms", (-1).into()), 400),
        ("PUT", lease("duty", "".into()), 400),
        ("PUT", lease("holder", "x".repeat(254).into()), 400),
        ("PUT", lease("colour", "red".into()), 400),
        ("PUT", json!({"duty": "kept", "holder": "a", "token": token(&kept)}), 400),
        ("DELETE", lease("token", token(&kept).into()), 400),
        ("PUT", lease("token", (token(&kept) - 1).into()), 409),
        ("PUT", json!({"duty": "kept", "holder": "b", "token": token(&kept), "ttl_ms": 1000}), 409),
        ("DELETE", json!({"duty": "kept", "holder": "b", "token": token(&kept)}), 409),
        ("DELETE", json!({"duty": "never", "holder": "a", "token": 1}), 409),
        ("POST", lease("ttl_ms", 1000.into()), 405),
    ];
    for (method, body, want) in bad {
        let (status, why) = ask(registry.address, method, body.clone()).await.expect("answered");
        assert_eq!(status, want, "{method} {body}: {why}");
    }
    // Many at once for one duty: one gets it, and nobody else.
    let won: Vec<_> = (0..200)
        .map(|n| {
            let body = json!({"duty": "one", "holder": format!("h{n}"), "ttl_ms": 600_000});
            tokio::spawn(ask(registry.address, "PUT", body))
        })
        .collect();
    let mut granted = 0;
    for asked in won {
        let (status, _) = within_deadline(asked).await.expect("no panic").expect("answered");
        assert!(matches!(status, 200 | 409), "{status}");
        granted += usize::from(status == 200);
    }
    assert_eq!(granted, 1);
    let (_, listed) = ask(registry.address, "GET", json!({})).await.expect("answered");
    let listed = listed["leases"].as_array().expect("leases");
    assert!(listed.len() == 2 && listed.contains(&kept), "{listed:?}");
}
