//! The registry's HTTP/1.1 interface.
//!
//! Each connection has its own task. A handler reads the shared state, or sends a write to the writer thread and waits
//! for the reply. `server.rs` accepts connections, and `route` in this file selects the handler of a call.

mod answer;
mod body;
mod context;
mod leases;
mod lists;
mod query;
mod request_body;
mod route_table;
mod server;
mod write_reply;

pub(crate) use context::Limits;
pub(crate) use server::serve;

use answer::{HandlerResult, Rejection};
use context::Context;
use hyper::{Method, Request, StatusCode};
use request_body::RequestBody;
use route_table::RouteTablePath;

/// Reason answered to a call for an unknown path.
const NO_PATH: &str = "no such path; the list is at /registry/instances, the leases are at /registry/leases";

/// Dispatches a call to its handler.
async fn route(request: Request<RequestBody>, context: &Context) -> HandlerResult {
    let path = request.uri().path().to_string();
    let method = request.method().clone();
    let query = request.uri().query().unwrap_or("").to_string();
    query::check_not_per_service(&path, &query).map_err(Rejection::bad_request)?;
    match path.as_str() {
        "/registry/instances" => match method {
            Method::GET => lists::read_list(&query, &context.shared).await,
            Method::PUT => lists::write_entries(&query, request, context).await,
            _ => Err(Rejection::method_not_allowed("GET reads the list, PUT registers")),
        },
        "/registry/leases" => match method {
            Method::GET => Ok(leases::list_leases(&context.shared)),
            Method::PUT | Method::DELETE => leases::request_lease(request, context).await,
            _ => Err(Rejection::method_not_allowed(
                "GET reads the leases, PUT acquires or renews, DELETE releases",
            )),
        },
        path => match (&context.shared.route_table, RouteTablePath::parse(path)) {
            (Some(service), Some(path)) => route_table::handle(path, request, service, context).await,
            _ => Err(Rejection::new(StatusCode::NOT_FOUND, NO_PATH)),
        },
    }
}
