//! Client of one task that makes one call to a registry at a time.

use super::{AnswerTime, Call, CallError, Connection, call};
use crate::client::traffic::Traffic;
use bytes::Bytes;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Makes a task's calls one after another, over a kept connection and with a time limit that adapts to the answers.
pub struct RegistryClient {
    connection: Option<Connection>,
    answer_time: AnswerTime,
    traffic: Traffic,
}

impl RegistryClient {
    /// Creates a client without a connection, whose calls are counted in `traffic`.
    pub fn new(traffic: Traffic) -> Self {
        RegistryClient { connection: None, answer_time: AnswerTime::default(), traffic }
    }

    /// Makes a call; see [`call`].
    pub async fn call(&mut self, address: SocketAddr, request: Call<'_>) -> Result<Bytes, CallError> {
        let (started, wait) = (Instant::now(), request.wait);
        let answer_limit = self.answer_time.time_limit();
        let result = call(&mut self.connection, address, request, answer_limit, &self.traffic).await;
        match &result {
            Err(CallError::TimedOut) => self.answer_time.record_timeout(),
            Ok(_) | Err(CallError::Status { .. }) => self.answer_time.record_answer(started.elapsed(), wait),
            Err(_) => {}
        }
        result
    }

    /// Closes the kept connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}
