//! HTTP calls to the platform with a timeout.

use minreq::{Request, Response};

/// Timeout of a call; minreq takes whole seconds.
const TIMEOUT_SECS: u64 = 2;
/// Status of a call refused by the rate limit of the platform service.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;

/// Sends a request; returns `None` if no answer came.
pub(crate) fn send(request: Request) -> Option<Response> {
    let request = request
        .with_timeout(TIMEOUT_SECS)
        .with_follow_redirects(false);
    let answer = request.with_header("Connection", "close").send().ok();
    answer.filter(|response| transport::has_status_line(&response.reason_phrase))
}
