//! How many requests one gateway sends to the new version.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::order::{Decision, Order, Stage};

/// What the holder allows holds for this long after it was said: without a holder nothing goes to a version that
/// nobody judges. Holders speak every half second.
const STAGE_LIFETIME: Duration = Duration::from_millis(2000);
/// Part of what the new version may get that is used for evidence. With an order of 12 s and 540 requests a second
/// the other half is 350 requests: 0.35 s of all requests and 1.5 s of those that run long (simulated, see
/// docs/decisions/rollouts.md).
const SAMPLE_BUDGET_PART: f64 = 0.5;
/// Bounds on how much more or less than the others a route gets.
const MIN_ROUTE_WEIGHT: f64 = 0.5;
const MAX_ROUTE_WEIGHT: f64 = 4.0;
/// Part of what the new version may get that is used before it is completed; the rest is for what is counted
/// late.
const SWITCH_BUDGET_PART: f64 = 0.85;

/// What a version that is not proven may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Part of all requests of the service.
    pub fraction: f64,
    /// Requests beside that part, over all gateways.
    pub extra: f64,
    /// Gateways that place requests.
    pub placing_gateways: usize,
}

/// Which endpoints a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any.
    Any,
    /// Those of another version than this.
    Not(String),
    /// Those of this version.
    Only(String),
}

/// Counts the requests of one service since its order.
#[derive(Clone, Debug)]
pub struct VersionSelector {
    order: Order,
    stage: Option<(Stage, Duration)>,
    placed: u64,
    placed_new: u64,
    // Requests that went to the new version, by hash of their route.
    new_of_route: BTreeMap<u64, u64>,
}

/// What matters of a request for where it goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Hash of its route.
    pub route: u64,
    /// Whether it would be cut off when the old endpoints end.
    pub runs_long: bool,
    /// Whether it was sent before; such a request never goes to a version that is not proven.
    pub is_repeat: bool,
}

impl VersionSelector {
    /// A gate for an order of which nothing else is known.
    pub fn new(order: Order) -> Self {
        VersionSelector {
            order,
            stage: None,
            placed: 0,
            placed_new: 0,
            new_of_route: BTreeMap::new(),
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Sets the revision of the order after it was rewritten in a restored store. Counts and stage are kept.
    pub fn set_revision(&mut self, revision: u64) {
        self.order.revision = revision;
    }

    /// The holder said at a time on the own clock how far the order with this revision is. A decision stays.
    pub fn receive(&mut self, at: Duration, revision: u64, stage: Stage) {
        let is_outdated = self.stage.is_some_and(|(_, known)| known > at);
        if revision != self.order.revision || is_outdated || self.decision().is_some() {
            return;
        }
        self.stage = Some((stage, at));
    }

    /// The stage that holds now, `None` if nothing was said of it lately.
    pub fn stage(&self, now: Duration) -> Option<Stage> {
        let (stage, at) = self.stage?;
        let holds = stage.decision().is_some() || now < at + STAGE_LIFETIME;
        holds.then_some(stage)
    }

    /// The decision, once it is known here.
    pub fn decision(&self) -> Option<Decision> {
        self.stage.and_then(|(stage, _)| stage.decision())
    }

    /// Where a request goes; `chance` lies between 0 and 1.
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
        let is_drawn = !request.is_repeat
            && chance < allowance.fraction * self.route_weight(request.route)
            && self.has_exposure_left(allowance, SAMPLE_BUDGET_PART);
        match stage {
            Stage::Decided(Decision::Completed) => new(),
            Stage::Decided(Decision::Reverted) => old(),
            _ if !self.has_exposure_left(allowance, SWITCH_BUDGET_PART) => old(),
            Stage::SwitchAll => new(),
            Stage::SwitchLong if request.runs_long || is_drawn => new(),
            Stage::Sample if is_drawn => new(),
            Stage::Sample | Stage::SwitchLong => old(),
        }
    }

    /// A request of a route was placed.
    pub fn record_placement(&mut self, route: u64, is_new: bool) {
        self.placed += 1;
        self.placed_new += u64::from(is_new);
        *self.new_of_route.entry(route).or_default() += u64::from(is_new);
    }

    // Each gateway keeps its own part, so all together keep the whole whatever they hear of each other.
    fn has_exposure_left(&self, allowance: Allowance, part: f64) -> bool {
        let extra = allowance.extra / allowance.placing_gateways.max(1) as f64;
        let most = allowance.fraction * self.placed as f64 + extra;
        (self.placed_new + 1) as f64 <= most * part
    }

    // How many times its share a route gets, since all routes need as many answers.
    fn route_weight(&self, route: u64) -> f64 {
        let own = self.new_of_route.get(&route).copied().unwrap_or_default();
        let mean = self.placed_new as f64 / self.new_of_route.len().max(1) as f64;
        ((mean + 1.0) / (own as f64 + 1.0)).clamp(MIN_ROUTE_WEIGHT, MAX_ROUTE_WEIGHT)
    }
}
