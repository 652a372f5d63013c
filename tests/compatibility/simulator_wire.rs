//! The simulator adapter: an exchange on standard input and output, byte for byte.
//!
//! The simulator reads and writes this wire; the project cannot change it. The recorded input has every event code, and
//! the recorded output is what build c1e1c1e answered: the same decisions too, since the instances' seeds are in it.

use crate::proxy_golden::{golden_bytes, hex, same};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may end before it has read everything; that is its answer.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// The replies, one below the other.
fn replies(output: &[u8]) -> String {
    let (mut rest, mut all) = (output, String::new());
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (reply, others) = after.split_at(u32::from_le_bytes(*length) as usize);
        all += &format!("# a reply of {} bytes\n{}", reply.len(), hex(&[&length[..], reply].concat()));
        rest = others;
    }
    all
}

#[test]
fn a_recorded_exchange_has_the_recorded_replies() {
    let input = golden_bytes("simulator_input.hex");
    assert!(!input.is_empty());
    let out = adapter(&input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(out.stderr.is_empty());
    same("simulator_output.hex", &replies(&out.stdout));
}

#[test]
fn an_input_that_breaks_off_ends_the_adapter_with_this_line() {
    let input = golden_bytes("simulator_input.hex");
    let mut all = String::new();
    for length in [10, 60, input.len() - 1] {
        let out = adapter(&input[..length]);
        assert_eq!(out.status.code(), Some(1));
        let line = String::from_utf8(out.stderr).expect("text");
        // The program's name stands in front, and is free.
        all += line.split_once(": ").expect("a name").1;
    }
    same("simulator_errors.txt", &all);
}
