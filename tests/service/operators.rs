//! The ops address: its clients and the counters page.

use super::start_with_ops;
use crate::rig::*;
use http_body_util::Full;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Clients that send nothing, half a command or too much delay no other client and are disconnected.
#[tokio::test]
async fn misbehaving_ops_clients_delay_no_response_and_are_disconnected() {
    let s = start_with_ops().await;
    let mut silent = Vec::new();
    for n in 0..100 {
        let mut stream = s.proxy.connect_ops().await;
        if n % 2 == 0 {
            stream.write_all(b"coun").await.expect("connection is open");
        }
        silent.push(stream);
        if n % 20 == 0 {
            assert!(s.proxy.ops_call("health").await.starts_with("ACK"));
        }
    }
    assert!(s.proxy.ops_call("health").await.starts_with("ACK"));
    assert_eq!(s.proxy.call("look").await.0, 200);
    assert!(s.proxy.ops_call("").await.starts_with("NAK"));
    assert!(s.proxy.ops_call("dance").await.starts_with("NAK"));
    let mut twice = s.proxy.connect_ops().await;
    twice.write_all(b"health\nquiesce\n").await.expect("connection is open");
    let mut response = String::new();
    within_deadline(twice.read_to_string(&mut response)).await.expect("connection closed without a reset");
    assert_eq!(
        (response.lines().count(), s.proxy.readiness_status().await),
        (1, 200),
        "more than one command was run on a connection"
    );
    let mut long = s.proxy.connect_ops().await;
    long.write_all(&[b'x'; 300]).await.expect("connection is open");
    let mut start = [0; 3];
    within_deadline(long.read_exact(&mut start)).await.expect("a response");
    assert_eq!(&start, b"NAK");
    for mut stream in silent {
        let mut response = String::new();
        within_deadline(stream.read_to_string(&mut response))
            .await
            .expect("connection closed without a reset");
        assert!(response.starts_with("NAK"), "{response}");
    }
}

#[tokio::test]
async fn an_invalid_or_occupied_ops_address_fails_startup_with_one_log_line() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let discovery = TestDiscovery::start(Vec::new()).await;
    for (ops, message) in [
        ("here".to_string(), "config: ops: here"),
        (occupied.local_addr().expect("listener is bound").to_string(), "ops: 127.0.0.1"),
    ] {
        let mut config = discovery.proxy_config(settings());
        config["ops"] = ops.into();
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_proxy"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env("RELAY_CONFIG", write_config(&config.to_string()))
            .output()
            .expect("program starts");
        let log = String::from_utf8(program.stderr).expect("UTF-8 text");
        assert!(!program.status.success() && log.lines().count() == 1, "{log}");
        assert!(log.contains(message), "{log}");
    }
}

/// Polls the counters page until `settled` accepts it.
async fn counters(s: &ProxyFixture, settled: impl Fn(&Value) -> bool) -> Value {
    let read = async {
        loop {
            let response = s.proxy.ops_call("counters").await;
            let [page, "--"] = response.lines().collect::<Vec<_>>()[..] else { panic!("{response}") };
            let page: Value = serde_json::from_str(page).expect("valid JSON");
            if settled(&page) {
                return page;
            }
        }
    };
    within_deadline(read).await
}

/// Requests are served, retried, failed, rejected, abandoned and malformed; each is counted once.
#[tokio::test]
async fn the_counters_match_what_clients_and_backends_saw() {
    let s = start_with_ops().await;
    for class in ["look", "look", "keep", "once"] {
        assert_eq!(s.proxy.call(class).await.0, 200);
    }
    s.control.enqueue([
        BackendAction::CloseConnection,
        BackendAction::Serve,
        BackendAction::Status(500),
        BackendAction::Decline(503),
        BackendAction::Serve,
    ]);
    assert_eq!(s.proxy.call("look").await.0, 200, "served in two attempts");
    assert_eq!(s.proxy.call("once").await.0, 502, "failed in one attempt");
    assert_eq!(s.proxy.call("once").await.0, 200, "served in two attempts");
    assert_eq!(
        s.proxy
            .connect_client()
            .await
            .send(request("look").uri("/other").body(Full::default()).unwrap())
            .await
            .0,
        404
    );
    let release = Arc::new(Notify::new());
    s.control
        .enqueue([BackendAction::ServeAfter(release.clone()), BackendAction::ServeAfter(release.clone())]);
    let (mut stays, mut leaves) = (s.proxy.connect_client().await, s.proxy.connect_client().await);
    let stays = tokio::spawn(async move { stays.call("keep").await });
    let leaves = tokio::spawn(async move { leaves.call("keep").await });
    s.control.wait_for_requests(11).await;
    let page = counters(&s, |_| true).await;
    assert_eq!((&page["in_flight"], &page["attempts"]), (&2.into(), &11.into()));
    assert_eq!((&page["backends_known"], &page["backends_excluded"]), (&2.into(), &0.into()));
    assert_eq!(page["served"], json!({"look": 3, "keep": 1, "once": 2}));
    assert_eq!(page["failed"], json!({"look": 0, "keep": 0, "once": 1}));
    assert_eq!(page["refused"], json!({"look": 0, "keep": 0, "once": 0}));
    leaves.abort();
    let page = counters(&s, |page| page["in_flight"] == 1).await;
    let of_keep = |page: &Value| ["served", "refused", "failed"].map(|e| page[e]["keep"].as_u64().unwrap());
    assert_eq!(of_keep(&page).iter().sum::<u64>(), 2, "an abandoned request is counted once");
    release.notify_one();
    release.notify_one();
    assert_eq!(stays.await.expect("task completed").0, 200);
    let page = counters(&s, |page| page["in_flight"] == 0).await;
    assert_eq!(of_keep(&page).iter().sum::<u64>(), 3);
    assert_eq!(page["attempts"].as_u64(), Some(s.control.requests.borrow().len() as u64));
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    let page = counters(&s, |_| true).await;
    assert_eq!((&page["backends_known"], &page["backends_excluded"]), (&2.into(), &1.into()));
    s.discovery.publish(vec![s.b.endpoint_entry("SERVING")]).await;
    let page = counters(&s, |_| true).await;
    assert_eq!((&page["backends_known"], &page["backends_excluded"]), (&1.into(), &0.into()));
}
