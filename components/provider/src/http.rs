//! HTTP calls to the platform with a timeout.

use std::time::Duration;

use http::{Method, Request, Uri};
use transport::{call, CallLimits, FullBody, WholeAnswer};

/// Limits of a call. Bodies are rows, objects and lists of VMs.
const LIMITS: CallLimits = CallLimits {
    timeout: Some(Duration::from_secs(2)),
    max_body_bytes: 16 << 20,
};
/// Port of a URL that names none.
const DEFAULT_PORT: u16 = 80;
/// Status of a call refused by the rate limit of the platform service.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;

/// Gets a URL; returns `None` if no whole, valid answer came.
pub(crate) fn get(url: &str) -> Option<WholeAnswer> {
    send(Method::GET, url, String::new())
}

/// Sends a request to a URL; returns `None` if no whole, valid answer came.
pub(crate) fn send(method: Method, url: &str, body: String) -> Option<WholeAnswer> {
    let url: Uri = url.parse().ok()?;
    let port = url.port_u16().unwrap_or(DEFAULT_PORT);
    let address = format!("{}:{port}", url.host()?);
    let mut request = Request::new(FullBody::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = url.path_and_query()?.clone().into();
    call(&address, request, LIMITS).ok()
}
