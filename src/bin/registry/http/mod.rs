//! The registry's calls over HTTP/1.1.

mod answer;
mod context;
mod leases;
mod lists;
mod query;
mod route_table;
mod write_reply;

pub use context::Limits;

use crate::writer::{Shared, WriteQueue};
use answer::{Answer, refuse};
use context::{Context, NO_PATH};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_io_timeout::TimeoutStream;
use tracing::{debug, warn};

/// Serves for ever.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, writes: WriteQueue, limits: Limits) {
    let places = Arc::new(Semaphore::new(limits.connections));
    let context = Arc::new(Context::new(shared, writes, limits));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Out of descriptors, most likely: wait for some to come back rather than spin.
                warn!(error = %e, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            debug!(%peer, "connection closed: every place is taken");
            continue;
        };
        let _ = stream.set_nodelay(true);
        let context = context.clone();
        // One who takes nothing of its answer is let go, as one who sends nothing is.
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(limits.header_timeout));
        tokio::spawn(async move {
            let service = service_fn(move |request| handle(request, context.clone()));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.header_timeout)
                .serve_connection(TokioIo::new(Box::pin(stream)), service);
            if let Err(e) = connection.await {
                debug!(%peer, error = %e, "connection ended");
            }
            drop(place);
        });
    }
}

async fn handle(
    request: Request<Incoming>,
    context: Arc<Context>,
) -> Result<Answer, std::convert::Infallible> {
    let (get, put, delete) = (&Method::GET, &Method::PUT, &Method::DELETE);
    let query = request.uri().query().unwrap_or("").to_string();
    let not_so = |why| refuse(StatusCode::METHOD_NOT_ALLOWED, why);
    if let Some(why) = query::not_per_service(request.uri().path(), &query) {
        return Ok(refuse(StatusCode::BAD_REQUEST, why));
    }
    Ok(match (request.uri().path(), request.method()) {
        ("/registry/instances", m) if m == get => lists::read(&query, &context.shared).await,
        ("/registry/instances", m) if m == put => lists::write(&query, request, &context).await,
        ("/registry/instances", _) => not_so("GET reads the list, PUT registers"),
        ("/registry/leases", m) if m == get => leases::leases(&context.shared),
        ("/registry/leases", m) if m == put || m == delete => leases::lease(request, &context).await,
        ("/registry/leases", _) => not_so("GET reads the leases, PUT acquires or renews, DELETE releases"),
        (path, _) => match (&context.shared.routes, route_table::Path::of(path)) {
            (Some(host), Some(path)) => route_table::answer(path, request, host, &context).await,
            _ => refuse(StatusCode::NOT_FOUND, NO_PATH),
        },
    })
}
