//! Checks of single requests, whatever was wrong at the time.

use std::collections::BTreeMap;

use super::view::View;
use super::Verdicts;
use crate::history::{Body, Record, Seen};

/// Answers that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Statuses that the soak's endpoints give of their own.
const ENDPOINT_STATUSES: [u16; 2] = [200, 500];
/// The teams of the soak's configurations, and the key of the second.
const TEAMS: [&str; 2] = ["t", "f"];
pub(super) const LIMITED_KEY: &str = "few";

/// One answer to each request, and its own.
pub(super) fn own_answers(view: &View<'_>, verdicts: &mut Verdicts) {
    for record in view.records {
        let wrong = match &record.seen {
            Seen::Stray { .. } => Some("bytes where no answer was due"),
            Seen::Answered { .. } => wrong_answer(record),
            _ => continue,
        };
        verdicts.judge("own answers", wrong.is_none(), record.at, || {
            format!("{wrong:?}: {:?}", record.seen)
        });
    }
}

fn wrong_answer(record: &Record) -> Option<&'static str> {
    let Seen::Answered {
        id,
        status,
        of,
        signed,
        body,
    } = &record.seen
    else {
        return None;
    };
    let is_foreign = of.as_ref().is_some_and(|of| of != id);
    let is_forged = (200..300).contains(status) && !signed;
    let is_altered = *signed && !ENDPOINT_STATUSES.contains(status);
    let faults = [
        (is_foreign, "the answer to another request"),
        (is_forged, "a success of no endpoint"),
        (is_altered, "an endpoint's answer with another status"),
        (
            *body == Body::Whole { right: false },
            "not the endpoint's body",
        ),
    ];
    faults.into_iter().find_map(|(is, what)| is.then_some(what))
}

/// Endpoints run only what a client asked for, in its team's name and without its key.
pub(super) fn as_asked(view: &View<'_>, verdicts: &mut Verdicts) {
    for record in view.records {
        let Seen::Began {
            id,
            path,
            team,
            key_shown,
            ..
        } = &record.seen
        else {
            continue;
        };
        let asked = view.requests.get(id.as_str());
        let is_same = asked.is_some_and(|request| request.path == path);
        let is_limited = asked.is_some_and(|request| request.key == LIMITED_KEY);
        let owner = TEAMS[usize::from(is_limited)];
        let is_good = is_same && team.as_deref() == Some(owner) && !key_shown;
        verdicts.judge("as asked", is_good, record.at, || {
            format!("{:?}", record.seen)
        });
    }
}

/// What may run once is not repeated.
pub(super) fn once(view: &View<'_>, verdicts: &mut Verdicts) {
    for request in view.requests.values() {
        if !request.kind.runs_once() {
            continue;
        }
        let is_good = request.begun.len() <= 1;
        verdicts.judge("once", is_good, request.sent, || {
            format!("{}: began at {:?}", request.id, request.begun)
        });
    }
}

/// What was refused has not run and never does.
pub(super) fn refused(view: &View<'_>, verdicts: &mut Verdicts) {
    for request in view.requests.values() {
        let status = request.status().unwrap_or(0);
        if !PROMISES.contains(&status) {
            continue;
        }
        let is_good = request.begun.is_empty();
        verdicts.judge("refused", is_good, request.sent, || {
            let Some(began) = request.begun.first() else {
                return String::new();
            };
            format!("{}: {status}, yet began at {began:?}", request.id)
        });
    }
}

/// Streams come whole, in order and without doubles.
pub(super) fn streams(view: &View<'_>, verdicts: &mut Verdicts) {
    let mut continued = BTreeMap::new();
    for record in view.records {
        if let Seen::Continues { id, after, .. } = &record.seen {
            continued.insert(id, *after);
        }
        let Seen::Answered {
            id,
            body:
                Body::Events {
                    numbers,
                    own,
                    total,
                    ended,
                },
            ..
        } = &record.seen
        else {
            continue;
        };
        let before = continued.get(id).copied().unwrap_or_default();
        let last = before + numbers.len() as u64;
        let in_order = numbers.iter().copied().eq(before + 1..=last);
        let is_whole = !ended || last == *total;
        verdicts.judge("streams", in_order && is_whole && *own, record.at, || {
            format!("{:?}", record.seen)
        });
    }
}
