//! Responses have room: a request is sent only while a connection is left for it and for its whole response.

mod rig;
mod scripted;
mod waits;

use rig::*;
use rstest::rstest;
use scripted::{ConnectionEnd, Script, ScriptedResponse};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, interval};

/// Length of a response that is passed on before it is complete.
const LONG: usize = 150_000;
/// Names under which the backend is listed, so that the concurrency limit admits more than there is room for.
const NAMES: usize = 40;

/// How a backend ends a response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    UntilClose,
}

/// A proxy, and a backend whose long responses stop half-way until they are released.
struct Fixture {
    script: Arc<Script>,
    proxy: ProxyProcess,
    _discovery: TestDiscovery,
    framing: Framing,
}

impl Fixture {
    async fn start(settings: Value, (memory_mb, sockets): (u64, u64), framing: Framing) -> Self {
        let script = Arc::new(Script::default());
        let address = script.start_backend().await;
        let entries = (0..NAMES).map(|n| endpoint_entry(&format!("b{n}"), address, "SERVING"));
        let discovery = TestDiscovery::start(entries.collect()).await;
        let mut config = discovery.proxy_config(settings);
        config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets});
        config["ops"] = "127.0.0.1:0".into();
        let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
        discovery.wait_until_synced().await;
        Fixture { script, proxy, _discovery: discovery, framing }
    }

    /// Queues a long response, and returns what lets its second half come.
    fn queue_long_response(&self) -> Arc<Notify> {
        let half = "y".repeat(LONG / 2);
        let chunk = format!("{:x}\r\n{half}\r\n", LONG / 2);
        let (head, half, rest) = match self.framing {
            Framing::Length => (format!("Content-Length: {LONG}"), half.clone(), half),
            Framing::UntilClose => ("Connection: close".into(), half.clone(), half),
            Framing::Chunks => ("Transfer-Encoding: chunked".into(), chunk.clone(), chunk + "0\r\n\r\n"),
        };
        let closes = self.framing == Framing::UntilClose;
        let end = if closes { ConnectionEnd::Close } else { ConnectionEnd::KeepOpen };
        let (release, start) = (Arc::new(Notify::new()), format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{half}"));
        self.script.enqueue([ScriptedResponse::raw(&start, end).then_write(&release, &rest)]);
        release
    }

    /// Sends a request on a connection of its own.
    async fn send(&self, class: &str) -> TcpStream {
        let stream = TcpStream::connect(self.proxy.addr);
        let mut stream = within_deadline(stream).await.expect("proxy accepts connections");
        let method = if class == "look" { "GET" } else { "POST" };
        let head = format!(
            "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
             Connection: close\r\n\r\n",
            request_id()
        );
        stream.write_all(head.as_bytes()).await.expect("connection is open");
        stream
    }

    async fn counters(&self) -> Value {
        let page = self.proxy.ops_call("counters").await;
        serde_json::from_str(page.trim_end().trim_end_matches("--")).expect("a JSON object")
    }

    /// Waits until so many requests have no whole response yet.
    async fn wait_for_in_flight(&self, requests: usize) {
        within_deadline(async {
            while self.counters().await["in_flight"] != requests {
                yield_now().await;
            }
        })
        .await;
    }

    /// Takes all room with long responses, each of which has begun to reach its client.
    async fn fill(&self, room: usize) -> Vec<(TcpStream, Arc<Notify>)> {
        let mut flowing = Vec::new();
        for _ in 0..room {
            let release = self.queue_long_response();
            let mut client = self.send("look").await;
            assert_eq!(status(&mut client).await, "200");
            flowing.push((client, release));
        }
        flowing
    }
}

async fn status(client: &mut TcpStream) -> String {
    let mut start = [0; 12];
    within_deadline(client.read_exact(&mut start)).await.expect("a response");
    String::from_utf8_lossy(&start[9..]).to_string()
}

/// Beyond a number of long responses, each further one was dropped in the middle and answered 502, though its request
/// had run.
#[rstest]
#[case::descriptors((192, 82), 8, "refused_no_descriptor")]
#[case::memory((32, 1024), 40, "refused_no_memory")]
#[tokio::test]
async fn a_request_without_room_for_its_response_waits_or_is_refused_and_is_not_sent(
    #[case] limits: (u64, u64),
    #[case] room: usize,
    #[case] counter: &str,
    #[values(Framing::Length, Framing::Chunks, Framing::UntilClose)] framing: Framing,
) {
    let s = Fixture::start(settings(), limits, framing).await;
    let mut flowing = s.fill(room).await;
    assert_eq!(s.counters().await[counter], 0);
    assert_eq!(status(&mut s.send("look").await).await, "503");
    assert_eq!((s.counters().await[counter].clone(), s.script.requests.borrow().len()), (1.into(), room));
    let mut waiting = s.send("look").await;
    s.wait_for_in_flight(room + 1).await;
    let (mut first, release) = flowing.swap_remove(0);
    release.notify_one();
    assert_eq!(status(&mut waiting).await, "200", "the room of a complete response is taken");
    let mut whole = Vec::new();
    within_deadline(first.read_to_end(&mut whole)).await.expect("the connection was not reset");
    assert!(whole.len() > LONG, "cut off after {} bytes", whole.len());
    for (mut client, release) in flowing {
        release.notify_one();
        let mut rest = Vec::new();
        within_deadline(client.read_to_end(&mut rest)).await.expect("the connection was not reset");
        assert!(rest.len() > LONG, "cut off after {} bytes", rest.len());
    }
    assert_eq!(s.script.requests.borrow().len(), room + 1);
}

/// Room that becomes free goes to the class that is worth most, whoever came first.
#[tokio::test]
async fn room_goes_to_the_highest_class_that_waits() {
    let mut settings = settings();
    settings["classes"][0]["points"] = 10.0.into();
    let s = Fixture::start(settings, (192, 82), Framing::Length).await;
    let flowing = s.fill(8).await;
    let mut low = s.send("once").await;
    s.wait_for_in_flight(9).await;
    let mut high = s.send("look").await;
    s.wait_for_in_flight(10).await;
    let _held = s.queue_long_response();
    flowing[0].1.notify_one();
    assert_eq!(status(&mut high).await, "200");
    assert_eq!(status(&mut low).await, "503", "one place was free");
    assert_eq!(s.script.requests.borrow().len(), 9);
}

/// A client that read at 64 kB a second was cut off 10 s after the systems' buffers had filled: they tell of room only once
/// much of it is free.
#[tokio::test]
async fn a_client_that_reads_slowly_has_its_whole_response() {
    const LENGTH: usize = 16 << 20;
    let s = Fixture::start(settings(), (192, 82), Framing::Length).await;
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n{}", "y".repeat(LENGTH));
    s.script.enqueue([ScriptedResponse::raw(&text, ConnectionEnd::KeepOpen)]);
    let mut client = s.send("look").await;
    let (mut response, mut part) = (Vec::new(), vec![0; 8_000]);
    let (mut pace, began) = (interval(Duration::from_millis(125)), Instant::now());
    while began.elapsed() < Duration::from_secs(14) {
        pace.tick().await;
        let read = within_deadline(client.read(&mut part)).await.expect("the connection was not reset");
        response.extend_from_slice(&part[..read]);
    }
    within_deadline(client.read_to_end(&mut response)).await.expect("the connection was not reset");
    assert!(response.len() > LENGTH, "cut off after {} bytes", response.len());
}
