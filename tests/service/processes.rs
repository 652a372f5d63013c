//! Startup, replacement of a process, and several processes at one address.

use super::start_with_ops;
use crate::rig::*;
use http_body_util::{BodyExt, Full};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Processes are replaced in quick succession under load: each new one takes over while the old one still serves.
#[tokio::test]
async fn replacing_a_process_under_load_loses_no_request() {
    let mut s = start_with_ops().await;
    // A new process admits twice as many requests as it has backends: more than the clients send.
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
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let done = done.clone();
            tokio::spawn(async move {
                let mut calls = 0;
                let mut connection = connect(addr).await;
                let once = || request("once").body(Full::<bytes::Bytes>::default()).expect("valid request");
                while !done.load(SeqCst) {
                    let open = connection.ready().await.is_ok();
                    let response = if open { connection.send_request(once()).await.ok() } else { None };
                    let response = match response {
                        Some(response) => response,
                        // A close may race with a request that was not read; it is sent once more.
                        None => {
                            connection = connect(addr).await;
                            within_deadline(connection.send_request(once())).await.expect("a response")
                        }
                    };
                    assert_eq!(response.status(), 200);
                    within_deadline(response.into_body().collect()).await.expect("a complete body");
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
    for client in clients {
        calls += client.await.expect("every request was answered");
    }
    let seen = s.control.requests.borrow();
    assert_eq!(seen.len(), calls, "a request ran twice");
}

/// With a discovery that never answers, startup is bounded, and the health command reports it meanwhile.
#[tokio::test]
async fn startup_waits_a_bounded_time_for_the_first_endpoint_list() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut config = discovery.proxy_config(settings());
    config["discovery"] = silent.local_addr().expect("listener is bound").to_string().into();
    config["known"] = json!({"seq": 1, "whole": true, "hosts": [a.endpoint_entry("SERVING")]});
    config["ops"] = "127.0.0.1:0".into();
    let started = Instant::now();
    let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
    proxy.ops = Some(proxy.wait_for_address("ops on ").await);
    assert_eq!(proxy.ops_call("health").await, "NAK starting\n");
    assert_eq!(proxy.ops_call("quiesce").await, "NAK starting\n");
    proxy.addr = proxy.wait_for_address("listening on ").await;
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    assert!(proxy.ops_call("health").await.starts_with("ACK"));
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}

/// Processes count each other by file locks, and a killed process leaves no lock behind.
#[tokio::test]
async fn processes_at_one_address_count_each_other() {
    let mut s = start_with_ops().await;
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
