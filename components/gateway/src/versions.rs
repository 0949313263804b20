//! Which version of a service's software runs a request while a roll-out is ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use directory::Route;
use rand::RngExt;
use rollout::{Allowance, Answer, Gate, Lane, Order, Request, Side, Stage};
use routing::placement::{Exclusion, Placement, Versions, Work};
use xxhash_rust::xxh3::xxh3_64;

use crate::state::State;

/// Fewest endpoints of the ordered version that get a part of the requests: one of them that is ill is then distinguished
/// from a bad version.
const LEAST_SAMPLED: usize = 3;
/// Part of the old endpoints as many of the ordered version get a part of the requests: as small as that part, so
/// that they are loaded as the old ones are.
const SAMPLED_PART: f64 = 0.05;

/// What matters of a request for the version that runs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// Hash of its route.
    pub route: u64,
    /// Whether its run would be lost if its endpoint ended.
    pub is_lost_when_cut: bool,
    /// Place of the region that it comes from, 0 for the own one.
    pub home_region: usize,
}

/// An answer that speaks of a version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Digest {
    /// Service of the endpoint.
    pub service: String,
    /// Revision of the order.
    pub revision: u64,
    /// Hash of the request's route.
    pub route: u64,
    /// Its version.
    pub side: Side,
    /// Hash of the endpoint.
    pub endpoint: u64,
    /// How it answered.
    pub answer: Answer,
}

/// Hash under which gateways name a route to each other.
pub(crate) fn route_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Whether a run on a route is lost if its endpoint ends: it takes long, and no other endpoint can go on with it.
pub(crate) fn is_lost_when_cut(route: &Route) -> bool {
    route.execution.is_stream() && !route.execution.is_repeatable()
}

/// What is known of the ordered versions, by service.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: BTreeMap<String, Gate>,
}

impl Gates {
    /// Takes a new order, which replaces an earlier one of its service.
    pub fn order(&mut self, order: Order) {
        let service = order.service.clone();
        self.gates.insert(service, Gate::new(order));
    }

    /// Sets the revision of a service's order after it was rewritten in a restored store.
    pub fn renumber(&mut self, service: &str, revision: u64) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.renumber(revision);
        }
    }

    /// An order was withdrawn.
    pub fn withdraw(&mut self, service: &str) {
        self.gates.remove(service);
    }

    /// Takes what the holder said of an order, and when.
    pub fn receive(&mut self, at: Duration, service: &str, revision: u64, stage: Stage) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.receive(at, revision, stage);
        }
    }

    /// What an answer of an endpoint says of a roll-out, if one is under way.
    pub fn reported(
        &self,
        placement: &Placement,
        service: &str,
        route: u64,
        answer: Answer,
    ) -> Option<Digest> {
        let order = self.under_way(service)?.order();
        if placement.is_cold {
            return None;
        }
        let side = match *placement.version.as_ref()? == order.version {
            true => Side::New,
            false => Side::Old,
        };
        Some(Digest {
            service: service.to_string(),
            revision: order.revision,
            route,
            side,
            endpoint: placement.incarnation,
            answer,
        })
    }

    /// The gate of a roll-out that is not decided yet.
    pub fn under_way(&self, service: &str) -> Option<&Gate> {
        let gate = self.gates.get(service);
        gate.filter(|gate| gate.decision().is_none())
    }
}

impl State {
    /// Chooses an endpoint, of the version that is to run the request.
    pub fn choose(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        asked: Asked,
    ) -> Option<Placement> {
        let lane = self.lane(now, work, exclusion, asked);
        let mut placed = self.choose_in(now, work, exclusion, &lane, asked.home_region);
        if let (None, Lane::Only(version)) = (&placed, &lane) {
            let elsewhere = match self.gates.under_way(&work.service) {
                Some(_) => Lane::Not(version.clone()),
                // Endpoints may have been replaced by a later version without an order.
                None => Lane::Any,
            };
            placed = self.choose_in(now, work, exclusion, &elsewhere, asked.home_region);
        }
        if let (Some(gate), Some(placement)) = (self.gates.gates.get_mut(&work.service), &placed) {
            let is_new = placement.version.as_ref() == Some(&gate.order().version);
            gate.note(asked.route, is_new);
        }
        placed
    }

    fn choose_in(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        lane: &Lane,
        home_region: usize,
    ) -> Option<Placement> {
        let under_way = self.gates.under_way(&work.service);
        let is_sampled = under_way.is_some_and(|gate| gate.stage(now) == Some(Stage::Sample));
        let versions = match lane {
            Lane::Any => Versions::Any,
            Lane::Not(version) => Versions::Not(version),
            Lane::Only(version) if is_sampled => {
                let old = self
                    .board
                    .ready_count(now, &work.service, Versions::Not(version));
                let few = (old as f64 * SAMPLED_PART).ceil() as usize;
                Versions::Few(version, few.max(LEAST_SAMPLED))
            }
            Lane::Only(version) => Versions::Only(version),
        };
        let rng = &mut self.rng;
        self.board
            .choose_from(home_region, now, work, exclusion, versions, rng)
    }

    fn lane(&mut self, now: Duration, work: &Work, exclusion: Exclusion, asked: Asked) -> Lane {
        let allowance = Allowance {
            fraction: f64::from(self.settings.exposure_milli) / 1000.0,
            extra: f64::from(self.settings.exposure_extra),
            placing: self.fleet.decider_count,
        };
        let Some(gate) = self.gates.gates.get(&work.service) else {
            return Lane::Any;
        };
        // Nothing is known of the order: it was decided before this process began, if no old endpoint is left.
        let version = &gate.order().version;
        let old = Versions::Not(version);
        if gate.stage(now).is_none() && self.board.ready_count(now, &work.service, old) == 0 {
            return Lane::Any;
        }
        let request = Request {
            route: asked.route,
            runs_long: asked.is_lost_when_cut,
            is_repeat: !exclusion.tried.is_empty(),
        };
        gate.lane(now, allowance, request, self.rng.random())
    }
}
