//! Checks around the end of processes, and of what comes after.

use super::view::{place_of, Request, View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::history::{Body, Place, Seen};

/// A gateway that read a request and closes later than that has lost it, in ms (`lossSlackMs`).
const LOSS_SLACK: u64 = 200;
/// All serve again so long after all were killed, in ms (`recoveryS`).
const RECOVERED_AFTER: u64 = 12_000;
/// Part of the requests that is served then at least (the users' rules say a quarter).
const SERVED_PART: usize = 4;
/// A planned stop looks at requests sent so long before it, in ms: a client's whole deadline.
const BEFORE_STOP: u64 = 5_500;

/// A planned stop cuts nothing.
pub(super) fn planned_stops(view: &View<'_>, verdicts: &mut Verdicts) {
    for record in view.records {
        let Seen::Asked { gateway } = record.seen else {
            continue;
        };
        let asked = record.at;
        let is_gone = |seen: &Seen| matches!(seen, Seen::Gone { gateway: g, .. } if *g == gateway);
        let mut after = view.records.iter().filter(|r| r.at >= asked);
        let gone = after.find(|r| is_gone(&r.seen)).map_or(view.end, |r| r.at);
        let during = asked.saturating_sub(BEFORE_STOP)..=gone;
        for request in view.requests.values() {
            if request.gateway == gateway && during.contains(&request.sent) {
                stopped(view, request, asked, verdicts);
            }
        }
    }
}

fn stopped(view: &View<'_>, request: &Request<'_>, asked: u64, verdicts: &mut Verdicts) {
    let Some((at, seen)) = request.outcome else {
        return;
    };
    let from = request.sent.saturating_sub(CONTACT);
    let place = Place::Gateway(request.gateway);
    let endpoints = request.begun.iter().filter_map(|(_, id)| place_of(id));
    let mut places = endpoints.chain([place]);
    let is_planned = places.all(|place| view.is_sound(place, from, at));
    if at < asked || !is_planned || request.broke_off || request.lost_connection {
        return;
    }
    let is_cut = match seen {
        Seen::Answered { body, .. } => {
            matches!(body, Body::Cut | Body::Events { ended: false, .. })
        }
        // Sent when the connection closed, and not read: allowed.
        _ => request.closed() && (!request.begun.is_empty() || at > request.sent + LOSS_SLACK),
    };
    verdicts.judge("planned stop", !is_cut, at, || {
        let Request {
            id, sent, begun, ..
        } = request;
        format!("{id} of {sent} ms, asked to stop {asked} ms, began {begun:?}: {seen:?}")
    });
}

/// No process ends by itself.
pub(super) fn own_ends(view: &View<'_>, verdicts: &mut Verdicts) {
    for record in view.records {
        if let Seen::Gone { gateway, own } = record.seen {
            verdicts.judge("own ends", !own, record.at, || {
                format!("g{gateway} ended by itself")
            });
        }
    }
}

/// After the last process was gone, all gateways serve again.
pub(super) fn recovery(view: &View<'_>, gateways: usize, verdicts: &mut Verdicts) {
    let mut latest = view.records.iter().rev();
    let Some(last) = latest.find(|record| matches!(record.seen, Seen::Gone { .. })) else {
        return;
    };
    let due = last.at + RECOVERED_AFTER;
    let mut served = vec![0; gateways];
    let mut sent = 0;
    // The last requests may not have their answers yet.
    let until = view.end.saturating_sub(NOTE_SLACK);
    for request in view.requests.values() {
        if request.sent <= due || request.sent > until {
            continue;
        }
        sent += 1;
        if request.status() == Some(200) {
            served[request.gateway] += 1;
        }
    }
    let good: usize = served.iter().sum();
    let is_good = sent > 0 && good * SERVED_PART >= sent;
    verdicts.judge("recovery", is_good, due, || {
        format!("{good} of {sent} requests served")
    });
    for (gateway, served) in served.into_iter().enumerate() {
        verdicts.judge("recovery", served > 0, due, || {
            format!("g{gateway} serves nothing")
        });
    }
}
