//! Leases: who holds which duty.

use super::answer::{Answer, answer, body, refuse};
use super::context::Context;
use super::written::ordered;
use crate::lease::{Ask, Lease};
use crate::writer::{Shared, Want};
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
    let ask: Ask = match body(request, context).await {
        Ok(ask) => ask,
        Err(refusal) => return refusal,
    };
    if releases != ask.ttl_ms.is_none() {
        return refuse(StatusCode::BAD_REQUEST, "ttl_ms: goes with PUT, and only with it");
    }
    match ask.check() {
        Err(why) => refuse(StatusCode::BAD_REQUEST, why),
        Ok(()) => ordered(Want::Lease(ask), &context.orders).await,
    }
}
