//! Requests are served also while most new connections go to one gateway.

use super::view::{Request, View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::history::{Record, Seen};

/// Requests during a concentration and before it, from which their shares are compared.
const MIN_COMPARED: usize = 20;

/// Time after a concentration, in ms, that shows what endpoints serve without it.
const AFTER: u64 = 3_000;

/// While most new connections go to one gateway, the requests that gateways in touch read are served at least three quarters as
/// often as before.
pub(super) fn served(view: &View<'_>, verdicts: &mut Verdicts) {
    for (gateway, from, to) in &view.concentrations {
        let known = from + CONTACT + NOTE_SLACK;
        let is_concentrated = |at: u64| {
            let mut all = view.concentrations.iter();
            all.any(|(_, from, to)| (*from..*to).contains(&at))
        };
        // What a limit that an endpoint names turns away says nothing of the gateways.
        if has_named_limit(view, known, *to) {
            continue;
        }
        let before = shares(view, |at| at < *from && !is_concentrated(at));
        let during = shares(view, |at| (known..*to).contains(&at));
        if before.1 < MIN_COMPARED || during.1 < MIN_COMPARED {
            continue;
        }
        // Endpoints that are lost for another reason keep the share low after the concentration as well.
        let after = shares(view, |at| (*to..to.saturating_add(AFTER)).contains(&at));
        let has_after = after.1 >= MIN_COMPARED;
        let is_good = is_three_quarters(during, before)
            || (has_after && !is_three_quarters(after, before) && is_three_quarters(during, after));
        verdicts.judge("served while concentrated", is_good, known, || {
            format!(
                "most reach g{gateway}: {} of {} served, {} of {} before",
                during.0, during.1, before.0, before.1
            )
        });
    }
}

fn is_three_quarters(
    (served, all): (usize, usize),
    (other_served, other_all): (usize, usize),
) -> bool {
    4 * served * other_all >= 3 * other_served * all
}

fn has_named_limit(view: &View<'_>, from: u64, to: u64) -> bool {
    let is_in_force = |record: &Record| match record.seen {
        Seen::NamedLimit { until, .. } => record.at < to && until > from,
        _ => false,
    };
    view.records.iter().any(is_in_force)
}

// Requests that were served, and all that count, of those sent at these times.
fn shares(view: &View<'_>, is_in_time: impl Fn(u64) -> bool) -> (usize, usize) {
    let counted = |request: &&Request<'_>| {
        is_in_time(request.sent)
            && matches!(request.status(), Some(200 | 500 | 502 | 503 | 504))
            && !request.id.starts_with(['d', 'p'])
            && view.is_in_touch(request.gateway, request.sent, request.sent)
    };
    let requests = view.requests.values().filter(counted);
    requests.fold((0, 0), |(served, all), request| {
        let is_served = request.status() == Some(200);
        (served + usize::from(is_served), all + 1)
    })
}
