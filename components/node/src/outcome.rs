//! The errors that a request without its whole answer ends with.

use errors::{Kind, Problem};
use session::Reason;

/// Time to come back when no endpoint is left.
const NO_ENDPOINT_RETRY_MS: u64 = 500;

/// The error of a request that was not run.
pub fn refusal(reason: Reason) -> Problem {
    let problem = Problem::not_run(kind_of(reason), message_of(reason));
    match reason {
        Reason::NoEndpoint | Reason::Attempts => problem.with_retry_after_ms(NO_ENDPOINT_RETRY_MS),
        Reason::Deadline | Reason::NotRepeatable => problem,
    }
}

/// The error of a request that may have run.
pub fn failure(reason: Reason) -> Problem {
    Problem::maybe_run(kind_of(reason), message_of(reason))
}

fn kind_of(reason: Reason) -> Kind {
    match reason {
        Reason::Deadline => Kind::DeadlinePassed,
        Reason::NoEndpoint => Kind::NoEndpoint,
        Reason::Attempts | Reason::NotRepeatable => Kind::EndpointFailed,
    }
}

fn message_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Deadline => "the deadline passed before the whole answer was there",
        Reason::NoEndpoint => "no endpoint of the pool can be used",
        Reason::Attempts => "every attempt failed",
        Reason::NotRepeatable => "the endpoint failed and the request must not be run again",
    }
}
