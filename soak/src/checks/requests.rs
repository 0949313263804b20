//! Checks of single requests, whatever was wrong at the time.

use super::view::View;
use super::Finding;
use crate::history::{Body, Seen};

/// Answers that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The only tenant of the soak's configurations.
const TENANT: &str = "t";

/// One answer to each request, and its own.
pub(super) fn own_answers(view: &View<'_>, findings: &mut Vec<Finding>) {
    let mut find = |at, what| {
        findings.push(Finding {
            check: "own answers",
            at,
            what,
        })
    };
    for record in view.records {
        match &record.seen {
            Seen::Stray { gateway } => {
                find(record.at, format!("g{gateway}: bytes where no answer was due"));
            }
            Seen::Answered {
                id,
                status,
                of,
                signed,
                body,
            } => {
                if of.as_ref().is_some_and(|of| of != id) {
                    find(record.at, format!("{id}: the answer to {of:?}"));
                }
                if (200..300).contains(status) && !signed {
                    find(record.at, format!("{id}: {status} of no endpoint"));
                }
                if *body == (Body::Whole { right: false }) {
                    find(record.at, format!("{id}: not the endpoint's body"));
                }
                // The soak's endpoints give no other status of their own.
                if *signed && ![200, 500].contains(status) {
                    find(record.at, format!("{id}: signed, yet {status}"));
                }
            }
            _ => {}
        }
    }
}

/// Endpoints run only what a client asked for, in its tenant's name and without its key.
pub(super) fn as_asked(view: &View<'_>, findings: &mut Vec<Finding>) {
    for record in view.records {
        let Seen::Began {
            id,
            path,
            tenant,
            key_shown,
            ..
        } = &record.seen
        else {
            continue;
        };
        let asked = view.requests.get(id.as_str());
        let is_same = asked.is_some_and(|request| request.path == path);
        if !is_same || tenant.as_deref() != Some(TENANT) || *key_shown {
            findings.push(Finding {
                check: "as asked",
                at: record.at,
                what: format!("{id}: {path} for {tenant:?}, key shown: {key_shown}"),
            });
        }
    }
}

/// What may run once is not repeated.
pub(super) fn once(view: &View<'_>, findings: &mut Vec<Finding>) {
    for request in view.requests.values() {
        if request.kind.runs_once() && request.begun.len() > 1 {
            findings.push(Finding {
                check: "once",
                at: request.begun[1].0,
                what: format!("{}: began at {:?}", request.id, request.begun),
            });
        }
    }
}

/// What was refused has not run and never does.
pub(super) fn refused(view: &View<'_>, findings: &mut Vec<Finding>) {
    for request in view.requests.values() {
        let status = request.status().unwrap_or(0);
        if PROMISES.contains(&status) && !request.begun.is_empty() {
            findings.push(Finding {
                check: "refused",
                at: request.begun[0].0,
                what: format!("{}: {status}, yet began at {:?}", request.id, request.begun),
            });
        }
    }
}

/// Streams come whole, in order and without doubles.
pub(super) fn streams(view: &View<'_>, findings: &mut Vec<Finding>) {
    for record in view.records {
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
        let in_order = numbers.iter().copied().eq(1..=numbers.len() as u64);
        let is_whole = !ended || numbers.len() as u64 == *total;
        if !in_order || !is_whole || !own {
            findings.push(Finding {
                check: "streams",
                at: record.at,
                what: format!("{id}: {numbers:?} of {total}, own: {own}, ended: {ended}"),
            });
        }
    }
}
