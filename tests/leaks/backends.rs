//! Ten thousand resets by a backend, of each kind, and ends of discovery's answers.

use crate::rig::within_deadline;
use crate::stage::{AT_ONCE, Stage, request};
use std::sync::atomic::Ordering::SeqCst;
use tokio::io::AsyncReadExt;

/// A backend that does this with each request, as often as it gets to do it.
async fn ends(what: &str) {
    let stage = Stage::set().await;
    let batch = async || {
        let before = stage.backend.resets.load(SeqCst);
        let mut streams = Vec::new();
        for _ in 0..AT_ONCE {
            streams.push(stage.client(request("once", what, 0).as_bytes()).await);
        }
        for mut stream in streams {
            // An answer, or an end: what broke off may end the client's connection before its first byte is out.
            let _ = within_deadline(stream.read_u8()).await;
        }
        stage.backend.resets.load(SeqCst) - before
    };
    stage.after(batch).await;
}

#[tokio::test]
async fn a_backend_that_resets_before_its_answer_leaves_nothing() {
    ends("reset").await;
}

#[tokio::test]
async fn a_backend_that_resets_in_a_head_leaves_nothing() {
    ends("half").await;
}

#[tokio::test]
async fn a_backend_that_resets_in_a_long_answer_leaves_nothing() {
    ends("break").await;
}

#[tokio::test]
async fn a_backend_that_resets_after_its_answer_leaves_nothing() {
    ends("then").await;
}
