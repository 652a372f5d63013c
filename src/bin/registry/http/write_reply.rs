//! Hands writes to the writer thread, and maps its replies to HTTP. The one place where a write's outcome becomes a status.

use super::answer::{Answer, answer, refuse};
use super::context::NO_PATH;
use crate::lease::LeaseError;
use crate::writer::{WriteError, WriteOperation, WriteOutcome, WriteQueue, WriteRequest};
use hyper::StatusCode;
use load_balancer::route_table::RouteRecord;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Sends a write to the writer thread and answers once it is on disk, or has failed.
pub(super) async fn write_and_answer(operation: WriteOperation, writes: &WriteQueue) -> Answer {
    let (reply, receiver) = oneshot::channel();
    if writes.send(WriteRequest { operation, reply }).is_err() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the writer has stopped");
    }
    match receiver.await {
        Ok(Ok(outcome)) => answer(StatusCode::OK, outcome_json(outcome).to_string()),
        Ok(Err(error)) => refuse_write(error),
        Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the writer has stopped"),
    }
}

fn outcome_json(outcome: WriteOutcome) -> Value {
    match outcome {
        WriteOutcome::Entries { seq } => json!({"seq": seq}),
        WriteOutcome::Lease(decision) => json!(decision.lease),
        WriteOutcome::Proposal(record) => accepted_proposal_json(&record),
    }
}

/// The status of each error; its text is the answer's body.
fn refuse_write(error: WriteError) -> Answer {
    let status = match &error {
        WriteError::Lease(LeaseError::Held { lease, remaining_ms }) => {
            let body = json!({"held": lease, "left_ms": remaining_ms}).to_string();
            return answer(StatusCode::CONFLICT, body);
        }
        WriteError::NoRouteTable => return refuse(StatusCode::NOT_FOUND, NO_PATH),
        WriteError::Lease(LeaseError::NotHeld) | WriteError::Fenced => StatusCode::CONFLICT,
        WriteError::Lease(LeaseError::TooMany) | WriteError::Storage(_) => StatusCode::SERVICE_UNAVAILABLE,
        WriteError::Proposal(why) => StatusCode::from_u16(why.status()).unwrap_or(StatusCode::BAD_REQUEST),
        WriteError::ProposalTooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
    };
    refuse(status, error)
}

fn accepted_proposal_json(record: &RouteRecord) -> Value {
    let Some(work) = &record.active else { return json!({"revision": record.in_force.revision}) };
    let state = if work.rollout.is_some() { "rolling_out" } else { "judging" };
    json!({
        "revision": work.table.revision,
        "from": work.table.from,
        "digest": work.table.digest,
        "state": state,
    })
}
