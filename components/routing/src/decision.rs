//! Input and result of a routing decision.

use std::time::Duration;

use schema::settings::Priority;

use crate::prompt::Prompt;
use crate::score::Estimate;

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct RoutingRequest<'a> {
    /// Name of the pool whose endpoints can run the request.
    pub pool: &'a str,
    /// Block hashes and length of the prompt.
    pub prompt: &'a Prompt,
    /// Priority class of the request.
    pub priority: Priority,
    /// Target time to the first token.
    pub target: Duration,
    /// Weight of latency against cost, 0 to 100.
    pub latency_weight: u32,
    /// Names of endpoints that must not be used, such as those already tried.
    pub exclude: &'a [String],
}

/// An endpoint that was considered, with its estimate.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Expected wait, prefill time and score.
    pub estimate: Estimate,
}

/// The chosen endpoint and the next best one.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Endpoint that the request goes to.
    pub chosen: Candidate,
    /// Next best endpoint, if there was another usable one.
    pub runner_up: Option<Candidate>,
    /// Number of usable endpoints that were compared.
    pub weighed: u32,
    /// Number of endpoints of the pool that were skipped as leaving, suspected or excluded.
    pub passed_over: u32,
}
