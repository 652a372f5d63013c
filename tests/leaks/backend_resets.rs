//! Ten thousand connection resets by a backend, at each point of a response.

use crate::leak_check::{BATCH_SIZE, LeakCheck, request};
use crate::rig::within_deadline;
use std::sync::atomic::Ordering::SeqCst;
use tokio::io::AsyncReadExt;

/// Has the backend reset its connection as `behavior` says until enough connections were reset.
async fn run_resets(behavior: &str) {
    let check = LeakCheck::start().await;
    let batch = async || {
        let before = check.backend.resets.load(SeqCst);
        let mut streams = Vec::new();
        for _ in 0..BATCH_SIZE {
            streams.push(check.client(request("once", behavior, 0).as_bytes()).await);
        }
        for mut stream in streams {
            // Either a response or the end: a reset may end the client's connection before its first byte was sent.
            let _ = within_deadline(stream.read_u8()).await;
        }
        check.backend.resets.load(SeqCst) - before
    };
    check.run_batches(batch).await;
}

#[tokio::test]
async fn a_backend_reset_before_the_response_leaks_nothing() {
    run_resets("reset").await;
}

#[tokio::test]
async fn a_backend_reset_in_a_response_head_leaks_nothing() {
    run_resets("reset-in-head").await;
}

#[tokio::test]
async fn a_backend_reset_in_a_long_response_leaks_nothing() {
    run_resets("reset-in-body").await;
}

#[tokio::test]
async fn a_backend_reset_after_the_response_leaks_nothing() {
    run_resets("reset-after-response").await;
}
