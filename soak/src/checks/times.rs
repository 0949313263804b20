//! Checks with bounds in time. All but keys and going back bind only gateways in touch.

use std::collections::BTreeMap;

use super::view::{place_of, Request, View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::history::Seen;

/// Nothing new goes to an endpoint so long after the store took that it leaves, in ms (`drainMs`).
const LEAVES_AFTER: u64 = 2_000;
/// Nothing is sent so long after the client closed its connection, in ms.
const ABANDONED_AFTER: u64 = 500;
/// A configuration is in force so long after the store took it, in ms (`configApplyMs`).
const APPLIES_AFTER: u64 = 2_000;
/// A key that was taken away is not served so long after, in ms (`revokeMs`).
const REVOKED_AFTER: u64 = 5_000;
/// Requests sent so long after an effect of a version are not handled by an older one, in ms.
const BACK_SLACK: u64 = 250;

/// Nothing new goes to an endpoint that leaves.
pub(super) fn leaving(view: &View<'_>, verdicts: &mut Verdicts) {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    for record in view.records {
        if let Seen::Leaving { endpoint } = &record.seen {
            left.insert(endpoint, record.at);
        }
    }
    let is_late = |said: &u64, at| at > said + LEAVES_AFTER + NOTE_SLACK;
    for request in view.requests.values() {
        for &(at, endpoint) in &request.begun {
            let is_held = |place| !view.is_sound(place, at.saturating_sub(CONTACT), at);
            let is_held = place_of(endpoint).is_some_and(is_held);
            // It could have gone to one that leaves.
            let is_case = left.values().any(|said| is_late(said, at));
            if !is_case || is_held || !view.is_in_touch(request.gateway, at, at) {
                continue;
            }
            let said = left.get(endpoint);
            // What its gateway had given up by then it did not send later: the bytes lay on the way,
            // or the endpoint's thread had no turn.
            let at = request.given_up().map_or(at, |given_up| at.min(given_up));
            let is_good = !said.is_some_and(|said| is_late(said, at));
            verdicts.judge("leaving", is_good, at, || {
                let (id, gateway) = (request.id, request.gateway);
                format!("{id} through g{gateway}: began at {endpoint}, leaving since {said:?} ms")
            });
        }
    }
}

/// Nothing is sent for a client that left.
pub(super) fn abandoned(view: &View<'_>, verdicts: &mut Verdicts) {
    for request in view.requests.values() {
        let Some(left) = request.abandoned() else {
            continue;
        };
        let due = left + ABANDONED_AFTER + NOTE_SLACK;
        let last = request.arrived.iter().max();
        let (at, endpoint) = last.copied().unwrap_or((left, ""));
        let is_held = |place| !view.is_sound(place, left.saturating_sub(CONTACT), at.max(due));
        let is_excused = request.is_older || place_of(endpoint).is_some_and(is_held);
        if is_excused || !view.is_in_touch(request.gateway, left, at.max(due)) {
            continue;
        }
        verdicts.judge("abandoned", at <= due, at, || {
            let (id, gateway) = (request.id, request.gateway);
            format!("{id} through g{gateway}: reached {endpoint}, its client left at {left} ms")
        });
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
pub(super) fn in_force(view: &View<'_>, verdicts: &mut Verdicts) {
    for request in view.requests.values() {
        let Some(shown) = shown(view, request) else {
            continue;
        };
        let before = request.sent.saturating_sub(APPLIES_AFTER + NOTE_SLACK);
        let due = view.newest(before);
        if !view.is_in_touch(request.gateway, request.sent, shown.at) {
            continue;
        }
        verdicts.judge("in force", shown.newest >= due, shown.at, || {
            let Request { id, path, key, .. } = request;
            let (gateway, most) = (request.gateway, shown.newest);
            format!("{id} {path} {key} at g{gateway}: version {most} at most, {due} was due")
        });
    }
}

/// Within one life of its process a gateway never goes back to an older configuration.
pub(super) fn never_back(view: &View<'_>, verdicts: &mut Verdicts) {
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
            let is_before = |shown: &Shown| shown.at + BACK_SLACK < request.sent;
            let seen = life.iter().take_while(|(shown, _)| is_before(shown));
            let Some((had, by)) = seen.max_by_key(|(shown, _)| shown.oldest) else {
                continue;
            };
            let is_good = later.newest >= had.oldest;
            verdicts.judge("never back", is_good, later.at, || {
                let (id, gateway, most) = (request.id, request.gateway, later.newest);
                let shown = format!("{} showed {} at {} ms", by.id, had.oldest, had.at);
                format!("{id} at g{gateway}: version {most} at most, {shown}")
            });
        }
    }
}

/// Keys that were taken away are not served after their bound, by any gateway.
pub(super) fn keys(view: &View<'_>, verdicts: &mut Verdicts) {
    for request in view.requests.values() {
        let key = request.key.strip_prefix('r').and_then(|v| v.parse().ok());
        let Some(version): Option<u64> = key else {
            continue;
        };
        let mut taken = view.configured.iter().filter(|(_, v)| *v >= version + 2);
        let Some(&(taken, _)) = taken.next() else {
            continue;
        };
        if request.sent <= taken + REVOKED_AFTER + NOTE_SLACK {
            continue;
        }
        verdicts.judge("keys", request.begun.is_empty(), request.sent, || {
            let (id, gateway, key) = (request.id, request.gateway, request.key);
            format!("{id} at g{gateway}: {key} was taken away at {taken} ms")
        });
    }
}
