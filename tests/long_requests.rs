//! Long requests that wait because connects to backends come up late or never. The client's time runs from the arrival
//! of the last byte, although no attempt reads the body (`review/3`, `docs/incidents/long-requests.md`).

mod rig;
mod waits;

use rig::*;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which the clients wait.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the client's timeout within which it must have its answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// The lines that a client receives.
type Answers = Lines<BufReader<TcpStream>>;

/// How a client sends a body.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    /// In chunks of so many bytes.
    Chunks(usize),
}
use Framing::{Chunks, Length};

/// The backend of a proxy, which takes no connections.
struct WaitingBackend {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    _discovery: TestDiscovery,
}

impl WaitingBackend {
    /// Lets the connects come up, which happens when the system repeats them, a second after their start or later.
    async fn take_connections(self) -> (Arc<BackendControl>, TestBackend) {
        self.wait_for_connect().await;
        self.start().await
    }

    async fn wait_for_connect(&self) {
        let addr = self.listener.local_addr().expect("listener is bound");
        within_deadline(wait_for_connecting(addr)).await;
    }

    /// Takes the connections that filled the queue, and all later ones.
    async fn start(self) -> (Arc<BackendControl>, TestBackend) {
        for _ in &self.queued {
            within_deadline(self.listener.accept()).await.expect("a queued connection");
        }
        let control = Arc::new(BackendControl::default());
        let backend = TestBackend::with_listener("c", self.listener, &control);
        (control, backend)
    }
}

/// Starts a proxy whose only backend takes no connections.
async fn start_waiting(memory_mb: u64) -> (ProxyProcess, WaitingBackend) {
    let (listener, queued) = unresponsive_listener().await;
    let addr = listener.local_addr().expect("listener is bound");
    let discovery = TestDiscovery::start(vec![endpoint_entry("c", addr, "SERVING")]).await;
    let mut config = discovery.proxy_config(with_cap("connectTimeout", 30_000.into()));
    config["limits"]["memory_mb"] = memory_mb.into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    (proxy, WaitingBackend { listener, queued, _discovery: discovery })
}

/// Returns the pieces in which a request is written: its head, and then its body.
fn request_pieces(framing: Framing, length: usize, timeout: Duration, header: &str) -> Vec<Vec<u8>> {
    let body = vec![b'x'; length];
    let mut pieces = match framing {
        Length => body.chunks(length / 10 + 1).map(<[u8]>::to_vec).collect::<Vec<_>>(),
        Chunks(size) => {
            let chunk = |c: &[u8]| [format!("{:x}\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
            body.chunks(size).map(chunk).chain([b"0\r\n\r\n".to_vec()]).collect()
        }
    };
    let framing = match framing {
        Length => format!("Content-Length: {length}"),
        Chunks(_) => "Transfer-Encoding: chunked".to_string(),
    };
    let timeout_ms = timeout.as_millis();
    let head = format!(
        "POST /once HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {timeout_ms}\r\n{header}{framing}\r\n\r\n",
        request_id()
    );
    pieces.insert(0, head.into());
    pieces
}

/// Sends a request, with a pause before each piece, and waits until it has arrived. Returns the connection, and when the
/// last piece was about to be written.
async fn send(proxy: &ProxyProcess, pieces: &[Vec<u8>], pause: Duration) -> (Answers, Instant) {
    let mut client =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts connections");
    let mut written = Instant::now();
    for piece in pieces {
        sleep(pause).await;
        written = Instant::now();
        within_deadline(client.write_all(piece)).await.expect("connection is open");
    }
    wait_until_arrived(client.local_addr().expect("connection is open")).await;
    (BufReader::new(client).lines(), written)
}

/// Returns the status of the next answer that is not an interim one.
async fn next_status(answers: &mut Answers) -> String {
    loop {
        let line =
            within_deadline(answers.next_line()).await.expect("connection is open").expect("an answer");
        if let Some(status) = line.strip_prefix("HTTP/1.1 ").filter(|status| !status.starts_with("100")) {
            return status[..3].to_string();
        }
    }
}

/// The time of a long request began when an attempt read its last byte, so that it was answered late or never.
#[rstest]
#[case::just_long(192, Length, 65_537, "", 0)]
#[case::with_length(192, Length, 90_000, "", 0)]
#[case::beyond_the_read_ahead(192, Length, 560_000, "", 0)]
#[case::one_chunk_too_long(192, Chunks(65_537), 65_537, "", 0)]
#[case::small_chunks(192, Chunks(100), 90_000, "", 0)]
#[case::many_chunks(192, Chunks(10_000), 400_000, "", 0)]
#[case::without_memory(0, Length, 60_000, "", 0)]
#[case::sent_uninvited(192, Length, 90_000, "Expect: 100-continue\r\n", 0)]
#[case::uninvited_chunks(192, Chunks(10_000), 90_000, "Expect: 100-continue\r\n", 0)]
#[case::slow_pieces(192, Length, 90_000, "", 80)]
#[case::slow_chunks(192, Chunks(10_000), 90_000, "", 80)]
#[case::slow_pieces_without_memory(0, Length, 60_000, "", 80)]
#[tokio::test]
async fn the_time_of_a_long_request_runs_from_the_arrival_of_its_last_byte(
    #[case] memory_mb: u64,
    #[case] framing: Framing,
    #[case] length: usize,
    #[case] header: &str,
    #[case] pause_ms: u64,
) {
    let (proxy, _backend) = start_waiting(memory_mb).await;
    let pieces = request_pieces(framing, length, CLIENT_TIMEOUT, header);
    let (mut client, written) = send(&proxy, &pieces, Duration::from_millis(pause_ms)).await;
    let arrived = Instant::now();
    let status = next_status(&mut client).await;
    let (took, took_from_write) = (arrived.elapsed(), written.elapsed());
    assert!(["502", "503"].contains(&status.as_str()), "{status}");
    assert!(took_from_write >= CLIENT_TIMEOUT / 2, "cut {took_from_write:?} after the last byte was written");
    assert!(took < CLIENT_TIMEOUT + ANSWER_GRACE, "answered {took:?} after the last byte");
}

/// The backend of a late connect was told the client's whole time, and not what was left of it.
#[rstest]
#[case::with_length(192, Length, 90_000)]
#[case::in_chunks(192, Chunks(10_000), 90_000)]
#[case::without_memory(0, Length, 60_000)]
#[tokio::test]
async fn a_late_backend_is_told_the_time_that_is_left(
    #[case] memory_mb: u64,
    #[case] framing: Framing,
    #[case] length: usize,
) {
    let (proxy, backend) = start_waiting(memory_mb).await;
    let timeout = Duration::from_secs(20);
    let pieces = request_pieces(framing, length, timeout, "");
    let (mut client, _) = send(&proxy, &pieces, Duration::ZERO).await;
    let arrived = Instant::now();
    // A connect is tried again a second after its begin; on a busy machine the request may take most of that to arrive.
    sleep_until(arrived + Duration::from_millis(500)).await;
    let (control, _backend) = backend.take_connections().await;
    control.wait_for_requests(1).await;
    let left = timeout.saturating_sub(arrived.elapsed());
    let (_, head, body) = control.requests.borrow()[0].clone();
    let told = head.headers["req-deadline-ms"].to_str().expect("UTF-8 text").parse().expect("a number");
    assert!(Duration::from_millis(told) < left + Duration::from_millis(150), "{told} ms, left were {left:?}");
    assert!(arrived.elapsed() > Duration::from_millis(500), "the connect was not late");
    assert_eq!((body.len(), next_status(&mut client).await.as_str()), (length, "200"));
}

/// Long bodies that wait at once stay within their budget, and those of the largest size are passed on whole.
#[rstest]
#[tokio::test]
async fn memory_is_bounded_while_many_long_bodies_wait(#[values(Length, Chunks(10_000))] framing: Framing) {
    const CLIENTS: usize = 48;
    const LENGTH: usize = 4 << 20;
    let (proxy, backend) = start_waiting(32).await;
    let before = proxy.peak_memory_mb();
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let pieces = request_pieces(framing, LENGTH, Duration::from_secs(60), "");
        let mut client = TcpStream::connect(proxy.addr).await.expect("a connection");
        clients.push(tokio::spawn(async move {
            for piece in &pieces {
                client.write_all(piece).await.expect("connection is open");
            }
            next_status(&mut BufReader::new(client).lines()).await
        }));
    }
    // Until the bodies are stuck.
    let mut memory = 0;
    within_deadline(async {
        while proxy.current_memory_mb() > std::mem::replace(&mut memory, proxy.current_memory_mb()) {
            sleep(Duration::from_millis(300)).await;
        }
    })
    .await;
    // The budget is a fourth of the memory; each connection has its buffers beside it.
    let grown = proxy.peak_memory_mb() - before;
    assert!(grown < 32 / 4 + CLIENTS / 16 + 2, "{grown} MB");
    let (_control, _backend) = backend.take_connections().await;
    for client in clients {
        let status = client.await.expect("task completed");
        assert!(["200", "503"].contains(&status.as_str()), "{status}");
    }
}

/// The time of a request that was pipelined behind a waiting one ran from when it was read.
#[tokio::test]
async fn the_time_of_a_pipelined_request_runs_while_an_earlier_one_waits() {
    let (proxy, _backend) = start_waiting(192).await;
    let mut pieces = request_pieces(Length, 90_000, 2 * CLIENT_TIMEOUT, "");
    pieces.extend(request_pieces(Length, 10, 2 * CLIENT_TIMEOUT, ""));
    let (mut answers, _) = send(&proxy, &pieces, Duration::ZERO).await;
    let arrived = Instant::now();
    next_status(&mut answers).await;
    next_status(&mut answers).await;
    let took = arrived.elapsed();
    assert!(took < 2 * CLIENT_TIMEOUT + ANSWER_GRACE, "answered {took:?} after the last byte");
}

/// A client that leaves while its long request waits: nothing is sent for it.
#[tokio::test]
async fn a_waiting_long_request_ends_with_its_client() {
    let (proxy, backend) = start_waiting(192).await;
    for framing in [Length, Chunks(10_000)] {
        let pieces = request_pieces(framing, 90_000, Duration::from_secs(20), "");
        let (client, _) = send(&proxy, &pieces, Duration::ZERO).await;
        backend.wait_for_connect().await;
        drop(client);
    }
    let (control, _backend) = backend.start().await;
    assert_eq!(proxy.call("look").await.0, 200);
    assert_eq!(control.requests.borrow().len(), 1, "a request was sent for a client that had left");
}

/// A stop of the process ends a long request that waits, and does not wait for its connect.
#[rstest]
#[tokio::test]
async fn a_stop_answers_a_waiting_long_request(#[values(Length, Chunks(10_000))] framing: Framing) {
    let (mut proxy, _backend) = start_waiting(192).await;
    let pieces = request_pieces(framing, 90_000, Duration::from_secs(20), "");
    let (mut client, _) = send(&proxy, &pieces, Duration::ZERO).await;
    proxy.terminate().await;
    let status = next_status(&mut client).await;
    assert!(["502", "503", "504"].contains(&status.as_str()), "{status}");
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
}
