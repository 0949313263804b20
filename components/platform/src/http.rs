//! Plain JSON calls with a bounded time.

use minreq::{Request, Response};

/// Longest time of a call, in seconds; minreq counts whole seconds.
const TIMEOUT_SECS: u64 = 2;
/// Status of a call that the service's rate limit refused.
pub(crate) const TOO_MANY: u16 = 429;

/// minreq gives a connection that closed without an answer this reason, with status 503.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Sends a request; `None` says that no answer came.
pub(crate) fn send(request: Request) -> Option<Response> {
    let request = request
        .with_timeout(TIMEOUT_SECS)
        .with_follow_redirects(false);
    let answer = request.with_header("Connection", "close").send().ok();
    answer.filter(|response| response.reason_phrase != NO_STATUS_LINE)
}
