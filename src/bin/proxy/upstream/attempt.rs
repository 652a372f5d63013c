//! One attempt: sent, read, and what its ending means.

use super::pool::{Link, Place, Pool};
use super::{Call, End, Served, Target};
use crate::body::{self, Paced, Room};
use bytes::{Bytes, BytesMut};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use load_balancer::interface::Outcome;
use std::future::pending;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

/// An answer that does not tell its length and is not whole so long after its first bytes is passed on as it comes. Where
/// less time is left than this, its attempt is given up before.
const EARLY: Duration = Duration::from_millis(300);
/// What flows is broken off so long after its client stopped waiting. Late answers earn nothing and count as lost after
/// half a second, whatever the settings; one that breaks off has failed.
const OVERDUE: Duration = Duration::from_millis(250);
/// An overtaken attempt's answer is awaited so long, to keep its connection: longer than most work takes. Nobody waits
/// for it, and its places are few, so that longer work only costs a connection.
const DRAIN: Duration = Duration::from_secs(5);
/// Connections on which overtaken answers are awaited, as a share of all.
const DRAIN_SHARE: usize = 4;

/// One attempt: when it must end, and who may call it off.
pub struct Attempt {
    /// The request.
    pub call: Rc<Call>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// When it is given up.
    pub not_past: Instant,
    /// A repeat that comes later would run again.
    pub begin_by: Option<Instant>,
    /// Withdraws it.
    pub cancelled: oneshot::Receiver<()>,
}

impl Attempt {
    /// Carries the attempt out and reports its end, once. The connection of an attempt that was given up is
    /// kept for a while after that: here no backend stops its work, so that closing would spare nothing
    /// and cost both sides a new connection.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(End)) {
        let Attempt { call, target, not_past, begin_by, cancelled } = self;
        let mut given_up = pin!(async {
            let cancelled = async {
                if cancelled.await.is_err() {
                    pending().await
                }
            };
            tokio::select! {
                biased;
                () = call.late(not_past) => Outcome::Timeout,
                () = cancelled => Outcome::Cancelled,
            }
        });
        // Without its last byte it is no request, and its sender's pace says nothing of the backend.
        let unserved = |given_up| End::Unserved(if call.came() { given_up } else { Outcome::NotSent });
        let link = tokio::select! {
            biased;
            // Given up in the very step in which its connection came up, nothing of it is written.
            given_up = &mut given_up => return report(unserved(given_up)),
            link = link(&pool, &call, &target) => link,
        };
        let link = match link {
            // Its dial may have come up long after it was decided.
            Ok(_) if begin_by.is_some_and(|by| Instant::now() >= by) => Err(Outcome::NotSent),
            link => link,
        };
        let link = match link {
            Ok(link) => link,
            Err(outcome) => return report(End::Unserved(outcome)),
        };
        let progress = link.progress.clone();
        let mut exchange = pin!(exchange(link, &pool, &call, &target, not_past));
        let given_up = tokio::select! {
            biased;
            end = &mut exchange => return report(end),
            given_up = &mut given_up => given_up,
        };
        let whole = progress.whole();
        if !whole {
            progress.abandon();
        }
        report(unserved(given_up));
        if whole && pool.limits.may_duplicate {
            let most = pool.limits.own() / DRAIN_SHARE;
            if let Some(_place) = Place::take(&pool.draining, most) {
                // Whether it came or not, nobody waits for the answer itself.
                let _ = timeout_at(Instant::now() + DRAIN, exchange).await;
            }
        }
    }
}

/// A connection on which the request may be sent.
async fn link(pool: &Rc<Pool>, call: &Call, target: &Rc<Target>) -> Result<Link, Outcome> {
    let link = match pool.reuse(target.dial) {
        Some(link) => link,
        None => pool.connect(target.dial).await?,
    };
    // The connect may have begun before the backend was told to drain and ended long after: by then a send
    // would break the drain. Half the grace leaves room for a late loop and a slow write.
    if target.drained.get().is_some_and(|told| told.elapsed() > pool.limits.drain_grace / 2) {
        return Err(Outcome::NotSent);
    }
    if call.left() {
        return Err(Outcome::NotSent);
    }
    Ok(link)
}

/// Sends the request and reads its answer.
async fn exchange(
    mut link: Link,
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    not_past: Instant,
) -> End {
    let Some(request) = call.request(&link.progress, not_past) else {
        return End::Unserved(Outcome::NotSent);
    };
    let answer = match link.sender.send_request(request).await {
        Ok(answer) => answer,
        Err(_) if !call.came() && call.broken() => return End::Unserved(Outcome::NotSent),
        // Only the connection knows whether the backend can have the whole request.
        Err(_) if link.progress.whole() => return End::Unserved(Outcome::Reset),
        Err(_) => return End::Unserved(Outcome::ConnectFailed),
    };
    let early = !link.progress.whole();
    let end = read(answer, &pool.room, call.due()).await;
    // A backend begins with a request's last byte: what comes before that is no answer to it, but it may well be turned
    // away by then. What is left of the request is never written.
    if early && end.outcome() != Outcome::Rejected {
        let ran = link.progress.whole();
        link.progress.abandon();
        return End::Unserved(if ran { Outcome::Reset } else { Outcome::ConnectFailed });
    }
    if end.outcome() != Outcome::Reset {
        let (pool, target) = (pool.clone(), target.clone());
        tokio::task::spawn_local(async move {
            if link.sender.ready().await.is_ok() {
                pool.keep(&target, link);
            }
        });
    }
    end
}

/// What an answer means.
async fn read(answer: Response<hyper::body::Incoming>, room: &Rc<Room>, due: Instant) -> End {
    let (head, body) = answer.into_parts();
    // Told two framings, the HTTP library takes the chunks; nobody knows which one the backend meant.
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        return End::Unserved(Outcome::Reset);
    }
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    // An answer that breaks off is none: the request may have run.
    let Ok(mut served) = hold(Paced::new(body, body::BACKEND), room).await else {
        return End::Unserved(Outcome::Reset);
    };
    if let Some(rest) = &mut served.rest {
        rest.end_by(due + OVERDUE);
    }
    match head.status {
        StatusCode::OK => End::Served(served),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            End::Unserved(Outcome::Rejected)
        }
        StatusCode::BAD_REQUEST => End::Unserved(Outcome::Malformed),
        _ => End::Unserved(Outcome::Error),
    }
}

/// Small answers whole, of longer ones the first bytes: those are timed, and the rest is not to be held back.
async fn hold(mut body: Paced, room: &Rc<Room>) -> io::Result<Served> {
    let (length, mut held) = (body.left(), BytesMut::new());
    let Some(first) = body.next().await? else {
        return Ok(Served { data: Bytes::new(), rest: None, room: None });
    };
    let Some(mut room) = room.take(length) else {
        return Ok(Served { data: first, rest: Some(body), room: None });
    };
    held.extend_from_slice(&first);
    let whole = match length {
        Some(_) => body.hold(&mut held).await?,
        None => timeout(EARLY, body.hold(&mut held)).await.unwrap_or(Ok(false))?,
    };
    room.shrink(held.len());
    Ok(Served { data: held.freeze(), rest: (!whole).then_some(body), room: Some(room) })
}
