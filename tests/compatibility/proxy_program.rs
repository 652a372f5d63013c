//! The proxy started with flags and variables of a test's own, its whole log, and one HTTP exchange as bytes.

use crate::proxy_golden::LOG_PREFIX;
use crate::waits::within_deadline;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};

/// The program with these flags and variables and no others of the platform's.
pub fn proxy(flags: &[&str], variables: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_proxy"));
    for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG", "RELAY_OPS", "RUST_LOG"] {
        command.env_remove(name);
    }
    command.args(flags).envs(variables.iter().copied()).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

/// A file of a test's own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

/// Starts a program that must refuse to run: its only line, without the prefix, and with the file's path masked.
pub async fn refusal(mut command: Command, file: &str) -> String {
    let out = within_deadline(command.output()).await.expect("it starts");
    let said = String::from_utf8(out.stderr).expect("text");
    assert_eq!(out.status.code(), Some(1), "{said}");
    let line = said.strip_suffix('\n').and_then(|line| line.strip_prefix(LOG_PREFIX));
    let line = line.unwrap_or_else(|| panic!("no line of the log: {said}"));
    assert!(!line.contains('\n'), "one line: {said}");
    line.replace(file, "<file>")
}

/// Masks the name that a type of the program's has in an error of `serde`: it is no contract.
pub fn without_types(error: &str) -> String {
    let mut text = error.to_string();
    for kind in
        ["expected struct ", "expected enum ", "expected untagged enum ", "any variant of untagged enum "]
    {
        if let Some((before, after)) = error.split_once(kind) {
            let rest = after.trim_start_matches(|c: char| c.is_alphanumeric() || c == '_');
            text = format!("{before}{kind}<type>{rest}");
        }
    }
    text
}

/// A running proxy and its log.
pub struct Running {
    /// Is killed when this is dropped.
    _child: Child,
    log: Lines<BufReader<ChildStderr>>,
    pub said: Vec<String>,
}

impl Running {
    pub fn start(mut command: Command) -> Running {
        let mut child = command.spawn().expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        Running { _child: child, log, said: Vec::new() }
    }

    /// Waits for a line that contains the notice, and gives what follows it there.
    pub async fn says(&mut self, notice: &str) -> String {
        loop {
            let line = within_deadline(self.log.next_line()).await.expect("readable");
            let line = line.unwrap_or_else(|| panic!("it ended: {:?}", self.said));
            self.said.push(line);
            if let Some((_, rest)) = self.said.last().and_then(|line| line.split_once(notice)) {
                return rest.to_string();
            }
        }
    }

    /// The same for an address.
    pub async fn says_address(&mut self, notice: &str) -> SocketAddr {
        self.says(notice).await.parse().expect("an address")
    }
}

/// Writes bytes on a connection; the head of the answer that comes, and its body, whose length must be told.
pub async fn exchange(stream: &mut TcpStream, request: &str) -> (String, Vec<u8>) {
    within_deadline(stream.write_all(request.as_bytes())).await.expect("open");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(within_deadline(stream.read_u8()).await.expect("an answer"));
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    within_deadline(stream.read_exact(&mut body)).await.expect("the body");
    (head, body)
}

/// The head with the values of these headers masked, one line to a header.
pub fn masked_head(head: &str, names: &[&str]) -> String {
    let mask = |line: &str| match line.split_once(": ") {
        Some((name, _)) if names.contains(&name) => format!("{name}: <value>\n"),
        _ => format!("{line}\n"),
    };
    head.trim_end_matches("\r\n").split("\r\n").map(mask).collect()
}

/// One call to an operators' address: all that it answers.
pub async fn operate(at: SocketAddr, call: &[u8]) -> String {
    let mut stream = within_deadline(TcpStream::connect(at)).await.expect("it listens");
    within_deadline(stream.write_all(call)).await.expect("open");
    within_deadline(stream.shutdown()).await.expect("open");
    let mut answer = String::new();
    within_deadline(stream.read_to_string(&mut answer)).await.expect("text");
    answer
}
