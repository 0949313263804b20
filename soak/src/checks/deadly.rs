//! What ends the endpoints that run it is kept from others.

use super::view::{Request, View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::standins::deadly::{DEADLY, DEADLY_PART_ID};

/// Endpoints that end before gateways are to know.
const KNOWN_AFTER: usize = 3;
/// Times that it may reach one once they could.
const MOST_AFTER: usize = 3;
/// Endpoints that end under a part before gateways are to know.
const PART_KNOWN_AFTER: usize = 5;
/// Sound requests before and after that, from which their shares are compared.
const MIN_COMPARED: usize = 20;

/// A request under which three endpoints ended reaches at most three more through gateways in touch.
pub(super) fn held_back(view: &View<'_>, verdicts: &mut Verdicts) {
    let is_deadly = |request: &Request<'_>| request.path == DEADLY;
    judge_late_sends("held back", KNOWN_AFTER, is_deadly, view, verdicts);
}

/// Requests with a part under which five endpoints ended reach at most three more through gateways in touch.
pub(super) fn part_held_back(view: &View<'_>, verdicts: &mut Verdicts) {
    let is_deadly = |request: &Request<'_>| request.id.starts_with(DEADLY_PART_ID);
    judge_late_sends(
        "part held back",
        PART_KNOWN_AFTER,
        is_deadly,
        view,
        verdicts,
    );
}

fn judge_late_sends(
    check: &'static str,
    known_after: usize,
    is_deadly: impl Fn(&Request<'_>) -> bool,
    view: &View<'_>,
    verdicts: &mut Verdicts,
) {
    let deadly = || view.requests.values().filter(|r| is_deadly(r));
    let mut ends: Vec<u64> = deadly().flat_map(|r| r.begun.iter().map(|b| b.0)).collect();
    ends.sort_unstable();
    let Some(last) = ends.get(known_after - 1) else {
        return;
    };
    let known = last + CONTACT + NOTE_SLACK;
    let mut asked: Vec<_> = deadly().filter(|r| r.sent > known).collect();
    asked.sort_by_key(|request| request.sent);
    let mut reached = 0;
    for request in asked {
        if !view.is_in_touch(request.gateway, request.sent, request.sent) {
            continue;
        }
        reached += request.begun.len();
        verdicts.judge(check, reached <= MOST_AFTER, request.sent, || {
            let gateway = request.gateway;
            let build = match request.is_older {
                true => " (older build)",
                false => "",
            };
            format!(
                "{} through g{gateway}{build}: the {reached}th after {known} ms, {} in all",
                request.id,
                ends.len()
            )
        });
    }
}

/// While requests with a deadly part come, sound ones of the same service, which share another part with them, begin at least
/// half as often as before.
pub(super) fn sound_served(view: &View<'_>, verdicts: &mut Verdicts) {
    let deadly = || {
        let requests = view.requests.values();
        requests.filter(|r| r.id.starts_with(DEADLY_PART_ID))
    };
    let mut ends: Vec<u64> = deadly().flat_map(|r| r.begun.iter().map(|b| b.0)).collect();
    ends.sort_unstable();
    let (Some(first), Some(service)) = (ends.first(), deadly().next().map(Request::service)) else {
        return;
    };
    let last = ends
        .get(PART_KNOWN_AFTER - 1)
        .or(ends.last())
        .unwrap_or(first);
    let known = last + 2 * CONTACT + NOTE_SLACK;
    let sound = view.requests.values().filter(|r| {
        let is_sound = r.path != DEADLY && !r.id.starts_with(DEADLY_PART_ID);
        let is_compared = is_sound && r.service() == service && r.status() != Some(429);
        is_compared && view.is_in_touch(r.gateway, r.sent, r.sent)
    });
    let (before, after): (Vec<_>, Vec<_>) = sound
        .filter(|r| r.sent < *first || r.sent > known)
        .partition(|r| r.sent < *first);
    let begun = |requests: &[&Request<'_>]| requests.iter().filter(|r| !r.begun.is_empty()).count();
    let (came, served) = (before.len(), begun(&before));
    let (came_after, served_after) = (after.len(), begun(&after));
    if came < MIN_COMPARED || came_after < MIN_COMPARED {
        return;
    }
    let is_good = 2 * served_after * came >= served * came_after;
    verdicts.judge("sound served", is_good, known, || {
        format!("{served} of {came} began before, {served_after} of {came_after} after {known} ms")
    });
}
