//! Leases: who holds which duty.

use super::answer::{Answer, answer, body, refuse};
use super::context::Context;
use super::write_reply::write_and_answer;
use crate::lease::{Lease, LeaseRequest};
use crate::writer::{Shared, WriteOperation};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::json;

/// All leases that are on disk.
pub fn leases(shared: &Shared) -> Answer {
    let state = shared.state();
    let leases: Vec<&Lease> = state.leases.values().collect();
    answer(StatusCode::OK, json!({"leases": leases}).to_string())
}

/// PUT without a token acquires, with one renews; DELETE releases.
pub async fn lease(request: Request<Incoming>, context: &Context) -> Answer {
    let releases = request.method() == Method::DELETE;
    let lease_request: LeaseRequest = match body(request, context).await {
        Ok(lease_request) => lease_request,
        Err(refusal) => return refusal,
    };
    if releases != lease_request.ttl_ms.is_none() {
        return refuse(StatusCode::BAD_REQUEST, "ttl_ms: goes with PUT, and only with it");
    }
    match lease_request.check() {
        Err(why) => refuse(StatusCode::BAD_REQUEST, why),
        Ok(()) => write_and_answer(WriteOperation::Lease(lease_request), &context.writes).await,
    }
}
