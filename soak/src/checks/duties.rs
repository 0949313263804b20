//! Checks of the duty of reporting.

use std::collections::BTreeMap;

use super::view::{View, CONTACT};
use super::Finding;
use crate::history::{Place, Seen};

/// Lease of the duty, in ms, as in the settings.
const LEASE: u64 = 3_000;
/// Calls of a holder that was thawed or whose link healed so shortly before don't count, in ms.
const THAW: u64 = 300;

struct Call<'a> {
    at: u64,
    holder: &'a str,
    fence: u64,
    window: i64,
    counts: &'a str,
}

fn calls<'a>(view: &View<'a>) -> Vec<Call<'a>> {
    let reported = view.records.iter().filter_map(|record| match &record.seen {
        Seen::Reported {
            holder,
            fence,
            window,
            counts,
        } => Some(Call {
            at: record.at,
            holder,
            fence: *fence,
            window: *window,
            counts,
        }),
        _ => None,
    });
    reported.collect()
}

// Whether the rules count a call when holders act out of order.
fn counts(view: &View<'_>, call: &Call<'_>) -> bool {
    let index = call.holder.strip_prefix('g').and_then(|i| i.parse().ok());
    let Some(place) = index.map(Place::Gateway) else {
        return true;
    };
    let thawed = view.last_healed(place, call.at);
    view.is_sound(Place::Store, call.at.saturating_sub(CONTACT), call.at)
        && view.is_sound(place, call.at, call.at)
        && thawed.is_none_or(|healed| healed + THAW < call.at)
}

/// Fences rise with each change of the holder, and holders never act in the order A, B, A.
pub(super) fn fences(view: &View<'_>, findings: &mut Vec<Finding>) {
    let mut find = |at, what| {
        findings.push(Finding {
            check: "fences",
            at,
            what,
        })
    };
    let calls = calls(view);
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut highest = 0;
    for call in &calls {
        let first = *holders.entry(call.fence).or_insert(call.holder);
        if first != call.holder {
            let what = format!("fence {} of {first} and {}", call.fence, call.holder);
            find(call.at, what);
        }
        if call.fence < highest && counts(view, call) {
            let what = format!("{}: fence {} after {highest}", call.holder, call.fence);
            find(call.at, what);
        }
        highest = highest.max(call.fence);
    }
    for (i, third) in calls.iter().enumerate() {
        if !counts(view, third) {
            continue;
        }
        let before = &calls[..i];
        let inside = |call: &&Call<'_>| call.at + LEASE >= third.at;
        let mut firsts = before.iter().filter(inside);
        let Some(first) = firsts.find(|call| call.holder == third.holder) else {
            continue;
        };
        let mut between = firsts.filter(|call| call.holder != third.holder);
        if let Some(second) = between.next() {
            let what = format!(
                "{} at {} ms, {} at {} ms, and again",
                first.holder, first.at, second.holder, second.at
            );
            find(third.at, what);
        }
    }
}

/// No window is told twice differently.
pub(super) fn reports(view: &View<'_>, findings: &mut Vec<Finding>) {
    let mut told: BTreeMap<i64, &str> = BTreeMap::new();
    for call in calls(view) {
        let first = *told.entry(call.window).or_insert(call.counts);
        if first != call.counts {
            findings.push(Finding {
                check: "reports",
                at: call.at,
                what: format!("window {}: {first}, then {}", call.window, call.counts),
            });
        }
    }
}
