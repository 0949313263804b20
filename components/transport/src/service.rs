//! Calls of plain HTTP services: method, path, headers and body are forwarded, and the answer is
//! returned.

use std::io::Read;

use crate::engine::{end_of_failed_call, has_status_line, AttemptEnd};

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
/// Fails with [`AttemptEnd::NotStarted`] if the connection was refused, otherwise with
/// [`AttemptEnd::Broken`], also if the answer is larger than `max_answer_bytes`.
pub fn call_service(address: &str, call: &ServiceCall) -> Result<ServiceReply, AttemptEnd> {
    let url = format!("http://{address}{}", call.path);
    let mut request = minreq::Request::new(minreq::Method::Custom(call.method.clone()), url)
        .with_follow_redirects(false)
        .with_timeout(call.timeout_secs.max(1))
        .with_header("Connection", "close")
        .with_body(call.body.clone());
    for (name, value) in end_to_end_headers(&call.headers, CROFTPOND_HEADERS) {
        request = request.with_header(name, value);
    }
    let response = request.send_lazy().map_err(|e| end_of_failed_call(&e))?;
    match has_status_line(&response.reason_phrase) {
        true => read_reply(response, call.max_answer_bytes),
        false => Err(AttemptEnd::Broken),
    }
}

fn read_reply(
    response: minreq::ResponseLazy,
    max_bytes: usize,
) -> Result<ServiceReply, AttemptEnd> {
    let status = response.status_code;
    let headers: Vec<(String, String)> = end_to_end_headers(&response.headers, &[]).collect();
    let mut body = Vec::new();
    response
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut body)
        .map_err(|_| AttemptEnd::Broken)?;
    if body.len() > max_bytes {
        return Err(AttemptEnd::Broken);
    }
    Ok(ServiceReply {
        status,
        headers,
        body,
    })
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
