//! `/registry/routes`, `/registry/reports`, `/registry/drift` and `/registry/traces`: the route table, proxies'
//! reports, the drift of the fleet and recorded segments. All state is in `crate::route_table`; proposals go to the
//! writer thread.

use super::answer::{HandlerResult, Rejection, encoded, encoding_failed, json_page};
use super::context::Context;
use super::query::{WatchQuery, watch};
use super::request_body::RequestBody;
use super::write_reply::write_and_answer;
use crate::route_table::{RouteTableService, SegmentError};
use crate::writer::{Fence, WriteOperation};
use hyper::{Method, Request, StatusCode};
use load_balancer::replay::BadSegment;
use load_balancer::route_table::{Proposal, Report, Revision, Weights};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, timeout, timeout_at};

/// The duty whose holder may make proposals.
const PROPOSER_DUTY: &str = "routes";

/// A path of the route table's HTTP interface.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RouteTablePath {
    /// `/registry/routes`: the table and its proposals.
    Routes,
    /// `/registry/reports`: proxies' reports.
    Reports,
    /// `/registry/drift`: the findings of the drift detector.
    Drift,
    /// `/registry/traces`: recorded segments.
    Traces,
}

impl RouteTablePath {
    /// Parses the path of a call; `None` if it is not one of the route table's.
    pub(super) fn parse(path: &str) -> Option<RouteTablePath> {
        Some(match path {
            "/registry/routes" => RouteTablePath::Routes,
            "/registry/reports" => RouteTablePath::Reports,
            "/registry/drift" => RouteTablePath::Drift,
            "/registry/traces" => RouteTablePath::Traces,
            _ => return None,
        })
    }
}

/// The body of a proposal.
#[derive(Deserialize)]
// "Propose" is kept, since error texts in answers contain it ("expected struct Propose").
#[serde(rename = "Propose", deny_unknown_fields)]
struct ProposalBody {
    from: Revision,
    weights: Weights,
    by: String,
    #[serde(default, rename = "override")]
    override_reason: Option<String>,
    fence: Fence,
}

/// Dispatches a call to its handler by path and method.
pub(super) async fn handle(
    path: RouteTablePath,
    request: Request<RequestBody>,
    service: &RouteTableService,
    context: &Context,
) -> HandlerResult {
    let is_get = request.method() == Method::GET;
    let is_put = request.method() == Method::PUT;
    let query = request.uri().query().unwrap_or("").to_string();
    let allowed = match path {
        RouteTablePath::Routes if is_get => return read_table(&query, service).await,
        RouteTablePath::Routes if is_put => return propose(request, context).await,
        RouteTablePath::Routes => "GET reads the table, PUT proposes another",
        RouteTablePath::Reports if is_put => return take_report(request, service, context).await,
        RouteTablePath::Reports => "PUT reports; what comes of it is at /registry/drift",
        RouteTablePath::Drift if is_get => return read_drift(&query, service).await,
        RouteTablePath::Drift => "GET reads the findings",
        RouteTablePath::Traces if is_get => return json_page(&service.traces.ring.page()),
        RouteTablePath::Traces if is_put => return store_segment(request, service, context).await,
        RouteTablePath::Traces => "GET tells what is held, PUT sends a segment",
    };
    Err(Rejection::method_not_allowed(allowed))
}

/// PUT `/registry/routes`: proposes another table.
async fn propose(request: Request<RequestBody>, context: &Context) -> HandlerResult {
    let body: ProposalBody = context.write_bodies.json(request).await?;
    let ProposalBody { from, weights, by, override_reason, fence } = body;
    if fence.duty != PROPOSER_DUTY {
        return Err(Rejection::bad_request(format!(
            "fence: duty must be {PROPOSER_DUTY:?}; acquire it at /registry/leases"
        )));
    }
    let proposal = Proposal { from, weights, by, override_reason };
    write_and_answer(WriteOperation::Proposal { proposal, fence }, &context.writes).await
}

/// GET `/registry/routes`: without a query, the state of the table. With `name`, the target table of that proxy; with
/// `after` as well, it waits up to `wait_ms` for a table with a higher revision.
async fn read_table(query: &str, service: &RouteTableService) -> HandlerResult {
    let WatchQuery { after, wait, name } =
        watch(query, "the table", &["name", "generation"]).map_err(Rejection::bad_request)?;
    let Some(name) = name else {
        if !query.is_empty() {
            return Err(Rejection::bad_request("name: is missing; without a query the state is answered"));
        }
        return json_page(&service.state_page());
    };
    let deadline = Instant::now() + wait;
    let mut tables = service.tables.subscribe();
    loop {
        tables.borrow_and_update();
        let (revision, table) = service.table_for(&name).map_err(encoding_failed)?;
        // Failure: a registry that lost its state has an older table, and would return the fleet to it at once. A
        // revision older than the proxy's therefore does not end the wait, and the proxy does not apply it.
        let is_newer = after.is_none_or(|after| revision > after);
        if is_newer || !matches!(timeout_at(deadline, tables.changed()).await, Ok(Ok(()))) {
            return Ok(encoded(table));
        }
    }
}

/// PUT `/registry/reports`: receives a proxy's report.
async fn take_report(
    request: Request<RequestBody>,
    service: &RouteTableService,
    context: &Context,
) -> HandlerResult {
    let report: Report = context.report_bodies.json(request).await?;
    match service.report(report) {
        Ok(()) => Ok(encoded("{}")),
        Err(why) => {
            let status = StatusCode::from_u16(why.status()).unwrap_or(StatusCode::BAD_REQUEST);
            Err(Rejection::new(status, why))
        }
    }
}

/// GET `/registry/drift`: the findings. With `after` it waits up to `wait_ms` until they have another version.
async fn read_drift(query: &str, service: &RouteTableService) -> HandlerResult {
    let WatchQuery { after, wait, .. } = watch(query, "drift", &[]).map_err(Rejection::bad_request)?;
    if let Some(after) = after {
        let mut findings = service.findings.subscribe();
        // Any version other than the present one ends the wait: it is older or from an earlier start of the registry.
        let _ = timeout(wait, findings.wait_for(|version| *version != after)).await;
    }
    json_page(&service.drift_page())
}

/// PUT `/registry/traces`: stores a recorded segment, as the proxy packed it.
async fn store_segment(
    request: Request<RequestBody>,
    service: &RouteTableService,
    context: &Context,
) -> HandlerResult {
    let packed = context.segment_bodies.bytes(request).await?;
    let Some(outcome) = service.traces.store(packed, service.now_ms()) else {
        return Err(Rejection::unavailable("too many segments at once; send it again in a second"));
    };
    match outcome.await {
        Ok(Ok(skipped)) => json_page(&json!({"taken": skipped.is_none(), "left_out": skipped})),
        Ok(Err(error)) => Err(Rejection::new(segment_error_status(&error), error)),
        Err(_) => Err(Rejection::unavailable("segments are no longer taken: restart the registry")),
    }
}

fn segment_error_status(error: &SegmentError) -> StatusCode {
    match error {
        SegmentError::Bad(BadSegment::TooLong { .. } | BadSegment::UnpackedTooLong) => {
            StatusCode::PAYLOAD_TOO_LARGE
        }
        SegmentError::Storage(_) => StatusCode::SERVICE_UNAVAILABLE,
        SegmentError::Bad(_) | SegmentError::Ahead(_) => StatusCode::BAD_REQUEST,
    }
}
