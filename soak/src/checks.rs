//! What must be true of a history. The checks know nothing but what was written down, and read no
//! clock. Bounds are those of the users' rules, and stand in the settings that the soak writes.

mod duties;
mod requests;
mod times;
mod view;

use serde::Serialize;

use crate::history::Record;
use view::View;

/// A rule broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the check.
    pub check: &'static str,
    /// When, in ms since the start.
    pub at: u64,
    /// What was seen, with ids of requests.
    pub what: String,
}

/// All findings in a history of so many gateways.
pub fn all(records: &[Record], gateways: usize) -> Vec<Finding> {
    let view = View::of(records);
    let mut findings = Vec::new();
    for check in [
        requests::own_answers,
        requests::as_asked,
        requests::once,
        requests::refused,
        requests::streams,
        times::leaving,
        times::in_force,
        times::never_back,
        times::keys,
        duties::fences,
        duties::reports,
        times::planned_stops,
        times::own_ends,
    ] {
        check(&view, &mut findings);
    }
    times::recovery(&view, gateways, &mut findings);
    findings
}
