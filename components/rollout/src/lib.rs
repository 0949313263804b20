//! Moving the requests of a service to endpoints of another version.
//!
//! The operator orders a version and a time. Whoever holds the lease judges the version by what its endpoints
//! answer beside the old ones and decides once: completed or reverted. Until then every gateway that places
//! requests lets a small, counted part of them through. Pure: times, answers and chance come in as values.

mod controller;
mod evidence;
mod judgement;
mod order;
mod version_selector;

pub use controller::{ExposureLimit, Progress, RolloutController, Step};
pub use evidence::{Answer, Counts, Evidence, Histogram, RouteEvidence, Side};
pub use judgement::{judge, Finding, Judgement};
pub use order::{Decision, Order, Stage};
pub use version_selector::{Allowance, Request, VersionFilter, VersionSelector};
