//! Contracts that look like names of the program and are none: lock files, the `Host` of a request without one, the
//! platform's variables, and the headers to backends and clients, as bytes on the socket.
//!
//! During a roll-out old and new processes count each other by the lock files; backends and the platform read the
//! headers and set the variables.

use crate::proxy_golden::same;
use crate::proxy_program::{Running, exchange, file, masked_head, operate, proxy, refusal};
use crate::rig::{ProxyProcess, TestDiscovery, endpoint_entry, settings};
use crate::scripted::{ConnectionEnd, Script, ScriptedResponse};
use crate::waits::within_deadline;
use serde_json::{Value, json};
use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpStream;

async fn scene(script: &Arc<Script>, ops: bool) -> (ProxyProcess, TestDiscovery) {
    let backend = script.start_backend().await;
    let discovery = TestDiscovery::start(vec![endpoint_entry("a", backend, "SERVING")]).await;
    let mut config = discovery.proxy_config(settings());
    if ops {
        config["ops"] = "127.0.0.1:0".into();
    }
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    (proxy, discovery)
}

fn request(method: &str, path: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\n{headers}\r\n")
}

const WHO: &str = "Req-Id: 00a1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 20000\r\n";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_gets_these_bytes() {
    let script = Arc::new(Script::default());
    let (proxy, _discovery) = scene(&script, false).await;
    let mut stream = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    let hosted = format!("Host: origin.svc\r\nUser-Agent: x\r\n{WHO}");
    let keyed = format!("{hosted}Idempotency-Key: 5c0f\r\nContent-Length: 4\r\n");
    for request in [
        request("GET", "/look/a?k=7f3a&b=%20", WHO),
        request("GET", "/look", &hosted),
        request("POST", "/keep?k=1", &keyed) + "body",
        request("POST", "/once", &hosted),
    ] {
        assert!(exchange(&mut stream, &request).await.0.starts_with("HTTP/1.1 200 OK\r\n"));
    }
    let heard = script.requests.borrow().clone();
    let told = heard.iter().map(|(_, bytes)| {
        let text = String::from_utf8(bytes.clone()).expect("text");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        let left = head.lines().find_map(|line| line.strip_prefix("req-deadline-ms: ")?.parse::<u64>().ok());
        assert!(left.is_some_and(|left| (10_000..20_000).contains(&left)), "the time left: {head}");
        format!("{}{body}\n\n", masked_head(head, &["req-deadline-ms"]))
    });
    same("backend_requests.txt", &told.collect::<String>());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_gets_these_bytes() {
    let script = Arc::new(Script::default());
    let (proxy, discovery) = scene(&script, true).await;
    let mut all = String::new();
    let hosted = format!("Host: s\r\n{WHO}");
    let ask = async |what: &str, request: String| {
        let mut stream = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
        let (head, body) = exchange(&mut stream, &request).await;
        let body = String::from_utf8(body).expect("text");
        format!("# {what}\n{}{body}\n\n", masked_head(&head, &["date", "retry-after"]))
    };
    all += &ask("ready", request("GET", "/health/ready", "Host: s\r\n")).await;
    all += &ask("served", request("GET", "/look", &hosted)).await;
    all += &ask("no class", request("GET", "/nothing", &hosted)).await;
    all += &ask("no id", request("GET", "/look", "Host: s\r\n")).await;
    all += &ask("wrong method", request("POST", "/look", &hosted)).await;
    all += &ask("wrong method of a keyed class", request("GET", "/keep", &hosted)).await;
    script.enqueue([ScriptedResponse::raw(
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        ConnectionEnd::KeepOpen,
    )]);
    all += &ask("failed", request("POST", "/once", &hosted)).await;
    let declined = "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    script.enqueue((0..20).map(|_| ScriptedResponse::raw(declined, ConnectionEnd::KeepOpen)));
    // Each request has an id of its own: one that may have run is not run again.
    let short = |id: &str| hosted.replace("20000", "400").replace("00a1", id);
    all += &ask("declined by the backend", request("POST", "/once", &short("00a2"))).await;
    script.clear();
    script.enqueue([ScriptedResponse {
        read_len: None,
        writes: Vec::new(),
        repeat: None,
        end: ConnectionEnd::KeepOpen,
    }]);
    all += &ask("timed out", request("POST", "/once", &short("00a3"))).await;
    script.clear();
    proxy.ops_call("quiesce").await;
    all += &ask("served while it drains", request("GET", "/look", &hosted)).await;
    all += &ask("ready while it drains", request("GET", "/health/ready", "Host: s\r\n")).await;
    proxy.ops_call("resume").await;
    discovery.publish(Vec::new()).await;
    all += &ask("refused without a backend", request("GET", "/look", &short("00a4"))).await;
    same("client_answers.txt", &all);
}

/// A folder of a test's own.
fn folder(name: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("made");
    path
}

fn config(listen: &str, more: Value) -> String {
    let mut config = json!({
        "name": "n0", "listen": listen, "discovery": "127.0.0.1:9", "seed": "1", "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "ops": "127.0.0.1:0",
    });
    config.as_object_mut().expect("an object").extend(more.as_object().expect("an object").clone());
    config.to_string()
}

/// Two processes of the program, and the test in the place of a third one of the recorded build.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_at_one_address_count_each_other_by_these_lock_files() {
    let (temp, mut running) = (folder("locks"), Vec::new());
    let mut at = "127.0.0.1:0".to_string();
    for n in 0..2 {
        let path = file(&format!("locks-{n}.json"), &config(&at, json!({}))).display().to_string();
        let variables = [("RELAY_CONFIG", path.as_str()), ("TMPDIR", temp.to_str().expect("text"))];
        let mut one = Running::start(proxy(&[], &variables));
        at = one.says("listening on ").await;
        running.push(one);
    }
    for one in &mut running {
        one.says("2 processes at this address").await;
    }
    let name = |n: usize| format!("heathroad-{}.{n}.lock", at.replace(':', "-"));
    let mut there: Vec<String> = std::fs::read_dir(&temp)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").file_name().into_string().expect("text"))
        .collect();
    there.sort();
    assert_eq!(there, [name(0), name(1)]);
    for n in 0..2 {
        assert!(
            File::open(temp.join(name(n))).expect("it is there").try_lock_shared().is_err(),
            "lock {n} is held"
        );
    }
    let old = File::create(temp.join(name(2))).expect("made");
    old.try_lock().expect("free");
    for one in &mut running {
        one.says("3 processes at this address").await;
    }
    drop(old);
    running[0].says("2 processes at this address").await;
}

/// What a variable says goes before the file.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_platforms_variables_have_these_names() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let at = discovery.proxy_config(json!({}))["discovery"].as_str().expect("text").to_string();
    let path =
        file("variables.json", &config("127.0.0.1:1", json!({"ops": "127.0.0.1:1"}))).display().to_string();
    let variables = [
        ("RELAY_CONFIG", path.as_str()),
        ("RELAY_LISTEN", "127.0.0.1:0"),
        ("RELAY_OPS", "127.0.0.1:0"),
        ("RELAY_DISCOVERY", at.as_str()),
        ("RELAY_NAME", "other"),
    ];
    let mut running = Running::start(proxy(&[], &variables));
    let ops = running.says_address("ops on ").await;
    let listens = running.says_address("listening on ").await;
    assert!(ops.port() > 1 && listens.port() > 1);
    discovery.wait_until_synced().await;
    assert_eq!(operate(ops, b"health\n").await, "NAK no backend\n");
    let mut all = refusal(proxy(&[], &[]), "none").await + "\n";
    for key in ["listen", "discovery"] {
        let mut config: Value = serde_json::from_str(&config("127.0.0.1:0", json!({}))).expect("JSON");
        config.as_object_mut().expect("an object").remove(key);
        let path = file(&format!("no-{key}.json"), &config.to_string()).display().to_string();
        all += &(refusal(proxy(&[], &[("RELAY_CONFIG", &path)]), &path).await + "\n");
    }
    for (name, value) in [("RELAY_LISTEN", "odd"), ("RELAY_DISCOVERY", "odd"), ("RELAY_OPS", "odd")] {
        let variables = [("RELAY_CONFIG", path.as_str()), (name, value)];
        all += &(refusal(proxy(&[], &variables), &path).await + "\n");
    }
    all += &(refusal(proxy(&[], &[("RELAY_CONFIG", "/nowhere")]), "/nowhere").await + "\n");
    same("variables.txt", &all);
}
