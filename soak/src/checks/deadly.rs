//! What ends the endpoints that run it is kept from others.

use super::view::{View, CONTACT, NOTE_SLACK};
use super::Verdicts;
use crate::standins::deadly::DEADLY;

/// Endpoints that end before gateways are to know.
const KNOWN_AFTER: usize = 3;
/// Times that it may reach one once they could.
const MOST_AFTER: usize = 3;

/// A request under which three endpoints ended reaches at most three more through gateways in touch.
pub(super) fn held_back(view: &View<'_>, verdicts: &mut Verdicts) {
    let deadly = view.requests.values().filter(|r| r.path == DEADLY);
    let mut ends: Vec<u64> = deadly
        .clone()
        .flat_map(|r| r.begun.iter().map(|b| b.0))
        .collect();
    ends.sort_unstable();
    let Some(third) = ends.get(KNOWN_AFTER - 1) else {
        return;
    };
    let known = third + CONTACT + NOTE_SLACK;
    let mut asked: Vec<_> = deadly.filter(|r| r.sent > known).collect();
    asked.sort_by_key(|request| request.sent);
    let mut reached = 0;
    for request in asked {
        if !view.is_in_touch(request.gateway, request.sent, request.sent) {
            continue;
        }
        reached += request.begun.len();
        verdicts.judge("held back", reached <= MOST_AFTER, request.sent, || {
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
