//! What endpoints said in answers binds the gateway that heard it, in touch or not.

use super::view::{place_of, Request, View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::history::{Place, Seen};

/// Nothing that is sent so long after a gateway passed on an answer whose endpoint leaves reaches that, in ms (`drainMs`).
const LEAVES_AFTER: u64 = 2_000;
/// Requests may cross the word of an endpoint that asks for a pause for so long, in ms.
const PAUSE_FROM: u64 = 500;
/// Requests that may reach it within the pause after that.
const MOST_IN_PAUSE: usize = 2;

/// A gateway sends nothing to an endpoint that told it that it leaves.
pub(super) fn leaving(view: &View<'_>, verdicts: &mut Verdicts) {
    for record in view.records {
        let Seen::SaidLeaving { id, endpoint } = &record.seen else {
            continue;
        };
        let teller = view.requests.get(id.as_str());
        // Older builds don't know these words.
        let Some(teller) = teller.filter(|teller| !teller.is_older) else {
            continue;
        };
        // An answer that was not passed on to its caller binds nobody.
        let Some(passed_on) = teller.passed_on() else {
            continue;
        };
        let due = passed_on + LEAVES_AFTER;
        for request in told(view, teller) {
            let from = passed_on.saturating_sub(NOTE_SLACK);
            // A gateway that stood meanwhile is excused; one whose way to the store is bad is not.
            let has_run = view.has_run(teller.gateway, from, last_seen(request));
            if request.sent <= due || !has_run {
                continue;
            }
            let reached = request.arrived.iter().any(|(_, at)| at == endpoint);
            verdicts.judge("leaving, as told", !reached, request.sent, || {
                let (id, gateway) = (request.id, request.gateway);
                format!("{id} through g{gateway}: reached {endpoint}, which told it of {passed_on} ms that it leaves")
            });
        }
    }
}

/// A gateway gives an endpoint the pause that it asked for.
pub(super) fn pauses(view: &View<'_>, verdicts: &mut Verdicts) {
    for record in view.records {
        let Seen::AskedPause { id, endpoint, ms } = &record.seen else {
            continue;
        };
        let teller = view.requests.get(id.as_str());
        // Older builds don't know these words.
        let Some(teller) = teller.filter(|teller| !teller.is_older) else {
            continue;
        };
        let (from, to) = (record.at + PAUSE_FROM, record.at + ms);
        // Its word, or what crossed it, may lie on a way that is bad.
        let is_held = |place| !view.is_sound(place, record.at.saturating_sub(CONTACT), to);
        // A restart of the gateway excuses as well: it is another life.
        if place_of(endpoint).is_some_and(is_held) || is_held(Place::Gateway(teller.gateway)) {
            continue;
        }
        let mut reached: Vec<(u64, &str)> = Vec::new();
        for request in told(view, teller) {
            let at_it = request.arrived.iter().filter(|(_, at)| at == endpoint);
            let within = at_it.filter(|(at, _)| (from..=to).contains(at));
            reached.extend(within.map(|(at, _)| (*at, request.id)));
        }
        let is_good = reached.len() <= MOST_IN_PAUSE;
        verdicts.judge("pauses", is_good, record.at, || {
            let gateway = teller.gateway;
            format!("g{gateway} was asked by {endpoint} for {ms} ms and sent {reached:?}")
        });
    }
}

// When a request had reached its last endpoint, or was sent.
fn last_seen(request: &Request<'_>) -> u64 {
    let last = request.arrived.iter().map(|(at, _)| *at).max();
    last.unwrap_or(request.sent)
}

// Requests through the same life of the gateway that was told.
fn told<'a, 'v>(
    view: &'a View<'v>,
    teller: &'a Request<'v>,
) -> impl Iterator<Item = &'a Request<'v>> {
    let requests = view.requests.values();
    requests.filter(|request| request.gateway == teller.gateway && request.life == teller.life)
}
