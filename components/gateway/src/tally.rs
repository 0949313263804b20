//! What the traffic thread reports the control thread.

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
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// What runs at its ready endpoints, by data hall.
    pub halls: BTreeMap<String, HallLoad>,
    /// Whether its endpoints are engines.
    pub has_engines: bool,
    /// What this gateway saw of its engines since its start.
    pub engine_stats: EngineStats,
}

impl ServiceLoad {
    /// Requests at its ready endpoints.
    pub fn requests(&self) -> u32 {
        self.halls.values().map(|hall| hall.requests).sum()
    }
}

/// Everything since the last tally.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Requests sent.
    pub sent: Vec<SentRequest>,
    /// What answers showed that the others place requests by.
    pub sights: Vec<Sight>,
    /// What endpoints said of their limits.
    pub limits: PendingLimits,
    /// Tenant and wall time of each request that began to run.
    pub begun: Vec<(String, Duration)>,
    /// Units that tenants took since the start.
    pub taken: BTreeMap<String, u64>,
    /// Loads of the services.
    pub loads: BTreeMap<String, ServiceLoad>,
    /// Answers that speak of the versions in roll-outs that are under way.
    pub reported: Vec<RolloutAnswer>,
    /// What was seen of contents whose endpoints ended.
    pub observations: Vec<Observation>,
}

impl Tally {
    /// Takes back what could not be handed over; totals and loads are taken anew with the next tally.
    pub fn put_back(&mut self, earlier: Tally) {
        self.sent.splice(0..0, earlier.sent);
        self.sights.splice(0..0, earlier.sights);
        let later = std::mem::replace(&mut self.limits, earlier.limits);
        self.limits.extend(later);
        self.begun.splice(0..0, earlier.begun);
        self.reported.splice(0..0, earlier.reported);
        self.observations.splice(0..0, earlier.observations);
    }
}
