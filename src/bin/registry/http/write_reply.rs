//! Sends writes to the writer thread and maps its replies to HTTP. This is the only place that maps the outcome of a
//! write to a status.

use super::NO_PATH;
use super::answer::{HandlerResult, Rejection, answer, encoded};
use crate::lease::LeaseError;
use crate::writer::{WriteError, WriteOperation, WriteOutcome, WriteQueue, WriteRequest};
use hyper::StatusCode;
use load_balancer::route_table::RouteRecord;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Reason answered when the writer thread has ended, which only a bug in it can cause.
const WRITER_STOPPED: &str = "the writer has stopped";

/// Sends a write to the writer thread, and answers once it is on disk or has failed.
pub(super) async fn write_and_answer(operation: WriteOperation, writes: &WriteQueue) -> HandlerResult {
    let (reply, receiver) = oneshot::channel();
    if writes.send(WriteRequest { operation, reply }).is_err() {
        return Err(Rejection::unavailable(WRITER_STOPPED));
    }
    match receiver.await {
        Ok(Ok(outcome)) => Ok(encoded(outcome_json(outcome).to_string())),
        Ok(Err(error)) => answer_error(error),
        Err(_) => Err(Rejection::unavailable(WRITER_STOPPED)),
    }
}

fn outcome_json(outcome: WriteOutcome) -> Value {
    match outcome {
        WriteOutcome::Entries { seq } => json!({"seq": seq}),
        WriteOutcome::Lease(decision) => json!(decision.lease),
        WriteOutcome::Proposal(record) => accepted_proposal_json(&record),
    }
}

/// Maps an error to its status. A duty that another process holds is answered as JSON, every other error as its
/// message.
fn answer_error(error: WriteError) -> HandlerResult {
    let status = match &error {
        WriteError::Lease(LeaseError::Held { lease, remaining_ms }) => {
            let body = json!({"held": lease, "left_ms": remaining_ms}).to_string();
            return Ok(answer(StatusCode::CONFLICT, body));
        }
        WriteError::NoRouteTable => return Err(Rejection::new(StatusCode::NOT_FOUND, NO_PATH)),
        WriteError::Lease(LeaseError::NotHeld) | WriteError::Fenced => StatusCode::CONFLICT,
        WriteError::Lease(LeaseError::TooMany) | WriteError::Storage(_) => StatusCode::SERVICE_UNAVAILABLE,
        WriteError::Proposal(why) => StatusCode::from_u16(why.status()).unwrap_or(StatusCode::BAD_REQUEST),
        WriteError::ProposalTooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
    };
    Err(Rejection::new(status, error))
}

fn accepted_proposal_json(record: &RouteRecord) -> Value {
    let Some(active) = &record.active else { return json!({"revision": record.in_force.revision}) };
    let state = if active.rollout.is_some() { "rolling_out" } else { "judging" };
    json!({
        "revision": active.table.revision,
        "from": active.table.from,
        "digest": active.table.digest,
        "state": state,
    })
}
