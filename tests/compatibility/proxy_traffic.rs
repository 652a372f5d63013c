//! A registry of the tests' own on a plain socket: it keeps every request as bytes and gives the list, the route table
//! and an empty answer to all else.

use crate::waits::within_deadline;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Asked {
    pub head: String,
    pub body: Vec<u8>,
}

pub struct Recorder {
    pub address: SocketAddr,
    asked: Arc<watch::Sender<Vec<Asked>>>,
}

impl Recorder {
    /// Gives this list of backends, and this route table.
    pub async fn start(hosts: Value, table: Value) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let asked = Arc::new(watch::Sender::default());
        let (all, list) = (asked.clone(), json!({"seq": 41, "whole": true, "hosts": hosts}).to_string());
        let table = table.to_string();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                tokio::spawn(serve(stream, all.clone(), list.clone(), table.clone()));
            }
        });
        Recorder { address, asked }
    }

    /// The first request whose head begins so, of those that have come or are to come.
    pub async fn first(&self, begins: &str) -> Asked {
        self.first_that(|asked| asked.head.starts_with(begins)).await
    }

    pub async fn first_that(&self, is: impl Fn(&Asked) -> bool) -> Asked {
        let mut asked = self.asked.subscribe();
        let all = within_deadline(asked.wait_for(|all| all.iter().any(&is))).await.expect("open");
        all.iter().find(|asked| is(asked)).cloned().expect("it came")
    }
}

async fn serve(mut stream: TcpStream, all: Arc<watch::Sender<Vec<Asked>>>, list: String, table: String) {
    while let Some(asked) = request(&mut stream).await {
        let path = asked.head.split(' ').nth(1).unwrap_or("").to_string();
        let is_put = asked.head.starts_with("PUT ");
        all.send_modify(|all| all.push(asked));
        // A watch has no news here, and waits as long as its caller does.
        if path.contains("after=") {
            let _ = stream.read_u8().await;
            return;
        }
        let text = match path.split('?').next() {
            Some("/registry/instances") if !is_put => &list,
            Some("/registry/routes") => &table,
            _ => "",
        };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn request(stream: &mut TcpStream) -> Option<Asked> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(Asked { head, body })
}
