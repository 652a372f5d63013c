//! Checks a request's head. An invalid one is answered with an error status.

use super::Downstream;
use super::respond::{Reply, empty_response};
use crate::engine::millis;
use crate::sent_ids::IdHash;
use hyper::header::{ALLOW, HOST, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use load_balancer::interface::Idempotency;
use percent_encoding::percent_decode_str;
use std::time::Duration;

/// Longest timeout that a client may request, unless a class in the settings has a longer one.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(600);

/// The error response to an invalid request.
pub(super) type ErrorReply = Box<Reply>;

/// The validated contents of a request's head.
pub(super) struct CheckedHead {
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) id: HeaderValue,
    pub(super) host: Option<HeaderValue>,
    pub(super) uri: Uri,
    pub(super) client_timeout: Duration,
    pub(super) idempotency_key: Option<HeaderValue>,
    pub(super) id_hash: Option<IdHash>,
    pub(super) ordering_key: Option<String>,
}

impl Downstream {
    /// Validates the path, the headers and the method, in this order.
    pub(super) fn check_head(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        has_no_body: bool,
    ) -> Result<CheckedHead, ErrorReply> {
        let class = class_of(&self.platform.site.classes, uri.path());
        let class = class.ok_or_else(|| error_reply(StatusCode::NOT_FOUND))?;
        let id = own_copy(single_value(headers, "req-id").ok_or_else(bad_request)?);
        let tenant = self.tenant_of(headers).ok_or_else(bad_request)?;
        let client_timeout = self.client_timeout(headers).ok_or_else(bad_request)?;
        let idempotency_key = single_value(headers, "idempotency-key").map(own_copy);
        let (allowed, needs_key) = match self.platform.settings.classes[class].idempotency {
            Idempotency::Idempotent => (Method::GET, None),
            Idempotency::Keyed { .. } => (Method::POST, Some(true)),
            Idempotency::NonIdempotent => (Method::POST, Some(false)),
        };
        if *method != allowed {
            return Err(method_not_allowed(&allowed));
        }
        if needs_key.is_some_and(|needed| needed != idempotency_key.is_some())
            || needs_key.is_none() && !has_no_body
        {
            return Err(bad_request());
        }
        let ordering_key = uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let ordering_key = ordering_key.filter(|key| !key.is_empty()).map(str::to_string);
        let host = headers.get(HOST).map(own_copy);
        let uri = uri.path_and_query().and_then(|path| Uri::try_from(path.as_str()).ok());
        let uri = uri.ok_or_else(bad_request)?;
        let id_hash = needs_key.map(|_| IdHash::new(&id, &uri));
        Ok(CheckedHead {
            class,
            tenant,
            id,
            id_hash,
            host,
            uri,
            client_timeout,
            idempotency_key,
            ordering_key,
        })
    }

    /// Returns the index of the tenant that the headers name. The name may contain non-ASCII bytes.
    fn tenant_of(&self, headers: &HeaderMap) -> Option<usize> {
        let tenants = &self.platform.site.tenants;
        if tenants.is_empty() {
            return Some(0);
        }
        let owner = single_value(headers, "req-owner").map(HeaderValue::as_bytes);
        tenants.iter().position(|tenant| Some(tenant.as_bytes()) == owner)
    }

    /// Returns the client's timeout from its headers, at most the longest one that is allowed.
    fn client_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let timeout_ms = single_value(headers, "req-deadline-ms")?.to_str().ok()?.parse().ok()?;
        let longest = MAX_CLIENT_TIMEOUT.max(millis(self.platform.site.longest_client_timeout_ms));
        Some(Duration::from_millis(timeout_ms).min(longest))
    }
}

pub(super) fn error_reply(status: StatusCode) -> ErrorReply {
    Box::new(empty_response(status))
}

pub(super) fn bad_request() -> ErrorReply {
    error_reply(StatusCode::BAD_REQUEST)
}

fn method_not_allowed(allowed: &Method) -> ErrorReply {
    let mut reply = empty_response(StatusCode::METHOD_NOT_ALLOWED);
    let allow = HeaderValue::from_static(if *allowed == Method::GET { "GET" } else { "POST" });
    reply.headers_mut().insert(ALLOW, allow);
    Box::new(reply)
}

/// Returns the index of the class whose name is a prefix of the path, as received or percent-decoded. Class names may
/// contain slashes; the longest match wins.
fn class_of(names: &[String], path: &str) -> Option<usize> {
    let begins = |path: &str, name: &str| {
        path.strip_prefix(name).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let find = |path: &str| {
        let matching = names.iter().enumerate().filter(|(_, name)| begins(path, name));
        matching.max_by_key(|(_, name)| name.len()).map(|(index, _)| index)
    };
    let path = path.strip_prefix('/').unwrap_or(path);
    let decoded = || percent_decode_str(path).decode_utf8().ok().and_then(|path| find(&path));
    find(path).or_else(|| find(path.trim_start_matches('/'))).or_else(decoded)
}

/// Returns a copy of a header's value. The value itself would keep the buffer of its whole head.
fn own_copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Returns the value of a header that must occur exactly once and must not be empty.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}
