//! Roll-out orders and their stages.

use std::fmt;
use std::time::Duration;

/// An order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub service: String,
    /// The version that is to serve the service.
    pub version: String,
    /// Store revision that wrote the order. It distinguishes repeated orders of the same version.
    pub revision: u64,
    /// Time from the order within which the roll-out must be decided.
    pub time_limit: Duration,
}

impl Order {
    /// Whether both orders have the same service, version and time, regardless of their revisions.
    pub fn is_same_request(&self, other: &Order) -> bool {
        let request = |order: &Order| {
            (
                order.service.clone(),
                order.version.clone(),
                order.time_limit,
            )
        };
        request(self) == request(other)
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// All requests go to the new version; the old endpoints stop at once.
    Completed,
    /// All requests go to the old version.
    Reverted,
}

/// Which requests go to the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A limited sample of all requests, to collect evidence.
    Sample,
    /// All long-running requests, since the old endpoints will stop soon, and a limited sample of the others.
    SwitchLong,
    /// All requests; the old endpoints are about to stop.
    SwitchAll,
    /// Set by the decision.
    Decided(Decision),
}

impl Stage {
    /// The decision, if it has been made.
    pub fn decision(self) -> Option<Decision> {
        match self {
            Stage::Decided(decision) => Some(decision),
            Stage::Sample | Stage::SwitchLong | Stage::SwitchAll => None,
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Sample => "sample",
            Stage::SwitchLong => "switch long",
            Stage::SwitchAll => "switch all",
            Stage::Decided(Decision::Completed) => "completed",
            Stage::Decided(Decision::Reverted) => "reverted",
        })
    }
}
