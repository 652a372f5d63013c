//! Starts, replacements and processes side by side.

use super::in_service;
use crate::rig::*;
use http_body_util::{BodyExt, Full};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Replacements in quick succession under load: each new process takes over while the old one still serves, and
/// every call gets its answer.
#[tokio::test]
async fn a_second_process_takes_over_and_no_call_is_lost() {
    let mut s = in_service().await;
    // A process that has just begun takes twice as many calls as it has members: more than the callers make.
    let mut lines = vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")];
    let mut more = Vec::new();
    for name in ["c", "d", "e", "f"] {
        more.push(TestBackend::start(name, &s.control).await);
    }
    lines.extend(more.iter().map(|backend| backend.endpoint_entry("SERVING")));
    s.discovery.publish(lines).await;
    let mut config = s.discovery.proxy_config(settings());
    config["ops"] = "127.0.0.1:0".into();
    config["listen"] = s.proxy.addr.to_string().into();
    let (done, addr) = (Arc::new(AtomicBool::new(false)), s.proxy.addr);
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let done = done.clone();
            tokio::spawn(async move {
                let mut calls = 0;
                let mut kept = connect(addr).await;
                let once = || request("once").body(Full::<bytes::Bytes>::default()).expect("well formed");
                while !done.load(SeqCst) {
                    let open = kept.ready().await.is_ok();
                    let answer = if open { kept.send_request(once()).await.ok() } else { None };
                    let answer = match answer {
                        Some(answer) => answer,
                        // A close may cross a request that was not read; it is sent once more.
                        None => {
                            kept = connect(addr).await;
                            within_deadline(kept.send_request(once())).await.expect("an answer")
                        }
                    };
                    assert_eq!(answer.status(), 200);
                    within_deadline(answer.into_body().collect()).await.expect("a whole one");
                    calls += 1;
                }
                calls
            })
        })
        .collect();
    for _ in 0..3 {
        let next = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
        assert_eq!(next.addr, s.proxy.addr);
        assert!(next.ops_call("health").await.starts_with("ACK"));
        let mut old = std::mem::replace(&mut s.proxy, next);
        old.terminate().await;
        assert_eq!(old.wait_for_exit().await.code(), Some(0));
    }
    done.store(true, SeqCst);
    let mut calls = 0;
    for caller in callers {
        calls += caller.await.expect("every call was answered");
    }
    let seen = s.control.requests.borrow();
    assert_eq!(seen.len(), calls, "none ran twice");
}

/// A start that finds discovery silent is bounded, and truthful meanwhile.
#[tokio::test]
async fn a_start_waits_for_the_first_list_but_not_for_ever() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let mute = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut config = discovery.proxy_config(settings());
    config["discovery"] = mute.local_addr().expect("bound").to_string().into();
    config["known"] = json!({"seq": 1, "whole": true, "hosts": [a.endpoint_entry("SERVING")]});
    config["ops"] = "127.0.0.1:0".into();
    let begun = Instant::now();
    let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
    proxy.ops = Some(proxy.wait_for_address("ops on ").await);
    assert_eq!(proxy.ops_call("health").await, "NAK starting\n");
    assert_eq!(proxy.ops_call("quiesce").await, "NAK starting\n");
    proxy.addr = proxy.wait_for_address("listening on ").await;
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
    assert!(proxy.ops_call("health").await.starts_with("ACK"));
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}

/// Two processes find each other by their locks, and a kill leaves none behind.
#[tokio::test]
async fn two_processes_at_one_address_know_of_each_other() {
    let mut s = in_service().await;
    let mut config = s.discovery.proxy_config(settings());
    config["ops"] = "127.0.0.1:0".into();
    config["listen"] = s.proxy.addr.to_string().into();
    let mut first = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    first.wait_for_log("2 processes at this address").await;
    s.proxy.wait_for_log("2 processes at this address").await;
    let mut second = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    second.wait_for_log("3 processes at this address").await;
    first.kill().await;
    second.wait_for_log("2 processes at this address").await;
    s.proxy.terminate().await;
    second.wait_for_log("1 processes at this address").await;
    assert_eq!(second.call("once").await.0, 200);
}
