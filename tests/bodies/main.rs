//! Bodies and answers of any size through the started program.

mod forms;
mod long;
#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;

use crate::rig::*;
use http_body_util::BodyExt;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

fn text(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| b'a' + (n / 7 % 26) as u8).collect()
}

/// Sends a body of so many bytes in chunks, its length not told; status and length of the answer.
async fn chunked(s: &ProxyFixture, len: usize) -> (u16, usize) {
    let stream = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("nothing is sent yet");
    tokio::spawn(connection);
    let body = LongBody { remaining: len, fail_at: 0, known_length: false };
    let answer = within_deadline(sender.send_request(request("keep").body(body).expect("well formed"))).await;
    let answer = answer.expect("an answer");
    let status = answer.status().as_u16();
    (status, within_deadline(answer.into_body().collect()).await.expect("a whole one").to_bytes().len())
}

/// A request's head as it goes over the wire, but for its framing and its last line.
fn head(version: &str, class: &str, id: &str) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class} HTTP/{version}\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n"
    )
}
