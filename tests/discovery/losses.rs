//! Registries that are killed, lose their data or are called badly.

use super::{TTL, config, until_ready, until_served_by};
use crate::fault_relay::Relay;
use crate::registry_rig::{Registry, data_dir, host_names};
use crate::rig::{BackendControl, ProxyProcess, TestBackend, within_deadline};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn watches_resume_after_a_kill_without_fetching_the_whole_list_again() {
    let data = data_dir("resume");
    let registry = Registry::start(&data, &[]).await;
    let relay = Relay::start(registry.address).await;
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING")]).await;
    let mut proxies = Vec::new();
    for _ in 0..3 {
        let proxy =
            ProxyProcess::start_with_command(&config(&relay.address.to_string()), "exec \"$0\"").await;
        until_ready(&proxy).await;
        until_served_by(&proxy, "a").await;
        proxies.push(proxy);
    }
    let whole = relay.calls().0;
    assert_eq!(whole, proxies.len(), "one whole list each");
    // A burst of writes, cut by the kill.
    let answered = Arc::new(AtomicUsize::new(0));
    let writers: Vec<_> = (0..8)
        .map(|writer| {
            let (answered, address) = (answered.clone(), registry.address);
            tokio::spawn(async move {
                let mut last = (String::new(), 0);
                for k in 0.. {
                    let host = format!("w{writer}-{k}");
                    let entry = crate::rig::endpoint_entry(&host, address, "DRAINING");
                    let body = json!({"ttl_ms": TTL, "hosts": [entry]}).to_string().into_bytes();
                    let answer = crate::registry_rig::call(address, "PUT", "/registry/instances", body).await;
                    let Ok((200, text)) = answer else { break };
                    let answer: Value = serde_json::from_str(&text).expect("JSON");
                    last = (host, answer["seq"].as_u64().expect("seq"));
                    answered.fetch_add(1, SeqCst);
                }
                last
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
    let mut last = Vec::new();
    for writer in writers {
        last.push(within_deadline(writer).await.expect("no panic"));
    }
    for proxy in &proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()), "served from the list that is held");
    }

    let registry = Registry::start(&data, &[]).await;
    relay.lead_to(registry.address);
    let listed = host_names(&registry.get("").await);
    assert!(last.iter().all(|(host, _)| listed.contains(host)), "answered writes are there");
    let seq = registry.put(TTL, vec![a.endpoint_entry("DRAINING"), b.endpoint_entry("SERVING")]).await;
    assert!(last.iter().all(|(_, answered)| seq > *answered), "versions go on");
    for proxy in &proxies {
        until_served_by(proxy, "b").await;
    }
    assert_eq!(relay.calls().0, whole, "every proxy went on from its version");
}

/// How many backends a proxy knows, and how many of them it avoids.
async fn known(proxy: &ProxyProcess) -> (u64, u64) {
    let page = proxy.ops_call("counters").await;
    let page: Value = serde_json::from_str(page.lines().next().expect("a page")).expect("JSON");
    let of = |key: &str| page[key].as_u64().expect("a number");
    (of("backends_known"), of("backends_excluded"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registry_that_comes_back_empty_takes_no_backend_away_at_once() {
    let registry = Registry::start(&data_dir("before-loss"), &[]).await;
    let relay = Relay::start(registry.address).await;
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let guarded = |hold_ms: u64| {
        let mut config = config(&relay.address.to_string());
        config["ops"] = "127.0.0.1:0".into();
        config["list_guard"] = json!({"panic_threshold": 0.1, "hold_ms": hold_ms});
        config
    };
    let mut patient = ProxyProcess::start_with_command(&guarded(600_000), "exec \"$0\"").await;
    let mut hasty = ProxyProcess::start_with_command(&guarded(500), "exec \"$0\"").await;
    until_ready(&patient).await;
    until_ready(&hasty).await;
    registry.kill().await;
    let registry = Registry::start(&data_dir("after-loss"), &[]).await;
    relay.lead_to(registry.address);
    for proxy in [&mut patient, &mut hasty] {
        proxy.wait_for_log("2 of 2 backends stay in service though the list lacks them").await;
    }
    // The hasty one believes the list once it has stood for its hold, as the whole list that it asks for says.
    hasty.wait_for_log("the list is believed again, 0 backends").await;
    assert_eq!(hasty.readiness_status().await, 503);
    for _ in 0..30 {
        assert_eq!(patient.call("look").await.0, 200);
    }
    assert_eq!(known(&patient).await, (2, 0), "both are in service still");
    assert_eq!(known(&hasty).await, (0, 0));
    // What registers anew is taken at once, by either.
    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    patient.wait_for_log("the list is believed again, 2 backends").await;
    until_ready(&hasty).await;
    until_served_by(&hasty, "a").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_torn_log_and_bad_callers_do_not_reach_the_proxies() {
    let data = data_dir("torn-proxies");
    let flags = ["--header-timeout-ms", "2000"];
    let registry = Registry::start(&data, &flags).await;
    let relay = Relay::start(registry.address).await;
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING")]).await;
    let mut proxies = Vec::new();
    for _ in 0..2 {
        let proxy =
            ProxyProcess::start_with_command(&config(&relay.address.to_string()), "exec \"$0\"").await;
        until_ready(&proxy).await;
        proxies.push(proxy);
    }
    let whole = relay.calls().0;
    registry.kill().await;
    let garbage = [0x40, 0, 0, 0, 1, 2, 3, 4, b'{', b'"'];
    let mut log = std::fs::OpenOptions::new().append(true).open(data.join("log")).expect("log");
    std::io::Write::write_all(&mut log, &garbage).expect("written");
    let mut registry = Registry::start(&data, &flags).await;
    let cut = registry.wait_for_log("torn or spoilt tail cut off the log").await;
    assert_eq!(cut["bytes"], garbage.len() as u64);
    relay.lead_to(registry.address);
    registry.put(TTL, vec![b.endpoint_entry("SERVING"), a.endpoint_entry("DRAINING")]).await;
    for proxy in &proxies {
        until_served_by(proxy, "b").await;
    }
    assert_eq!(relay.calls().0, whole, "what was cut had not been answered: nobody needs the whole list");
    // Callers that send nothing, nonsense, or what cannot be stored; the list goes on changing for the others.
    let idle = registry.descriptors();
    let mut bad = Vec::new();
    for n in 0..300 {
        let mut caller = tokio::net::TcpStream::connect(registry.address).await.expect("connects");
        let says: &[u8] = match n % 3 {
            0 => b"",
            1 => b"\x16\x03\x01 no HTTP at all\r\n\r\n",
            _ => b"PUT /registry/instances HTTP/1.1\r\nhost: r\r\ncontent-length: 9\r\n\r\n{\"ttl_ms\"",
        };
        tokio::io::AsyncWriteExt::write_all(&mut caller, says).await.expect("written");
        bad.push(caller);
    }
    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("DRAINING")]).await;
    for proxy in &proxies {
        until_served_by(proxy, "a").await;
    }
    for mut caller in bad {
        let mut answer = Vec::new();
        // It ends: with an answer, or without one.
        let _ = within_deadline(tokio::io::AsyncReadExt::read_to_end(&mut caller, &mut answer)).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(answer.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    }
    within_deadline(async {
        while registry.descriptors() > idle {
            tokio::task::yield_now().await;
        }
    })
    .await;
}
