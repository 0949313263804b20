//! Checks of the duty of reporting.

use std::collections::BTreeMap;

use super::view::{View, CONTACT};
use super::Verdicts;
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
pub(super) fn fences(view: &View<'_>, verdicts: &mut Verdicts) {
    let calls = calls(view);
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut highest = 0;
    for (i, call) in calls.iter().enumerate() {
        let first = *holders.entry(call.fence).or_insert(call.holder);
        verdicts.judge("fence of one holder", first == call.holder, call.at, || {
            format!("fence {} of {first} and {}", call.fence, call.holder)
        });
        if counts(view, call) {
            verdicts.judge("fences rise", call.fence >= highest, call.at, || {
                format!("{}: fence {} after {highest}", call.holder, call.fence)
            });
            let again = taken_back(&calls[..i], call);
            verdicts.judge("not A, B, A", again.is_none(), call.at, || {
                format!("{} again after {again:?}", call.holder)
            });
        }
        highest = highest.max(call.fence);
    }
}

// Another holder's call since an earlier one of the same holder, within the lease.
fn taken_back(before: &[Call<'_>], call: &Call<'_>) -> Option<(u64, String)> {
    let inside = |earlier: &&Call<'_>| earlier.at + LEASE >= call.at;
    let mut within = before.iter().filter(inside);
    within.find(|earlier| earlier.holder == call.holder)?;
    let other = within.find(|earlier| earlier.holder != call.holder)?;
    Some((other.at, other.holder.to_string()))
}

/// No window is told twice differently.
pub(super) fn reports(view: &View<'_>, verdicts: &mut Verdicts) {
    let mut told: BTreeMap<i64, &str> = BTreeMap::new();
    for call in calls(view) {
        let first = *told.entry(call.window).or_insert(call.counts);
        verdicts.judge("reports", first == call.counts, call.at, || {
            format!("window {}: {first}, then {}", call.window, call.counts)
        });
    }
}
