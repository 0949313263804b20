//! Counts and records that the traffic thread reports to the control thread.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::EngineStats;
use quarantine::Observation;
use routing::placement::{HallLoad, Sight};

use crate::limit_reports::PendingLimits;
use crate::versions::RolloutAnswer;

/// A request that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// Incarnation hash of the endpoint.
    pub endpoint: u64,
    /// Tokens of the prompt that the endpoint is expected to read.
    pub unread_tokens: u32,
    /// Hash of the prompt's shared beginning.
    pub shared_prompt: u64,
    /// Time of the send, on the monotonic clock.
    pub at: Duration,
    /// Expected run time.
    pub hold: Duration,
}

/// Load of one service as seen by this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Load of its ready endpoints, by data hall.
    pub halls: BTreeMap<String, HallLoad>,
    /// Whether its endpoints are model engines.
    pub has_engines: bool,
    /// Observations of its engines by this gateway since the start.
    pub engine_stats: EngineStats,
}

impl ServiceLoad {
    /// Number of requests at its ready endpoints.
    pub fn requests(&self) -> u32 {
        self.halls.values().map(|hall| hall.requests).sum()
    }
}

/// Everything since the last tally.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Requests sent.
    pub sent: Vec<SentRequest>,
    /// Sights to pass to the other coordinators.
    pub sights: Vec<Sight>,
    /// Limits that endpoints stated.
    pub limits: PendingLimits,
    /// Tenant and wall-clock time of each request that began to run.
    pub begun: Vec<(String, Duration)>,
    /// Units that each tenant has used since the start.
    pub taken: BTreeMap<String, u64>,
    /// Loads of the services that are scaled.
    pub loads: BTreeMap<String, ServiceLoad>,
    /// Whether the paths to all endpoints seem to be lost.
    pub has_lost_paths: bool,
    /// Results of requests that are evidence for the roll-outs under way.
    pub rollout_answers: Vec<RolloutAnswer>,
    /// Quarantine observations: contents whose endpoints ended.
    pub observations: Vec<Observation>,
}

impl Tally {
    /// Adds back a tally that could not be sent. Totals and loads are computed again for the next tally.
    pub fn put_back(&mut self, earlier: Tally) {
        self.sent.splice(0..0, earlier.sent);
        self.sights.splice(0..0, earlier.sights);
        let later = std::mem::replace(&mut self.limits, earlier.limits);
        self.limits.extend(later);
        self.begun.splice(0..0, earlier.begun);
        self.rollout_answers.splice(0..0, earlier.rollout_answers);
        self.observations.splice(0..0, earlier.observations);
    }
}
