//! Ten thousand client connections that are reset, at each point of a request and its response.

use crate::leak_check::{BATCH_SIZE, LeakCheck, request, reset};
use crate::rig::within_deadline;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};

/// Runs clients that write `text` and reset their connections.
async fn reset_after(text: impl Fn() -> Vec<u8>) {
    let check = LeakCheck::start().await;
    let batch = async || {
        let mut streams = Vec::new();
        for _ in 0..BATCH_SIZE {
            streams.push(check.client(&text()).await);
        }
        streams.into_iter().for_each(reset);
        BATCH_SIZE
    };
    check.run_batches(batch).await;
}

#[tokio::test]
async fn clients_that_reset_before_a_head_leak_nothing() {
    reset_after(Vec::new).await;
}

#[tokio::test]
async fn clients_that_reset_in_a_head_leak_nothing() {
    reset_after(|| request("look", "serve", 0).as_bytes()[..40].to_vec()).await;
}

/// The reset comes in a body that fits the buffer, in a streamed one, and in one whose first part exceeds the buffer.
#[tokio::test]
async fn clients_that_reset_in_a_body_leak_nothing() {
    let kinds = [(1000, 500), (1 << 20, 500), (1 << 20, 70_000)];
    let turn = std::cell::Cell::new(0);
    reset_after(|| {
        turn.set((turn.get() + 1) % kinds.len());
        let (length, part) = kinds[turn.get()];
        [request("once", "serve", length).into_bytes(), vec![b'x'; part]].concat()
    })
    .await;
}

#[tokio::test]
async fn clients_that_reset_after_a_complete_request_leak_nothing() {
    reset_after(|| request("once", "serve", 0).into_bytes()).await;
}

/// The backend has the request and responds only after the client has reset its connection.
#[tokio::test]
async fn clients_that_reset_before_the_response_leak_nothing() {
    let check = LeakCheck::start().await;
    let batch = async || {
        let mut streams = Vec::new();
        for _ in 0..BATCH_SIZE {
            streams.push(check.client(request("once", "wait", 0).as_bytes()).await);
        }
        // At least one request waits at the backend, or all were rejected; the others are queued.
        let settled = async {
            loop {
                let mut rejected = 0;
                for stream in &streams {
                    rejected += usize::from(timeout(Duration::ZERO, stream.peek(&mut [0])).await.is_ok());
                }
                let waiting = check.backend.waiting.available_permits();
                if waiting > 0 || rejected == BATCH_SIZE {
                    return (waiting, BATCH_SIZE - rejected);
                }
                sleep(Duration::from_millis(1)).await;
            }
        };
        let (waiting, abandoned) = within_deadline(settled).await;
        check.backend.waiting.forget_permits(waiting);
        streams.into_iter().for_each(reset);
        check.backend.released.add_permits(waiting);
        abandoned
    };
    check.run_batches(batch).await;
}

/// The response head was sent, and the backend does not complete the body.
#[tokio::test]
async fn clients_that_reset_in_a_response_leak_nothing() {
    let check = LeakCheck::start().await;
    let batch = async || {
        let (mut streams, mut started) = (Vec::new(), 0);
        for _ in 0..BATCH_SIZE {
            streams.push(check.client(request("look", "partial-body", 0).as_bytes()).await);
        }
        for stream in &mut streams {
            let mut start = [0; 12];
            within_deadline(stream.read_exact(&mut start)).await.expect("a response head");
            started += usize::from(&start == b"HTTP/1.1 200");
        }
        streams.into_iter().for_each(reset);
        started
    };
    check.run_batches(batch).await;
}
