//! The route table, proxies' reports, what drifts, and recorded segments.

use super::answer::{Answer, answer as page, body, bytes, refuse};
use super::context::Context;
use super::query::{Watch, watch};
use super::write_reply::write_and_answer;
use crate::route_table::{Host, RingError};
use crate::writer::{Fence, WriteOperation};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use load_balancer::replay::{BadSegment, MAX_ENCODED};
use load_balancer::route_table::{DriftPage, Proposal, Report, Revision, StatePage, Weights};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

/// Longest report, in bytes.
const MAX_REPORT: usize = 1 << 20;
/// The duty whose holder proposes.
const DUTY: &str = "routes";

/// What is asked for.
#[derive(Clone, Copy, PartialEq)]
pub enum Path {
    /// The table.
    Routes,
    /// Proxies' reports.
    Reports,
    /// Findings.
    Drift,
    /// Recorded segments.
    Traces,
}

impl Path {
    /// By its name.
    pub fn of(path: &str) -> Option<Path> {
        Some(match path {
            "/registry/routes" => Path::Routes,
            "/registry/reports" => Path::Reports,
            "/registry/drift" => Path::Drift,
            "/registry/traces" => Path::Traces,
            _ => return None,
        })
    }
}

/// A proposal with the token of who makes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Propose {
    from: Revision,
    weights: Weights,
    by: String,
    #[serde(default, rename = "override")]
    override_why: Option<String>,
    fence: Fence,
}

/// Answers a call.
pub async fn answer(path: Path, request: Request<Incoming>, host: &Host, context: &Context) -> Answer {
    let (get, put) = (request.method() == Method::GET, request.method() == Method::PUT);
    let query = request.uri().query().unwrap_or("").to_string();
    let not_so = |why| refuse(StatusCode::METHOD_NOT_ALLOWED, why);
    match path {
        Path::Routes if get => read(&query, host).await,
        Path::Routes if put => propose(request, context).await,
        Path::Routes => not_so("GET reads the table, PUT proposes another"),
        Path::Reports if put => report(request, host, context).await,
        Path::Reports => not_so("PUT reports; what comes of it is at /registry/drift"),
        Path::Drift if get => drift(&query, host).await,
        Path::Drift => not_so("GET reads the findings"),
        Path::Traces if get => json_page(&host.traces.ring.page()),
        Path::Traces if put => segment(request, host, context).await,
        Path::Traces => not_so("GET tells what is held, PUT sends a segment"),
    }
}

fn json_page(what: &impl Serialize) -> Answer {
    match serde_json::to_vec(what) {
        Ok(text) => page(StatusCode::OK, text),
        Err(e) => refuse(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

async fn propose(request: Request<Incoming>, context: &Context) -> Answer {
    let Propose { from, weights, by, override_why, fence } = match body(request, context).await {
        Ok(propose) => propose,
        Err(refusal) => return refusal,
    };
    if fence.duty != DUTY {
        let why = format!("fence: duty must be {DUTY:?}; acquire it at /registry/leases");
        return refuse(StatusCode::BAD_REQUEST, why);
    }
    let proposal = Proposal { from, weights, by, override_why };
    write_and_answer(WriteOperation::Proposal { proposal, fence }, &context.writes).await
}

/// The state of the table, or the table that is meant for a proxy.
async fn read(query: &str, host: &Host) -> Answer {
    #[derive(Serialize)]
    struct Page {
        #[serde(flatten)]
        state: StatePage,
        judging: Option<Value>,
    }
    let Watch { after, wait, name } = match watch(query, "the table", &["name", "generation"]) {
        Ok(asked) => asked,
        Err(why) => return refuse(StatusCode::BAD_REQUEST, why),
    };
    let Some(name) = name else {
        if !query.is_empty() {
            return refuse(
                StatusCode::BAD_REQUEST,
                "name: is missing; without a query the state is answered",
            );
        }
        let (state, judging) = host.state_page();
        return json_page(&Page { state, judging });
    };
    let until = Instant::now() + wait;
    let mut tables = host.tables.subscribe();
    loop {
        tables.borrow_and_update();
        let (revision, text) = match host.meant_for(&name) {
            Ok(meant) => meant,
            Err(e) => return refuse(StatusCode::INTERNAL_SERVER_ERROR, e),
        };
        // An older one than is held is no news: a registry that lost state must not take a fleet back.
        let news = after.is_none_or(|after| revision > after);
        if news || !matches!(timeout_at(until, tables.changed()).await, Ok(Ok(()))) {
            return page(StatusCode::OK, text);
        }
    }
}

async fn report(request: Request<Incoming>, host: &Host, context: &Context) -> Answer {
    let text = match bytes(request, &context.reports, MAX_REPORT, context).await {
        Ok(text) => text,
        Err(refusal) => return refusal,
    };
    match serde_json::from_slice::<Report>(&text) {
        Err(e) => refuse(StatusCode::BAD_REQUEST, e),
        Ok(report) => match host.report(report) {
            Ok(()) => page(StatusCode::OK, "{}"),
            Err(why) => refuse(StatusCode::from_u16(why.status()).unwrap_or(StatusCode::BAD_REQUEST), why),
        },
    }
}

/// What drifts, or waits until that changes.
async fn drift(query: &str, host: &Host) -> Answer {
    #[derive(Serialize)]
    struct Page {
        version: u64,
        #[serde(flatten)]
        fleet: DriftPage,
    }
    let Watch { after, wait, .. } = match watch(query, "drift", &[]) {
        Ok(asked) => asked,
        Err(why) => return refuse(StatusCode::BAD_REQUEST, why),
    };
    if let Some(after) = after {
        let mut findings = host.findings.subscribe();
        // Another version than the newest is an older one, or of another start: either way there is news.
        let _ = tokio::time::timeout(wait, findings.wait_for(|version| *version != after)).await;
    }
    let (version, fleet) = host.drift_page();
    json_page(&Page { version, fleet })
}

/// A recorded segment, as the proxy packed it.
async fn segment(request: Request<Incoming>, host: &Host, context: &Context) -> Answer {
    let packed: Bytes = match bytes(request, &context.traces, MAX_ENCODED, context).await {
        Ok(packed) => packed,
        Err(refusal) => return refusal,
    };
    let Some(answered) = host.traces.hand(packed, host.now()) else {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "too many segments at once; send it again in a second",
        );
    };
    match answered.await {
        Ok(Ok(left_out)) => json_page(&json!({"taken": left_out.is_none(), "left_out": left_out})),
        Ok(Err(why @ RingError::Bad(BadSegment::TooLong { .. } | BadSegment::Swells))) => {
            refuse(StatusCode::PAYLOAD_TOO_LARGE, why)
        }
        Ok(Err(why @ RingError::Storage(_))) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
        Ok(Err(why)) => refuse(StatusCode::BAD_REQUEST, why),
        Err(_) => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, "segments are no longer taken: restart the registry")
        }
    }
}
