//! Calls of plain HTTP services: method, path, headers and body are forwarded, and the answer is
//! returned.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

use crate::blocking::{call as call_blocking, CallLimits};
use crate::connection::FullBody;
use crate::engine::AttemptEnd;

/// Headers that apply to one connection and are not forwarded: hop-by-hop headers, and
/// `content-length`, `host` and `expect`.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];
/// Headers meant for croftpond, which are not forwarded to the service.
const CROFTPOND_HEADERS: &[&str] = &["authorization"];

/// A call to forward.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers; those that apply to one connection, and `authorization`, are not forwarded.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Largest answer accepted, in bytes.
    pub max_answer_bytes: usize,
    /// Timeout of the call, in seconds; 0 counts as 1.
    pub timeout_secs: u64,
}

/// The answer of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// Status.
    pub status: u16,
    /// Headers, without those that apply to one connection.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Makes the call and reads the whole answer.
///
/// Fails with [`AttemptEnd::NotStarted`] if the connection was refused or the call is no HTTP request, otherwise with
/// [`AttemptEnd::Broken`], also if the answer is larger than `max_answer_bytes` or not valid.
pub fn call_service(address: &str, call: &ServiceCall) -> Result<ServiceReply, AttemptEnd> {
    let request = build_request(call).ok_or(AttemptEnd::NotStarted)?;
    let limits = CallLimits {
        timeout: Some(Duration::from_secs(call.timeout_secs.max(1))),
        max_body_bytes: call.max_answer_bytes,
    };
    let answer = call_blocking(address, request, limits)?;
    let headers = text_headers(&answer.headers).ok_or(AttemptEnd::Broken)?;
    Ok(ServiceReply {
        status: answer.status.as_u16(),
        headers: end_to_end_headers(&headers, &[]).collect(),
        body: answer.body.into(),
    })
}

fn build_request(call: &ServiceCall) -> Option<Request<FullBody>> {
    let mut request = Request::new(FullBody::new(call.body.clone().into()));
    *request.method_mut() = Method::from_bytes(call.method.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(&call.path).ok()?;
    for (name, value) in end_to_end_headers(&call.headers, CROFTPOND_HEADERS) {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_str(&value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}

fn text_headers(headers: &HeaderMap) -> Option<Vec<(String, String)>> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = std::str::from_utf8(value.as_bytes()).ok()?;
        Some((name.to_string(), value.to_string()))
    };
    headers.iter().map(text).collect()
}

// Headers that `Connection` lists apply to one connection too.
fn end_to_end_headers<'a>(
    headers: &'a [(String, String)],
    also_dropped: &'a [&str],
) -> impl Iterator<Item = (String, String)> + 'a {
    let listed: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = move |name: &str| {
        let name = name.to_ascii_lowercase();
        let drop =
            CONNECTION_HEADERS.contains(&name.as_str()) || also_dropped.contains(&name.as_str());
        !drop && !listed.contains(&name)
    };
    headers
        .iter()
        .filter(move |(name, _)| is_forwarded(name))
        .cloned()
}
