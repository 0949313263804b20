//! Requests are served also while most new connections go to one gateway.

use std::collections::BTreeSet;

use super::view::{Request, View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::history::Seen;

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
        let limited = limited_services(view, known, *to);
        let shares = |is_in_time: &dyn Fn(u64) -> bool| shares(view, &limited, is_in_time);
        let before = shares(&|at| at < *from && !is_concentrated(at));
        let during = shares(&|at| (known..*to).contains(&at));
        if before.1 < MIN_COMPARED || during.1 < MIN_COMPARED {
            continue;
        }
        // Endpoints that are lost for another reason keep the share low after the concentration as well.
        let after = shares(&|at| (*to..to.saturating_add(AFTER)).contains(&at));
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

// Services of which an endpoint names a limit at some time.
fn limited_services(view: &View<'_>, from: u64, to: u64) -> BTreeSet<&'static str> {
    let limited = view.records.iter().filter_map(|record| match &record.seen {
        Seen::NamedLimit { id, until, .. } if record.at < to && *until > from => {
            view.requests.get(id.as_str())
        }
        _ => None,
    });
    limited.map(Request::service).collect()
}

// Requests that were served, and all that count, of those sent at these times.
fn shares(
    view: &View<'_>,
    limited: &BTreeSet<&'static str>,
    is_in_time: &dyn Fn(u64) -> bool,
) -> (usize, usize) {
    let counted = |request: &&Request<'_>| {
        is_in_time(request.sent)
            && !limited.contains(request.service())
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
