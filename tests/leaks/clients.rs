//! Ten thousand clients that reset their connections, of each kind.

use crate::rig::within_deadline;
use crate::stage::{AT_ONCE, Stage, request, reset};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};

/// Clients that write this and reset.
async fn leave_after(text: impl Fn() -> Vec<u8>) {
    let stage = Stage::set().await;
    let batch = async || {
        let mut streams = Vec::new();
        for _ in 0..AT_ONCE {
            streams.push(stage.client(&text()).await);
        }
        streams.into_iter().for_each(reset);
        AT_ONCE
    };
    stage.after(batch).await;
}

#[tokio::test]
async fn clients_that_reset_before_a_head_leave_nothing() {
    leave_after(Vec::new).await;
}

#[tokio::test]
async fn clients_that_reset_in_a_head_leave_nothing() {
    leave_after(|| request("look", "serve", 0).as_bytes()[..40].to_vec()).await;
}

/// In a body that would be held, in one that flows, and in one whose first part is more than is held.
#[tokio::test]
async fn clients_that_reset_in_a_body_leave_nothing() {
    let kinds = [(1000, 500), (1 << 20, 500), (1 << 20, 70_000)];
    let turn = std::cell::Cell::new(0);
    leave_after(|| {
        turn.set((turn.get() + 1) % kinds.len());
        let (length, part) = kinds[turn.get()];
        [request("once", "serve", length).into_bytes(), vec![b'x'; part]].concat()
    })
    .await;
}

#[tokio::test]
async fn clients_that_reset_with_the_request_on_its_way_leave_nothing() {
    leave_after(|| request("once", "serve", 0).into_bytes()).await;
}

/// The backend has the request and answers only once the client has reset.
#[tokio::test]
async fn clients_that_reset_before_their_answer_leave_nothing() {
    let stage = Stage::set().await;
    let batch = async || {
        let mut streams = Vec::new();
        for _ in 0..AT_ONCE {
            streams.push(stage.client(request("once", "held", 0).as_bytes()).await);
        }
        // One is held by the backend at the least, or all have their answers, which are refusals; the others wait.
        let all = async {
            loop {
                let mut refused = 0;
                for stream in &streams {
                    refused += usize::from(timeout(Duration::ZERO, stream.peek(&mut [0])).await.is_ok());
                }
                let held = stage.backend.held.available_permits();
                if held > 0 || refused == AT_ONCE {
                    return (held, AT_ONCE - refused);
                }
                sleep(Duration::from_millis(1)).await;
            }
        };
        let (held, left) = within_deadline(all).await;
        stage.backend.held.forget_permits(held);
        streams.into_iter().for_each(reset);
        stage.backend.freed.add_permits(held);
        left
    };
    stage.after(batch).await;
}

/// The answer has begun, and the backend has not ended it.
#[tokio::test]
async fn clients_that_reset_in_an_answer_leave_nothing() {
    let stage = Stage::set().await;
    let batch = async || {
        let (mut streams, mut begun) = (Vec::new(), 0);
        for _ in 0..AT_ONCE {
            streams.push(stage.client(request("look", "begin", 0).as_bytes()).await);
        }
        for stream in &mut streams {
            let mut start = [0; 12];
            within_deadline(stream.read_exact(&mut start)).await.expect("an answer begins");
            begun += usize::from(&start == b"HTTP/1.1 200");
        }
        streams.into_iter().for_each(reset);
        begun
    };
    stage.after(batch).await;
}
