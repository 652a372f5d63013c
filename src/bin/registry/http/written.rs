//! Wants of callers, and what they are answered once the writer is done.

use super::answer::{Answer, answer, refuse};
use super::context::NO_PATH;
use crate::lease::Refused;
use crate::writer::{Done, Failed, Order, Orders, Want};
use hyper::StatusCode;
use load_balancer::route_table::RouteRecord;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Hands a want to the writer and waits until it is on disk.
pub async fn ordered(want: Want, orders: &Orders) -> Answer {
    let (told, answered) = oneshot::channel();
    if orders.send(Order { want, answer: told }).is_err() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the writer has stopped");
    }
    let json = |status, value: serde_json::Value| answer(status, value.to_string());
    match answered.await {
        Ok(Ok(Done::Stored(seq))) => answer(StatusCode::OK, format!("{{\"seq\":{seq}}}")),
        Ok(Ok(Done::Lease(lease))) => json(StatusCode::OK, json!(lease)),
        Ok(Err(Failed::Lease(Refused::Held(lease, left_ms)))) => {
            json(StatusCode::CONFLICT, json!({"held": lease, "left_ms": left_ms}))
        }
        Ok(Err(Failed::Lease(Refused::NotHeld))) => {
            refuse(StatusCode::CONFLICT, "not held, or no longer, by this holder with this token")
        }
        Ok(Err(Failed::Lease(Refused::TooMany))) => refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "as many duties are held as can be; release some, or wait until their leases end",
        ),
        Ok(Err(Failed::Fenced)) => {
            refuse(StatusCode::CONFLICT, "fence: not the token of the duty's present holder")
        }
        Ok(Ok(Done::Routes(record))) => json(StatusCode::OK, taken(&record)),
        Ok(Err(Failed::Routes(why))) => {
            refuse(StatusCode::from_u16(why.status()).unwrap_or(StatusCode::BAD_REQUEST), why)
        }
        Ok(Err(Failed::TooLong(why))) => refuse(StatusCode::PAYLOAD_TOO_LARGE, why),
        Ok(Err(Failed::NoRoutes)) => refuse(StatusCode::NOT_FOUND, NO_PATH),
        Ok(Err(Failed::Storage(why))) => refuse(StatusCode::SERVICE_UNAVAILABLE, format!("storage: {why}")),
        Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the writer has stopped"),
    }
}

/// A proposal that was taken.
fn taken(record: &RouteRecord) -> Value {
    let Some(work) = &record.active else { return json!({"revision": record.in_force.revision}) };
    let state = if work.rollout.is_some() { "rolling_out" } else { "judging" };
    json!({"revision": work.table.revision, "from": work.table.from, "digest": work.table.digest, "state": state})
}
