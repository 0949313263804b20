//! Calls of plain services: any method and path, headers and body passed through both ways.

use std::io::Read;

use crate::engine::{end_of, has_status_line, AttemptEnd};

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: &[&str] = &[
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
/// Headers between caller and croftpond that the service does not see.
const OURS: &[&str] = &["authorization"];

/// A call to pass on.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers; those of one hop are dropped when the call is made.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Largest answer accepted, in bytes.
    pub max_answer_bytes: usize,
    /// Longest time of the call, in seconds.
    pub timeout_secs: u64,
}

/// An answer to pass back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// Status.
    pub status: u16,
    /// Headers, without those of one hop.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Makes the call and reads the whole answer.
pub fn call_service(address: &str, call: &ServiceCall) -> Result<ServiceReply, AttemptEnd> {
    let url = format!("http://{address}{}", call.path);
    let mut request = minreq::Request::new(minreq::Method::Custom(call.method.clone()), url)
        .with_follow_redirects(false)
        .with_timeout(call.timeout_secs.max(1))
        .with_header("Connection", "close")
        .with_body(call.body.clone());
    for (name, value) in end_to_end(&call.headers, OURS) {
        request = request.with_header(name, value);
    }
    let response = request.send_lazy().map_err(|e| end_of(&e))?;
    match has_status_line(&response.reason_phrase) {
        true => read_reply(response, call.max_answer_bytes),
        false => Err(AttemptEnd::Broken),
    }
}

fn read_reply(response: minreq::ResponseLazy, most: usize) -> Result<ServiceReply, AttemptEnd> {
    let status = response.status_code;
    let headers: Vec<(String, String)> = end_to_end(&response.headers, &[]).collect();
    let mut body = Vec::new();
    response
        .take(most as u64 + 1)
        .read_to_end(&mut body)
        .map_err(|_| AttemptEnd::Broken)?;
    if body.len() > most {
        return Err(AttemptEnd::Broken);
    }
    Ok(ServiceReply {
        status,
        headers,
        body,
    })
}

// Headers that `Connection` names are of this hop too.
fn end_to_end<'a>(
    headers: &'a [(String, String)],
    ours: &'a [&str],
) -> impl Iterator<Item = (String, String)> + 'a {
    let named: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let pass = move |name: &str| {
        let name = name.to_ascii_lowercase();
        let drop = HOP_BY_HOP.contains(&name.as_str()) || ours.contains(&name.as_str());
        !drop && !named.contains(&name)
    };
    headers.iter().filter(move |(name, _)| pass(name)).cloned()
}
