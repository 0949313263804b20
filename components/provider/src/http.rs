//! Plain JSON calls with a bounded time.

use minreq::{Request, Response};

/// Longest time of a call, in seconds; minreq counts whole seconds.
const TIMEOUT_SECS: u64 = 2;
/// Status of a call that the service's rate limit refused.
pub(crate) const TOO_MANY: u16 = 429;

/// Sends a request; `None` says that no answer came.
pub(crate) fn send(request: Request) -> Option<Response> {
    let request = request
        .with_timeout(TIMEOUT_SECS)
        .with_follow_redirects(false);
    let answer = request.with_header("Connection", "close").send().ok();
    answer.filter(|response| transport::has_status_line(&response.reason_phrase))
}
