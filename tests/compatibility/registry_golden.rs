//! Golden files of the registry, and scripts of calls with the answers that they must get.
//!
//! A script is a text of blocks parted by blank lines: a line `METHOD PATH`, at the most one line of body, a line
//! `= STATUS CONTENT-TYPE` with `retry-after SECONDS` where it is told, and the answer. `METHOD PATH until TEXT` repeats
//! the call until the answer has the text. `& METHOD PATH` is a call that waits while the next block runs. `$seq`,
//! `$token` and `$revision` stand for the newest such number of an answer, `$seq0` for the first. The whole text is the
//! golden file: calls and answers are compared together, byte for byte, but for values that vary (versions, times), in
//! whose place `#` stands.
//!
//! Nothing here writes a golden file. What a run gave instead is left in the target directory, to be looked at.

use crate::registry_rig::{Registry, data_dir};
use crate::waits::{TEST_DEADLINE, within_deadline};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Where a golden file is.
pub fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/golden/registry").join(name)
}

/// The text of a golden file.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(golden(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Fails with the first line that differs; the whole of what came instead is kept in the target directory.
pub fn compare(name: &str, actual: &str) {
    let expected = std::fs::read_to_string(golden(name)).unwrap_or_default();
    if expected == actual {
        return;
    }
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join("compatibility").join(name);
    std::fs::create_dir_all(kept.parent().expect("a directory")).expect("made");
    std::fs::write(&kept, actual).expect("written");
    let lines = |text: &str| text.lines().map(str::to_string).collect::<Vec<_>>();
    let (expected, actual) = (lines(&expected), lines(actual));
    let at = expected.iter().zip(&actual).take_while(|(a, b)| a == b).count();
    let line = |of: &[String]| of.get(at).cloned().unwrap_or_else(|| "(end)".into());
    panic!("golden file {name}, line {}:\nexpected {}\nbut it is {}", at + 1, line(&expected), line(&actual));
}

/// Keys whose values vary from run to run, though they are no long numbers.
const VARYING: [&str; 7] = ["left_ms", "quiet_ms", "for_ms", "progress", "waits", "records", "bytes"];
/// A number of so many digits is a time, a version or a token.
const LONG_NUMBER: usize = 12;

/// Takes values that vary out of a text. Keys stay, and so does their order.
pub fn masked(text: &str) -> String {
    masked_where(text, |digits| digits.len() >= LONG_NUMBER)
}

/// The same; of the other numbers those that vary are named by their digits.
pub fn masked_where(text: &str, varies: impl Fn(&str) -> bool) -> String {
    let text = VARYING.iter().fold(text.to_string(), |text, key| masked_key(&text, key));
    let (mut out, mut rest) = (String::new(), text.as_str());
    while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
        out += &rest[..start];
        let digits = &rest[start..];
        let end = digits.find(|c: char| !c.is_ascii_digit()).unwrap_or(digits.len());
        rest = &digits[end..];
        if !varies(&digits[..end]) {
            out += &digits[..end];
            continue;
        }
        out += "#";
        if let Some(fraction) = rest.strip_prefix('.') {
            rest = fraction.trim_start_matches(|c: char| c.is_ascii_digit());
        }
    }
    out + rest
}

/// Takes the values of a key out of a text, unless they are nested.
fn masked_key(text: &str, key: &str) -> String {
    let (mut out, mut rest, key) = (String::new(), text, format!("\"{key}\":"));
    while let Some(at) = rest.find(&key) {
        let (before, value) = rest.split_at(at + key.len());
        out += before;
        let end = match value.strip_prefix('"') {
            Some(inner) => inner.find('"').map_or(0, |end| end + 2),
            None if value.starts_with("null") => "null".len(),
            None => value.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(value.len()),
        };
        out += if end > 0 { "#" } else { "" };
        rest = &value[end..];
    }
    out + rest
}

/// A registry over a directory, with a configuration file of this text.
pub async fn start(data: &Path, config: &str, flags: &[&str]) -> Registry {
    std::fs::create_dir_all(data).expect("made");
    let file = data.with_extension("toml");
    std::fs::write(&file, config).expect("written");
    let file = file.display().to_string();
    Registry::start(data, &[&["--config", &file], flags].concat()).await
}

/// The same over a fresh directory.
pub async fn fresh(name: &str, config: &str) -> Registry {
    start(&data_dir(&format!("compatibility-{name}")), config, &[]).await
}

/// An answer: status, the headers that callers go by, and the body.
async fn exchange(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> (String, String) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {at}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = Vec::new();
    within_deadline(async {
        let mut stream = TcpStream::connect(at).await.expect("connects");
        stream.write_all(&[head.as_bytes(), body].concat()).await.expect("taken");
        stream.read_to_end(&mut bytes).await.expect("answered");
    })
    .await;
    let text = String::from_utf8(bytes).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let mut status = format!("= {}", head.split(' ').nth(1).expect("a status"));
    for (name, label) in [("content-type: ", ""), ("retry-after: ", "retry-after ")] {
        let found = head.lines().find_map(|line| line.strip_prefix(name));
        found.into_iter().for_each(|value| status += &format!(" {label}{value}"));
    }
    (status, body.to_string())
}

/// Numbers that later calls refer to.
type Numbers = BTreeMap<String, String>;

fn note(numbers: &mut Numbers, body: &str) {
    let Ok(answer) = serde_json::from_str::<Value>(body) else { return };
    for key in ["seq", "token", "revision"] {
        if let Some(number) = answer[key].as_u64() {
            numbers.insert(format!("${key}"), number.to_string());
            numbers.entry(format!("${key}0")).or_insert(number.to_string());
        }
    }
}

fn filled(text: &str, numbers: &Numbers) -> String {
    // The longer name first: `$seq0` is not `$seq` and a zero.
    numbers.iter().rev().fold(text.to_string(), |text, (name, number)| text.replace(name.as_str(), number))
}

/// Plays a script to a registry and compares it, with the answers it gets, to itself.
pub async fn play(name: &str, at: SocketAddr, mask: impl Fn(&str) -> String) {
    let (script, mut actual, mut numbers) = (text(name), String::new(), Numbers::new());
    let mut waiting = None;
    for block in script.split_terminator("\n\n") {
        let asked: Vec<&str> = block.lines().take_while(|line| !line.starts_with("= ")).collect();
        let (comments, asked): (Vec<&str>, Vec<&str>) = asked.into_iter().partition(|l| l.starts_with("# "));
        comments.iter().for_each(|line| actual += &format!("{line}\n"));
        let Some(call) = asked.first() else {
            actual += "\n";
            continue;
        };
        let body = body(asked.get(1).copied().unwrap_or_default(), &numbers);
        let (line, until) = call.split_once(" until ").unwrap_or((call, ""));
        let line = filled(line, &numbers);
        let (later, line) = match line.strip_prefix("& ") {
            Some(line) => (true, line.to_string()),
            None => (false, line),
        };
        let (method, path) = line.split_once(' ').expect("a method and a path");
        let (method, path) = (method.to_string(), path.to_string());
        let asked = asked.join("\n");
        if later {
            waiting = Some((asked, tokio::spawn(async move { exchange(at, &method, &path, &body).await })));
            continue;
        }
        let mut got = exchange(at, &method, &path, &body).await;
        let repeated = tokio::time::timeout(TEST_DEADLINE, async {
            while !got.1.contains(until) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                got = exchange(at, &method, &path, &body).await;
            }
        });
        assert!(repeated.await.is_ok(), "{name}: {call}: stays at {}", got.1);
        let (status, answer) = got;
        note(&mut numbers, &answer);
        if let Some((asked, call)) = waiting.take() {
            let (status, answer) = within_deadline(call).await.expect("answered");
            actual += &format!("{asked}\n{}\n{}\n\n", status, mask(answer.trim_end()));
        }
        actual += &format!("{asked}\n{status}\n{}\n\n", mask(answer.trim_end()));
    }
    compare(name, &actual);
}

/// A body as a script names it: itself, `@spaces N`, or a golden segment moved in time (`@now FILE`, `@late FILE`).
fn body(line: &str, numbers: &Numbers) -> Vec<u8> {
    match line.split_once(' ') {
        Some(("@spaces", count)) => vec![b' '; count.parse().expect("a number")],
        Some(("@now", file)) => crate::segments::ended_before(file, 0, 0),
        Some(("@late", file)) => crate::segments::ended_before(file, 172_800_000, 1),
        _ => filled(line, numbers).into_bytes(),
    }
}
