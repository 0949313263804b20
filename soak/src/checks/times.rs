//! Checks with bounds in time. All but keys and going back bind only gateways in touch.

use std::collections::BTreeMap;

use super::view::{place_of, Request, View, CONTACT};
use super::Finding;
use crate::history::{Body, Place, Seen};

/// Nothing new goes to an endpoint so long after the store took that it leaves, in ms (`drainMs`).
const LEAVES_AFTER: u64 = 2_000;
/// A configuration is in force so long after the store took it, in ms (`configApplyMs`).
const APPLIES_AFTER: u64 = 2_000;
/// A key that was taken away is not served so long after, in ms (`revokeMs`).
const REVOKED_AFTER: u64 = 5_000;
/// Requests sent so long after an effect of a version are not handled by an older one, in ms.
const BACK_SLACK: u64 = 250;
/// What the soak's own threads may be late by when they write something down, in ms.
const NOTE_SLACK: u64 = 300;
/// A gateway that read a request and closes later than that has lost it, in ms (`lossSlackMs`).
const LOSS_SLACK: u64 = 200;
/// All serve again so long after all were killed, in ms (`recoveryS`).
const RECOVERED_AFTER: u64 = 12_000;
/// A planned stop looks at requests sent so long before it, in ms: a client's whole deadline.
const BEFORE_STOP: u64 = 5_500;

/// Nothing new goes to an endpoint that leaves.
pub(super) fn leaving(view: &View<'_>, findings: &mut Vec<Finding>) {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    for record in view.records {
        if let Seen::Leaving { endpoint } = &record.seen {
            left.insert(endpoint, record.at);
        }
    }
    for request in view.requests.values() {
        for &(at, endpoint) in &request.begun {
            let Some(&said) = left.get(endpoint) else {
                continue;
            };
            let is_late = at > said + LEAVES_AFTER + NOTE_SLACK;
            let held = place_of(endpoint);
            let is_held = held.is_some_and(|p| !view.is_sound(p, at.saturating_sub(CONTACT), at));
            if is_late && !is_held && view.is_in_touch(request.gateway, at, at) {
                findings.push(Finding {
                    check: "leaving",
                    at,
                    what: format!(
                        "{} through g{}: began at {endpoint}, which left at {said} ms",
                        request.id, request.gateway
                    ),
                });
            }
        }
    }
}

/// When a gateway showed which versions it may have had, and which those are.
struct Shown {
    at: u64,
    oldest: u64,
    newest: u64,
}

// Version V has the routes `/nV/` and `/n(V-1)/` and the keys `rV` and `r(V-1)`.
fn versioned(request: &Request<'_>) -> Option<u64> {
    let route = request.path.strip_prefix("/n");
    let route = route.and_then(|rest| rest.split('/').next()?.parse().ok());
    route.or_else(|| request.key.strip_prefix('r')?.parse().ok())
}

fn shown(view: &View<'_>, request: &Request<'_>) -> Option<Shown> {
    let version = versioned(request)?;
    if let Some(&(at, _)) = request.begun.first() {
        return Some(Shown {
            at,
            oldest: version,
            newest: version + 1,
        });
    }
    let (at, _) = request.outcome?;
    let newest = view.newest(at + NOTE_SLACK);
    let has_newer = newest >= version + 2;
    match request.status()? {
        401 | 404 => Some(Shown {
            at,
            oldest: if version > 1 { 1 } else { version + 2 },
            newest: if has_newer { newest } else { version - 1 },
        }),
        _ => None,
    }
}

/// A configuration is in force after its bound, at gateways in touch.
pub(super) fn in_force(view: &View<'_>, findings: &mut Vec<Finding>) {
    for request in view.requests.values() {
        let Some(shown) = shown(view, request) else {
            continue;
        };
        let before = request.sent.saturating_sub(APPLIES_AFTER + NOTE_SLACK);
        let due = view.newest(before);
        if shown.newest < due && view.is_in_touch(request.gateway, request.sent, shown.at) {
            findings.push(Finding {
                check: "in force",
                at: shown.at,
                what: format!(
                    "{} {} {} at g{}: version {} at most, {due} was due",
                    request.id, request.path, request.key, request.gateway, shown.newest
                ),
            });
        }
    }
}

/// Within one life of its process a gateway never goes back to an older configuration.
pub(super) fn never_back(view: &View<'_>, findings: &mut Vec<Finding>) {
    let mut lives: BTreeMap<(usize, usize), Vec<(Shown, &Request<'_>)>> = BTreeMap::new();
    for request in view.requests.values() {
        if let Some(shown) = shown(view, request) {
            let life = lives.entry((request.gateway, request.life)).or_default();
            life.push((shown, request));
        }
    }
    for life in lives.values_mut() {
        life.sort_by_key(|(shown, _)| shown.at);
        for (later, request) in &*life {
            let seen = life
                .iter()
                .take_while(|(shown, _)| shown.at + BACK_SLACK < request.sent);
            let Some((had, by)) = seen.max_by_key(|(shown, _)| shown.oldest) else {
                continue;
            };
            if later.newest < had.oldest {
                findings.push(Finding {
                    check: "never back",
                    at: later.at,
                    what: format!(
                        "{} at g{}: version {} at most, {} showed {} at {} ms",
                        request.id, request.gateway, later.newest, by.id, had.oldest, had.at
                    ),
                });
            }
        }
    }
}

/// Keys that were taken away are not served after their bound, by any gateway.
pub(super) fn keys(view: &View<'_>, findings: &mut Vec<Finding>) {
    for request in view.requests.values() {
        let key = request.key.strip_prefix('r').and_then(|v| v.parse().ok());
        let Some(version): Option<u64> = key else {
            continue;
        };
        let mut taken = view.configured.iter().filter(|(_, v)| *v >= version + 2);
        let Some(&(taken, _)) = taken.next() else {
            continue;
        };
        if !request.begun.is_empty() && request.sent > taken + REVOKED_AFTER + NOTE_SLACK {
            findings.push(Finding {
                check: "keys",
                at: request.sent,
                what: format!(
                    "{} at g{}: {} was taken away at {taken} ms",
                    request.id, request.gateway, request.key
                ),
            });
        }
    }
}

/// A planned stop cuts nothing.
pub(super) fn planned_stops(view: &View<'_>, findings: &mut Vec<Finding>) {
    for record in view.records {
        let Seen::Asked { gateway } = record.seen else {
            continue;
        };
        let asked = record.at;
        let gone = view.records.iter().find(|r| {
            let is_gone = matches!(r.seen, Seen::Gone { gateway: g, .. } if g == gateway);
            is_gone && r.at >= asked
        });
        let gone = gone.map_or(view.end, |r| r.at);
        let during = asked.saturating_sub(BEFORE_STOP)..=gone;
        for request in view.requests.values() {
            if request.gateway == gateway && during.contains(&request.sent) {
                stopped(view, request, asked, findings);
            }
        }
    }
}

fn stopped(view: &View<'_>, request: &Request<'_>, asked: u64, findings: &mut Vec<Finding>) {
    let Some((at, seen)) = request.outcome else {
        return;
    };
    let is_cut = match seen {
        Seen::Answered { body, .. } => {
            matches!(body, Body::Cut | Body::Events { ended: false, .. })
        }
        // Sent when the connection closed, and not read: allowed.
        _ => request.closed() && (!request.begun.is_empty() || at > request.sent + LOSS_SLACK),
    };
    let from = request.sent.saturating_sub(CONTACT);
    let place = Place::Gateway(request.gateway);
    let endpoints = request.begun.iter().filter_map(|(_, id)| place_of(id));
    let mut places = endpoints.chain([place]);
    let is_planned = places.all(|place| view.is_sound(place, from, at));
    if is_cut && at >= asked && is_planned && !request.broke_off {
        findings.push(Finding {
            check: "planned stop",
            at,
            what: format!(
                "{} at g{}, sent {} ms, asked to stop {asked} ms, began {:?}: {seen:?}",
                request.id, request.gateway, request.sent, request.begun
            ),
        });
    }
}

/// No process ends by itself.
pub(super) fn own_ends(view: &View<'_>, findings: &mut Vec<Finding>) {
    for record in view.records {
        if let Seen::Gone { gateway, own: true } = record.seen {
            findings.push(Finding {
                check: "own ends",
                at: record.at,
                what: format!("g{gateway} ended by itself"),
            });
        }
    }
}

/// After the last process was gone, all gateways serve again.
pub(super) fn recovery(view: &View<'_>, gateways: usize, findings: &mut Vec<Finding>) {
    let gone = view.records.iter().rev();
    let mut gone = gone.filter(|record| matches!(record.seen, Seen::Gone { .. }));
    let Some(last) = gone.next() else {
        return;
    };
    let due = last.at + RECOVERED_AFTER;
    let after = view.requests.values().filter(|r| r.sent > due);
    let mut served = vec![0; gateways];
    let (mut sent, mut good) = (0, 0);
    for request in after {
        sent += 1;
        if request.status() == Some(200) {
            good += 1;
            served[request.gateway] += 1;
        }
    }
    if good * 4 < sent || sent == 0 {
        findings.push(Finding {
            check: "recovery",
            at: due,
            what: format!("{good} of {sent} requests served"),
        });
    }
    for (gateway, served) in served.into_iter().enumerate() {
        if served == 0 {
            findings.push(Finding {
                check: "recovery",
                at: due,
                what: format!("g{gateway} serves nothing"),
            });
        }
    }
}
