//! `/registry/leases`: leases on duties. The writer thread decides on requests; see `crate::lease`.

use super::answer::{Answer, HandlerResult, Rejection, encoded};
use super::context::Context;
use super::request_body::RequestBody;
use super::write_reply::write_and_answer;
use crate::lease::{Lease, LeaseRequest};
use crate::writer::{Shared, WriteOperation};
use hyper::{Method, Request};
use serde_json::json;

/// Handles GET: answers all leases that are on disk.
pub(super) fn list_leases(shared: &Shared) -> Answer {
    let state = shared.state();
    let leases: Vec<&Lease> = state.leases.values().collect();
    encoded(json!({"leases": leases}).to_string())
}

/// Handles PUT, which acquires a lease without a token and renews it with one, and DELETE, which releases it.
pub(super) async fn request_lease(request: Request<RequestBody>, context: &Context) -> HandlerResult {
    let is_release = request.method() == Method::DELETE;
    let lease_request: LeaseRequest = context.write_bodies.json(request).await?;
    if is_release != lease_request.ttl_ms.is_none() {
        return Err(Rejection::bad_request("ttl_ms: goes with PUT, and only with it"));
    }
    lease_request.check().map_err(Rejection::bad_request)?;
    write_and_answer(WriteOperation::Lease(lease_request), &context.writes).await
}
