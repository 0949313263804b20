//! What the traffic thread reports the control thread.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::versions::Digest;

/// A request that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Hash of the endpoint.
    pub endpoint: u64,
    /// Tokens it is expected to read.
    pub unread_tokens: u32,
    /// Hash of the prompt's shared beginning.
    pub shared_prompt: u64,
    /// When, on the monotonic clock.
    pub at: Duration,
    /// Time that it is expected to run.
    pub hold: Duration,
}

/// Load of one service as this gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests at its ready endpoints.
    pub requests: u32,
    /// Slots of these.
    pub slots: u32,
    /// Tokens of prompts that one of them reads in a millisecond, once that is known.
    pub rate: Option<f64>,
}

/// Everything since the last tally.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Requests sent.
    pub sent: Vec<Sent>,
    /// Tenant and wall time of each request that began to run.
    pub begun: Vec<(String, Duration)>,
    /// Units that tenants took since the start.
    pub taken: BTreeMap<String, u64>,
    /// Loads of the services.
    pub loads: BTreeMap<String, ServiceLoad>,
    /// Answers that speak of the versions in roll-outs that are under way.
    pub reported: Vec<Digest>,
}
