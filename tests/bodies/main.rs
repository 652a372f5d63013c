//! Request and response bodies of any size, sent through a running proxy process.

mod ended_attempts;
mod framing;
mod long_bodies;
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

/// Sends a chunked body of `len` bytes and returns the status and the length of the response body.
async fn send_chunked(s: &ProxyFixture, len: usize) -> (u16, usize) {
    let stream = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("HTTP handshake");
    tokio::spawn(connection);
    let body = LongBody { remaining: len, fail_at: 0, known_length: false };
    let response =
        within_deadline(sender.send_request(request("keep").body(body).expect("valid request"))).await;
    let response = response.expect("a response");
    let status = response.status().as_u16();
    (status, within_deadline(response.into_body().collect()).await.expect("a complete body").to_bytes().len())
}

/// Request line and headers in wire format, without the framing headers and the final empty line.
fn head(version: &str, class: &str, id: &str) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class} HTTP/{version}\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n"
    )
}
