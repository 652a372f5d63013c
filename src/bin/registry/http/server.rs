//! Accepts connections and serves their calls.

use super::answer::Answer;
use super::context::{Context, Limits};
use super::request_body::RequestBody;
use super::route;
use crate::writer::{Shared, WriteQueue};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_io_timeout::TimeoutStream;
use tracing::{debug, warn};

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>, writes: WriteQueue, limits: Limits) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let context = Arc::new(Context::new(shared, writes, limits));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Failure: the process has no free descriptors, and every attempt to accept fails immediately.
                // Without a delay this loop would use up a core until descriptors are closed.
                warn!(error = %e, "accepting a connection failed; retrying after a delay");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            debug!(%peer, "connection closed: the maximum number of connections is open");
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            serve_connection(stream, peer, context, limits.io_timeout).await;
            drop(permit);
        });
    }
}

/// Serves a connection until its client closes it or exceeds a timeout.
///
/// Failure: a client that sends nothing, or reads nothing of its answer, would keep its connection open forever, and
/// a few thousand of them would take every permit. `io_timeout` bounds the time until the head of each request has
/// arrived, and the time of each write.
async fn serve_connection(stream: TcpStream, peer: SocketAddr, context: Arc<Context>, io_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(io_timeout));
    let service = service_fn(move |request| handle(request, context.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(io_timeout)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    if let Err(e) = connection.await {
        debug!(%peer, error = %e, "connection ended");
    }
}

async fn handle(request: Request<Incoming>, context: Arc<Context>) -> Result<Answer, Infallible> {
    Ok(route(request.map(RequestBody::new), &context).await.unwrap_or_else(Answer::from))
}
