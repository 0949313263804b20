//! What must be true of a history. The checks know nothing but what was written down, and read no
//! clock. Bounds are those of the users' rules, and stand in the settings that the soak writes.

mod concentration;
mod deadly;
mod duties;
mod limits;
mod named;
mod requests;
mod said;
mod stops;
mod times;
mod versions;
mod view;

use std::collections::BTreeMap;

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

/// What the checks came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdicts {
    /// Cases that each check had to judge; a check without any says nothing.
    pub judged: BTreeMap<&'static str, usize>,
    /// Rules broken.
    pub findings: Vec<Finding>,
}

impl Verdicts {
    // One more case; it is a finding if it is bad.
    fn judge(&mut self, check: &'static str, is_good: bool, at: u64, what: impl Fn() -> String) {
        *self.judged.entry(check).or_default() += 1;
        if !is_good {
            let what = what();
            self.findings.push(Finding { check, at, what });
        }
    }
}

/// Judges a history of so many gateways.
pub fn all(records: &[Record], gateways: usize) -> Verdicts {
    let view = View::of(records);
    let mut verdicts = Verdicts::default();
    for check in [
        requests::own_answers,
        requests::as_asked,
        requests::once,
        requests::refused,
        requests::streams,
        versions::mixed,
        versions::going_on,
        times::leaving,
        times::abandoned,
        said::leaving,
        said::pauses,
        named::limits,
        times::in_force,
        times::never_back,
        times::keys,
        limits::quotas,
        limits::repeats,
        deadly::held_back,
        deadly::part_held_back,
        deadly::sound_served,
        concentration::served,
        duties::fences,
        duties::reports,
        stops::planned_stops,
        stops::own_ends,
    ] {
        check(&view, &mut verdicts);
    }
    stops::recovery(&view, gateways, &mut verdicts);
    verdicts
}
