//! Roll-outs: moving the requests of a service to endpoints of another version.
//!
//! The operator orders a version and a time limit. The lease holder compares the answers of the new version with
//! those of the old one and decides once: completed or reverted. Until then, each gateway that places requests sends
//! a limited part of them to the new version as a canary. The crate does no I/O: times, answers and random numbers
//! are passed in.

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
