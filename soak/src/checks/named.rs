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

impl<'a> Phase<'a> {
    fn begin(endpoint: &'a str, from: u64, milli: u64, until: u64) -> Self {
        Phase {
            endpoint,
            milli,
            from,
            until,
            told: BTreeMap::new(),
        }
    }

    fn is_same(&self, milli: u64, until: u64) -> bool {
        self.milli == milli && self.until == until
    }

    fn end(&mut self, at: u64) {
        self.until = self.until.min(at);
    }

    // A gateway passed an answer on that names the limit.
    fn tell(&mut self, teller: &Request<'_>) {
        let Some(passed_on) = teller.passed_on() else {
            return;
        };
        let told = self.told.entry((teller.gateway, teller.life));
        let told = told.or_insert(passed_on);
        *told = passed_on.min(*told);
    }

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
    // By endpoint, its place among the phases while its start and its limit stay the same.
    let mut open: BTreeMap<&str, usize> = BTreeMap::new();
    for record in view.records {
        let (id, endpoint, milli, until) = match &record.seen {
            Seen::EndpointStarted { endpoint } => {
                if let Some(number) = open.remove(endpoint.as_str()) {
                    phases[number].end(record.at);
                }
                continue;
            }
            Seen::NamedLimit {
                id,
                endpoint,
                milli,
                until,
            } => (id.as_str(), endpoint.as_str(), *milli, *until),
            _ => continue,
        };
        let known = open.get(endpoint).copied();
        let number = match known {
            Some(number) if phases[number].is_same(milli, until) => number,
            known => {
                if let Some(before) = known {
                    phases[before].end(record.at);
                }
                phases.push(Phase::begin(endpoint, record.at, milli, until));
                open.insert(endpoint, phases.len() - 1);
                phases.len() - 1
            }
        };
        // Older builds don't know the word.
        let teller = view.requests.get(id).filter(|teller| !teller.is_older);
        if let Some(teller) = teller {
            phases[number].tell(teller);
        }
    }
    phases
}
