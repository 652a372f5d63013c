//! Reads requests and checks them.

use super::Front;
use super::reply::{Reply, plain};
use crate::body::{self, Paced, Rest};
use crate::counters::Record;
use crate::engine::{Incoming, millis};
use crate::io::{Client, Progress};
use crate::upstream::Call;
use bytes::BytesMut;
use hyper::body::{Body, Incoming as Inflow};
use hyper::header::{ALLOW, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use load_balancer::interface::Idempotency;
use percent_encoding::percent_decode_str;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Longest time that a caller may say it waits, unless a class of the settings has a longer one.
const MAX_PATIENCE: Duration = Duration::from_secs(600);

impl Front {
    /// Reads a request, whole if it is small, or says what is wrong with it.
    pub(super) async fn read(
        &self,
        request: Request<Inflow>,
        seen: &Progress,
        client: &Rc<Client>,
    ) -> Result<(Incoming, Record), Box<Reply>> {
        let (head, body) = request.into_parts();
        let wrong = |status| Box::new(plain(status));
        let class = class(&self.facts.site.classes, head.uri.path());
        let class = class.ok_or_else(|| wrong(StatusCode::NOT_FOUND))?;
        let bad = || wrong(StatusCode::BAD_REQUEST);
        let id = one(&head.headers, "req-id").ok_or_else(bad)?.clone();
        let tenants = &self.facts.site.tenants;
        // A name may have letters beyond ASCII.
        let owner = one(&head.headers, "req-owner").map(HeaderValue::as_bytes);
        let tenant = match owner {
            _ if tenants.is_empty() => 0,
            owner => tenants.iter().position(|t| Some(t.as_bytes()) == owner).ok_or_else(bad)?,
        };
        let patience =
            one(&head.headers, "req-deadline-ms").and_then(|d| d.to_str().ok()?.parse::<u64>().ok());
        let longest = MAX_PATIENCE.max(millis(self.facts.site.longest_client_timeout_ms));
        let patience = Duration::from_millis(patience.ok_or_else(bad)?).min(longest);
        let key = one(&head.headers, "idempotency-key").cloned();
        let (method, keyed) = match self.facts.settings.classes[class].idempotency {
            Idempotency::Idempotent => (Method::GET, None),
            Idempotency::Keyed { .. } => (Method::POST, Some(true)),
            Idempotency::NonIdempotent => (Method::POST, Some(false)),
        };
        if head.method != method {
            let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
            let allow = HeaderValue::from_static(if method == Method::GET { "GET" } else { "POST" });
            reply.headers_mut().insert(ALLOW, allow);
            return Err(Box::new(reply));
        }
        if keyed.is_some_and(|k| k != key.is_some()) || keyed.is_none() && !body.is_end_stream() {
            return Err(bad());
        }
        let about = head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let about = about.filter(|k| !k.is_empty()).map(str::to_string);
        let mut body = Paced::new(body, body::CLIENT);
        let (length, mut held) = (body.left(), BytesMut::new());
        if length.is_some_and(|n| n > body::LARGEST) {
            let reply = wrong(StatusCode::PAYLOAD_TOO_LARGE);
            // Who announced it may well not send it.
            if !head.headers.contains_key(EXPECT) {
                spawn_local(body.drain());
            }
            return Err(reply);
        }
        // What cannot be held is asked for only when there is somebody to pass it on to.
        let mut room = self.room.take(length);
        let flows = room.is_none();
        let whole = !flows
            && body.hold(&mut held).await.map_err(|e| match e.kind() {
                io::ErrorKind::TimedOut => wrong(StatusCode::REQUEST_TIMEOUT),
                _ => bad(),
            })?;
        let received = Instant::now();
        let client = Rc::downgrade(client);
        let rest = (!whole).then(|| Rc::new(Rest::new(body, patience, client.clone())));
        let held = held.freeze();
        if let Some(room) = &mut room {
            room.shrink(held.len());
        }
        let mut record = self.counters.record(class);
        if whole {
            seen.await_head();
            record.taken();
        }
        let host = head.headers.get(HOST).cloned();
        let uri = head.uri.path_and_query().cloned().map(Uri::from).ok_or_else(bad)?;
        let due = received + patience;
        let call = Call { method, uri, host, id, key, held, rest, client, _room: room, due };
        let (class, tenant) = (class as u16, tenant as u16);
        Ok((Incoming { call, class, tenant, key: about, received, patience }, record))
    }
}

/// Place of the class that a path begins with, written as it is or percent-encoded. Names may have slashes: the
/// longest one that fits is meant.
fn class(names: &[String], path: &str) -> Option<usize> {
    let begins = |path: &str, name: &str| {
        path.strip_prefix(name).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let find = |path: &str| {
        let fit = names.iter().enumerate().filter(|(_, name)| begins(path, name));
        fit.max_by_key(|(_, name)| name.len()).map(|(place, _)| place)
    };
    let path = path.strip_prefix('/').unwrap_or(path);
    let decoded = || percent_decode_str(path).decode_utf8().ok().and_then(|path| find(&path));
    find(path).or_else(|| find(path.trim_start_matches('/'))).or_else(decoded)
}

/// A header that must come once, and not empty.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}
