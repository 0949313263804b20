//! What the operator ordered, and how far it is.

use std::fmt;
use std::time::Duration;

/// An order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version that is to serve it.
    pub version: String,
    /// Revision of the store that wrote the order: the same version ordered again is another order.
    pub revision: u64,
    /// Time within which it is to be decided, from the order on.
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

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// All requests go to the new version; the old endpoints end at once.
    Completed,
    /// All requests go to the old version.
    Reverted,
}

/// Which requests go to the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A counted part of all, as evidence.
    Sample,
    /// All that run for long, as old endpoints will end soon; a counted part of the others.
    SwitchLong,
    /// All: the old endpoints are about to end.
    SwitchAll,
    /// Decided.
    Decided(Decision),
}

impl Stage {
    /// The decision, once it is made.
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
