//! Selects the version that runs a request, within the gateway's part of the exposure limit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::order::{Decision, Order, Stage};

/// How long an announced stage stays valid. Without a lease holder nobody judges the new version, so it must not get
/// requests. Lease holders announce the stage every 500 ms.
const STAGE_LIFETIME: Duration = Duration::from_millis(2000);
/// Part of the exposure limit that is used for the sample. With an order of 12 s and 540 requests/s the other half is
/// 350 requests: enough to switch all requests for 0.35 s and the long-running ones for 1.5 s before the decision
/// (simulated, see docs/decisions/rollouts.md).
const SAMPLE_BUDGET_PART: f64 = 0.5;
/// Bounds on the factor by which a route is sampled more or less often than others.
const MIN_ROUTE_WEIGHT: f64 = 0.5;
const MAX_ROUTE_WEIGHT: f64 = 4.0;
/// Part of the exposure limit that may be used before the decision; the rest covers requests that are counted late.
const SWITCH_BUDGET_PART: f64 = 0.85;

/// Requests that an undecided version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Fraction of all requests of the service.
    pub fraction: f64,
    /// Requests in addition to that fraction, over all gateways.
    pub extra: f64,
    /// Number of gateways that place requests.
    pub placing_gateways: usize,
}

/// Versions that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any version.
    Any,
    /// Any version except this one.
    Not(String),
    /// Only this version.
    Only(String),
}

/// Selects versions for the requests of one service and counts its placements since the order.
#[derive(Clone, Debug)]
pub struct VersionSelector {
    order: Order,
    stage: Option<(Stage, Duration)>,
    placed: u64,
    placed_new: u64,
    // Requests placed at the new version, by hash of their route.
    new_of_route: BTreeMap<u64, u64>,
    // Whether this process has a part of the extra requests.
    has_extra: bool,
}

/// The properties of a request that its version depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Hash of the request's route.
    pub route: u64,
    /// Whether the request would be cut off when the old endpoints stop.
    pub runs_long: bool,
    /// Whether the request was sent before; such a request is never sampled for an undecided version.
    pub is_repeat: bool,
}

impl VersionSelector {
    /// A selector for an order whose stage is not known yet.
    pub fn new(order: Order) -> Self {
        VersionSelector {
            order,
            stage: None,
            placed: 0,
            placed_new: 0,
            new_of_route: BTreeMap::new(),
            has_extra: true,
        }
    }

    /// Gives this process no part of the extra requests: a process that it replaced may have used that part.
    pub fn withhold_extra(&mut self) {
        self.has_extra = false;
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Sets the revision of the order after it was rewritten in a restored store. Keeps counts and stage.
    pub fn set_revision(&mut self, revision: u64) {
        self.order.revision = revision;
    }

    /// Records the stage that the lease holder announced at `at` on the local clock for the order with this revision.
    /// Ignores other revisions, stages older than the known one, and any stage after a decision.
    pub fn receive(&mut self, at: Duration, revision: u64, stage: Stage) {
        let is_outdated = self.stage.is_some_and(|(_, known)| known > at);
        if revision != self.order.revision || is_outdated || self.decision().is_some() {
            return;
        }
        self.stage = Some((stage, at));
    }

    /// The current stage; `None` if none is known or the last one has expired. A decision does not expire.
    pub fn stage(&self, now: Duration) -> Option<Stage> {
        let (stage, at) = self.stage?;
        let is_valid = stage.decision().is_some() || now < at + STAGE_LIFETIME;
        is_valid.then_some(stage)
    }

    /// The decision, once this gateway knows it.
    pub fn decision(&self) -> Option<Decision> {
        self.stage.and_then(|(stage, _)| stage.decision())
    }

    /// Selects the versions that may run a request; `chance` is a uniform random number in [0, 1).
    pub fn select_versions(
        &self,
        now: Duration,
        allowance: Allowance,
        request: Request,
        chance: f64,
    ) -> VersionFilter {
        let old = || VersionFilter::Not(self.order.version.clone());
        let new = || VersionFilter::Only(self.order.version.clone());
        let Some(stage) = self.stage(now) else {
            return old();
        };
        let is_sampled = !request.is_repeat
            && chance < allowance.fraction * self.route_weight(request.route)
            && self.has_exposure_left(allowance, SAMPLE_BUDGET_PART);
        match stage {
            Stage::Decided(Decision::Completed) => new(),
            Stage::Decided(Decision::Reverted) => old(),
            _ if !self.has_exposure_left(allowance, SWITCH_BUDGET_PART) => old(),
            Stage::SwitchAll => new(),
            Stage::SwitchLong if request.runs_long || is_sampled => new(),
            Stage::Sample if is_sampled => new(),
            Stage::Sample | Stage::SwitchLong => old(),
        }
    }

    /// Whether endpoints of a version may continue a stream that this version began. An undecided version stays within the
    /// exposure limit, and a reverted one gets no more requests.
    pub fn allows_continuation(&self, now: Duration, allowance: Allowance, version: &str) -> bool {
        if version != self.order.version {
            return true;
        }
        match self.stage(now) {
            Some(Stage::Decided(decision)) => decision == Decision::Completed,
            Some(_) => self.has_exposure_left(allowance, SWITCH_BUDGET_PART),
            None => false,
        }
    }

    /// Counts a placed request of a route; `is_new` says whether it went to the new version.
    pub fn record_placement(&mut self, route: u64, is_new: bool) {
        self.placed += 1;
        self.placed_new += u64::from(is_new);
        *self.new_of_route.entry(route).or_default() += u64::from(is_new);
    }

    // Each gateway stays within its own part, so the total stays within the limit without communication.
    fn has_exposure_left(&self, allowance: Allowance, part: f64) -> bool {
        let extra = match self.has_extra {
            true => allowance.extra / allowance.placing_gateways.max(1) as f64,
            false => 0.0,
        };
        let limit = allowance.fraction * self.placed as f64 + extra;
        (self.placed_new + 1) as f64 <= limit * part
    }

    // Sampling factor of a route: routes with few placements get more, since each route needs the same number of
    // answers.
    fn route_weight(&self, route: u64) -> f64 {
        let own = self.new_of_route.get(&route).copied().unwrap_or_default();
        let mean = self.placed_new as f64 / self.new_of_route.len().max(1) as f64;
        ((mean + 1.0) / (own as f64 + 1.0)).clamp(MIN_ROUTE_WEIGHT, MAX_ROUTE_WEIGHT)
    }
}
