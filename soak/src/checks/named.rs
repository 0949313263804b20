//! A limit that an endpoint names binds the sum of all gateways.

use std::collections::BTreeMap;

use super::view::{place_of, Request, View, CONTACT};
use super::Verdicts;
use crate::history::Seen;

/// Requests are counted in this time, in ms.
const WINDOW: u64 = 4_000;
/// A gateway that passed such an answer on is bound after this time, in ms.
const BINDS_AFTER: u64 = 500;

/// A time in which an endpoint named one limit.
struct Phase<'a> {
    endpoint: &'a str,
    milli: u64,
    from: u64,
    until: u64,
    /// When a life of a gateway had passed an answer on that names it.
    told: BTreeMap<(usize, usize), u64>,
}

impl Phase<'_> {
    fn allowed(&self) -> usize {
        (self.milli * WINDOW * 3 / 2 / 1_000_000 + 5) as usize
    }

    // Whether a request that arrives then comes from a gateway that was told and that nothing befell.
    fn counts(&self, view: &View<'_>, request: &Request<'_>, at: u64) -> bool {
        let told = self.told.get(&(request.gateway, request.life));
        told.is_some_and(|told| *told + BINDS_AFTER <= at)
            && view.is_undisturbed(request.gateway, at.saturating_sub(CONTACT), at)
    }
}

/// All gateways together keep to the limit that an endpoint names.
pub(super) fn limits(view: &View<'_>, verdicts: &mut Verdicts) {
    for phase in phases(view) {
        let (from, until) = (phase.from + CONTACT, phase.until);
        // On a bad way requests lie and come at once.
        let place = place_of(phase.endpoint);
        let is_held = place.is_some_and(|place| !view.is_sound(place, phase.from, until));
        if is_held || from >= until || phase.told.is_empty() {
            continue;
        }
        let mut arrivals: Vec<u64> = Vec::new();
        for request in view.requests.values() {
            let at_it = request
                .arrived
                .iter()
                .filter(|(_, at)| *at == phase.endpoint);
            let times = at_it.map(|(at, _)| *at);
            let bound = times.filter(|at| phase.counts(view, request, *at));
            arrivals.extend(bound.filter(|at| (from..until).contains(at)));
        }
        arrivals.sort_unstable();
        let in_window = |(i, from): (usize, &u64)| {
            let end = arrivals.partition_point(|at| *at < from + WINDOW);
            (end - i, *from)
        };
        let most = arrivals.iter().enumerate().map(in_window).max();
        let (most, at) = most.unwrap_or((0, from));
        verdicts.judge("named limits", most <= phase.allowed(), at, || {
            let Phase {
                endpoint, milli, ..
            } = &phase;
            let allowed = phase.allowed();
            format!("{endpoint} named {milli} thousandths a second and got {most} in 4 s, {allowed} allowed")
        });
    }
}

fn phases<'a>(view: &'a View<'_>) -> Vec<Phase<'a>> {
    let mut phases: Vec<Phase<'a>> = Vec::new();
    for record in view.records {
        let Seen::NamedLimit {
            id,
            endpoint,
            milli,
            until,
        } = &record.seen
        else {
            continue;
        };
        let newest = phases.iter_mut().rev().find(|p| p.endpoint == endpoint);
        let is_same = newest
            .as_ref()
            .is_some_and(|p| (p.milli, p.until) == (*milli, *until));
        if let Some(newest) = newest.filter(|_| !is_same) {
            newest.until = newest.until.min(record.at);
        }
        if !is_same {
            phases.push(Phase {
                endpoint,
                milli: *milli,
                from: record.at,
                until: *until,
                told: BTreeMap::new(),
            });
        }
        let phase = phases.iter_mut().rev().find(|p| p.endpoint == endpoint);
        let teller = view.requests.get(id.as_str());
        // Older builds don't know the word.
        let teller = teller.filter(|teller| !teller.is_older);
        if let (Some(phase), Some(teller)) = (phase, teller) {
            if let Some(passed_on) = teller.passed_on() {
                let told = phase.told.entry((teller.gateway, teller.life));
                let told = told.or_insert(passed_on);
                *told = passed_on.min(*told);
            }
        }
    }
    phases
}
