//! Proxies whose registry is killed, loses its data, has a damaged log or gets invalid requests.

use super::{TTL_MS, call_until_served_by, config, wait_until_ready};
use crate::fault_relay::Relay;
use crate::registry_rig::{Registry, data_dir, host_names};
use crate::rig::{BackendControl, ProxyProcess, TestBackend, within_deadline};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn watches_resume_after_a_registry_is_killed_without_full_lists() {
    let data = data_dir("resume");
    let registry = Registry::start(&data, &[]).await;
    let relay = Relay::start(registry.address).await;
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    registry.put(TTL_MS, vec![a.endpoint_entry("SERVING")]).await;
    let mut proxies = Vec::new();
    for _ in 0..3 {
        let proxy =
            ProxyProcess::start_with_command(&config(&relay.address.to_string()), "exec \"$0\"").await;
        wait_until_ready(&proxy).await;
        call_until_served_by(&proxy, "a").await;
        proxies.push(proxy);
    }
    let full_lists = relay.full_list_calls();
    assert_eq!(full_lists, proxies.len(), "each proxy polled one full list");
    // A burst of writes, interrupted by the kill.
    let answered = Arc::new(AtomicUsize::new(0));
    let writers: Vec<_> = (0..8)
        .map(|writer| {
            let (answered, address) = (answered.clone(), registry.address);
            tokio::spawn(async move {
                let mut last_accepted = (String::new(), 0);
                for number in 0.. {
                    let host = format!("w{writer}-{number}");
                    let entry = crate::rig::endpoint_entry(&host, address, "DRAINING");
                    let body = json!({"ttl_ms": TTL_MS, "hosts": [entry]}).to_string().into_bytes();
                    let answer = crate::registry_rig::call(address, "PUT", "/registry/instances", body).await;
                    let Ok((200, text)) = answer else { break };
                    let answer: Value = serde_json::from_str(&text).expect("the answer is JSON");
                    last_accepted = (host, answer["seq"].as_u64().expect("the answer has a version"));
                    answered.fetch_add(1, SeqCst);
                }
                last_accepted
            })
        })
        .collect();
    within_deadline(async {
        while answered.load(SeqCst) < 200 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    registry.kill().await;
    let mut last_accepted = Vec::new();
    for writer in writers {
        last_accepted.push(within_deadline(writer).await.expect("the writer does not panic"));
    }
    for proxy in &proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()), "served from the held list");
    }

    let registry = Registry::start(&data, &[]).await;
    relay.set_target(registry.address);
    let listed = host_names(&registry.get("").await);
    assert!(last_accepted.iter().all(|(host, _)| listed.contains(host)), "accepted writes are listed");
    let version = registry.put(TTL_MS, vec![a.endpoint_entry("DRAINING"), b.endpoint_entry("SERVING")]).await;
    assert!(last_accepted.iter().all(|(_, accepted)| version > *accepted), "versions continue");
    for proxy in &proxies {
        call_until_served_by(proxy, "b").await;
    }
    assert_eq!(relay.full_list_calls(), full_lists, "every proxy resumed from its version");
}

/// Returns the number of backends that a proxy knows, and the number of those that it excludes.
async fn backend_counts(proxy: &ProxyProcess) -> (u64, u64) {
    let page = proxy.ops_call("counters").await;
    let page = page.lines().next().expect("the answer has a line");
    let page: Value = serde_json::from_str(page).expect("the page is JSON");
    let count = |key: &str| page[key].as_u64().expect("the counter is an unsigned integer");
    (count("backends_known"), count("backends_excluded"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn backends_stay_in_service_for_the_hold_time_after_a_registry_lost_its_data() {
    let registry = Registry::start(&data_dir("before-loss"), &[]).await;
    let relay = Relay::start(registry.address).await;
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    registry.put(TTL_MS, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let config_with_hold = |hold_ms: u64| {
        let mut config = config(&relay.address.to_string());
        config["ops"] = "127.0.0.1:0".into();
        config["list_guard"] = json!({"panic_threshold": 0.1, "hold_ms": hold_ms});
        config
    };
    let mut long_hold = ProxyProcess::start_with_command(&config_with_hold(600_000), "exec \"$0\"").await;
    let mut short_hold = ProxyProcess::start_with_command(&config_with_hold(500), "exec \"$0\"").await;
    wait_until_ready(&long_hold).await;
    wait_until_ready(&short_hold).await;
    registry.kill().await;
    let registry = Registry::start(&data_dir("after-loss"), &[]).await;
    relay.set_target(registry.address);
    for proxy in [&mut long_hold, &mut short_hold] {
        proxy.wait_for_log("2 of 2 backends stay in service though the list lacks them").await;
    }
    // The proxy with the short hold accepts the empty list once its hold is over and a full list has confirmed it.
    short_hold.wait_for_log("the list is believed again, 0 backends").await;
    assert_eq!(short_hold.readiness_status().await, 503);
    for _ in 0..30 {
        assert_eq!(long_hold.call("look").await.0, 200);
    }
    assert_eq!(backend_counts(&long_hold).await, (2, 0), "both backends are still in service");
    assert_eq!(backend_counts(&short_hold).await, (0, 0));
    // Both proxies accept new registrations at once.
    registry.put(TTL_MS, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    long_hold.wait_for_log("the list is believed again, 2 backends").await;
    wait_until_ready(&short_hold).await;
    call_until_served_by(&short_hold, "a").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_damaged_log_and_invalid_requests_at_the_registry_do_not_affect_proxies() {
    let data = data_dir("torn-proxies");
    let flags = ["--header-timeout-ms", "2000"];
    let registry = Registry::start(&data, &flags).await;
    let relay = Relay::start(registry.address).await;
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    registry.put(TTL_MS, vec![a.endpoint_entry("SERVING")]).await;
    let mut proxies = Vec::new();
    for _ in 0..2 {
        let proxy =
            ProxyProcess::start_with_command(&config(&relay.address.to_string()), "exec \"$0\"").await;
        wait_until_ready(&proxy).await;
        proxies.push(proxy);
    }
    let full_lists = relay.full_list_calls();
    registry.kill().await;
    let garbage = [0x40, 0, 0, 0, 1, 2, 3, 4, b'{', b'"'];
    let mut log =
        std::fs::OpenOptions::new().append(true).open(data.join("log")).expect("the log can be opened");
    std::io::Write::write_all(&mut log, &garbage).expect("the log can be written");
    let mut registry = Registry::start(&data, &flags).await;
    let truncation = registry.wait_for_log("torn or spoilt tail cut off the log").await;
    assert_eq!(truncation["bytes"], garbage.len() as u64);
    relay.set_target(registry.address);
    registry.put(TTL_MS, vec![b.endpoint_entry("SERVING"), a.endpoint_entry("DRAINING")]).await;
    for proxy in &proxies {
        call_until_served_by(proxy, "b").await;
    }
    assert_eq!(
        relay.full_list_calls(),
        full_lists,
        "the truncated bytes were no accepted write, so no proxy needs the full list"
    );
    // Clients that send nothing, no HTTP, or an incomplete body; the other clients still get changes to the list.
    let idle_descriptors = registry.descriptors();
    let mut invalid_clients = Vec::new();
    for n in 0..300 {
        let mut client =
            tokio::net::TcpStream::connect(registry.address).await.expect("the registry accepts");
        let request: &[u8] = match n % 3 {
            0 => b"",
            1 => b"\x16\x03\x01 no HTTP at all\r\n\r\n",
            _ => b"PUT /registry/instances HTTP/1.1\r\nhost: r\r\ncontent-length: 9\r\n\r\n{\"ttl_ms\"",
        };
        tokio::io::AsyncWriteExt::write_all(&mut client, request).await.expect("the request is sent");
        invalid_clients.push(client);
    }
    registry.put(TTL_MS, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("DRAINING")]).await;
    for proxy in &proxies {
        call_until_served_by(proxy, "a").await;
    }
    for mut client in invalid_clients {
        let mut answer = Vec::new();
        // The registry closes the connection, with or without an answer.
        let _ = within_deadline(tokio::io::AsyncReadExt::read_to_end(&mut client, &mut answer)).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(answer.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    }
    within_deadline(async {
        while registry.descriptors() > idle_descriptors {
            tokio::task::yield_now().await;
        }
    })
    .await;
}
