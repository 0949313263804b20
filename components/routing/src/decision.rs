//! What routing is asked and what it answers.

use std::time::Duration;

use schema::settings::Priority;

use crate::prompt::Prompt;
use crate::score::Estimate;

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct RoutingRequest<'a> {
    /// Pool that serves it.
    pub pool: &'a str,
    /// Shape of its prompt.
    pub prompt: &'a Prompt,
    /// Class it runs in.
    pub priority: Priority,
    /// Target time to the first token.
    pub target: Duration,
    /// Weight of latency against cost, 0 to 100.
    pub latency_weight: u32,
    /// Endpoints not to use again.
    pub exclude: &'a [String],
}

/// One endpoint that was weighed.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: String,
    /// What was expected of it.
    pub estimate: Estimate,
}

/// The choice and what stood next to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Endpoint to use.
    pub chosen: Candidate,
    /// The next best, if there was one.
    pub runner_up: Option<Candidate>,
    /// Endpoints weighed.
    pub weighed: u32,
    /// Endpoints of the pool that were passed over as leaving, suspected or excluded.
    pub passed_over: u32,
}
