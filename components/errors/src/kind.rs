//! The kinds of error that a caller can receive, with their HTTP status and remedy.

use serde::{Deserialize, Serialize};

/// Whether a request that ended in an error may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MaybeRun {
    /// The request was not dispatched, or the endpoint proved that it did not start it.
    NotRun,
    /// The request was dispatched and its outcome is unknown.
    Unknown,
}

/// Kind of an error; in JSON the name of the variant in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The body is larger than `max_body_bytes`.
    BodyTooLarge,
    /// The headers are larger than allowed.
    HeadersTooLarge,
    /// The body is incomplete, or its format or values are not those that the path expects.
    MalformedBody,
    /// The sender paused for longer than `read_timeout_ms`.
    SlowSender,
    /// A request header that the node interprets has an invalid value.
    BadHeader,
    /// The credential belongs to no team.
    UnknownTeam,
    /// The operator credential is missing or wrong.
    NotOperator,
    /// No pool of the team serves this model or path.
    UnknownRoute,
    /// The node is at its limit of requests in flight, or the gateway has no memory for the body.
    TooManyRequests,
    /// The team's rate, concurrency or budget is used up.
    TeamLimit,
    /// The endpoints have no room for this request, or only for higher priority classes.
    Overloaded,
    /// No endpoint of the pool can be used now.
    NoEndpoint,
    /// Endpoints terminated while they ran this request, so it is sent to no endpoint for a time.
    Quarantined,
    /// The node is stopping.
    Stopping,
    /// The deadline passed.
    DeadlinePassed,
    /// The platform's table did not confirm the claim of the idempotency key in time.
    ClaimUnconfirmed,
    /// The idempotency key was used with another request.
    KeyReused,
    /// A request with this idempotency key is running, or its outcome is unknown.
    OutcomeUnknown,
    /// The endpoint failed and the request may have run.
    EndpointFailed,
    /// The resume token has expired, was altered, or belongs to another team or request.
    BadResumeToken,
    /// Another operator published a configuration after the version that this change is based on.
    Conflict,
    /// The configuration has validation errors.
    BadConfiguration,
    /// The platform's service did not answer in time.
    PlatformUnavailable,
    /// No such path exists.
    NotFound,
}

impl Kind {
    /// HTTP status of the kind.
    pub fn status(self) -> u16 {
        match self {
            Kind::BodyTooLarge => 413,
            Kind::HeadersTooLarge => 431,
            Kind::MalformedBody | Kind::BadHeader | Kind::BadConfiguration => 400,
            Kind::SlowSender => 408,
            Kind::UnknownTeam | Kind::NotOperator | Kind::BadResumeToken => 401,
            Kind::UnknownRoute | Kind::NotFound => 404,
            Kind::TeamLimit => 429,
            Kind::KeyReused => 422,
            Kind::Conflict | Kind::OutcomeUnknown => 409,
            Kind::DeadlinePassed => 504,
            Kind::EndpointFailed => 502,
            Kind::TooManyRequests
            | Kind::Overloaded
            | Kind::NoEndpoint
            | Kind::Quarantined
            | Kind::Stopping
            | Kind::ClaimUnconfirmed
            | Kind::PlatformUnavailable => 503,
        }
    }

    /// What the caller or operator can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            Kind::BodyTooLarge => "send a smaller body or raise max_body_bytes",
            Kind::HeadersTooLarge => "send fewer or shorter headers",
            Kind::MalformedBody => "send the JSON described in docs/interfaces.md",
            Kind::SlowSender => "send the whole request without long pauses",
            Kind::BadHeader => "correct or drop the header named in the message",
            Kind::UnknownTeam => "send the team's credential as `Authorization: Bearer ...`",
            Kind::NotOperator => "send the operator_key of the node's settings",
            Kind::UnknownRoute => "use a model or path that a pool of the team serves",
            Kind::TooManyRequests => "retry after the time given, through the balancer",
            Kind::TeamLimit => "slow down, or ask the operators to raise the team's limit",
            Kind::Overloaded => "retry after the time given, or use a higher class",
            Kind::NoEndpoint => "retry after the time given; operators: see `croftpond status`",
            Kind::Quarantined => {
                "change the request, or retry after the time given; operators: see OPERATIONS"
            }
            Kind::Stopping => "retry at once through the balancer",
            Kind::DeadlinePassed => "allow more time in Croftpond-Deadline-Ms",
            Kind::ClaimUnconfirmed => "retry with the same Idempotency-Key",
            Kind::KeyReused => "use a new Idempotency-Key for a new request",
            Kind::OutcomeUnknown => "ask the service itself before using a new Idempotency-Key",
            Kind::EndpointFailed => "if the call is not repeatable, ask the service what it did",
            Kind::BadResumeToken => "send the newest token with the same body and credential",
            Kind::Conflict => "fetch the newest version, apply the edit again and put it",
            Kind::BadConfiguration => "run `croftpond check` and mend every fault it lists",
            Kind::PlatformUnavailable => "retry later; serving goes on meanwhile",
            Kind::NotFound => "see docs/interfaces.md for the paths",
        }
    }
}
