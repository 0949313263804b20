//! Choice of the software version that runs a request while a roll-out is ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use directory::Route;
use rand::RngExt;
use rollout::{Allowance, Answer, Order, Request, Side, Stage, VersionFilter, VersionSelector};
use routing::placement::{Exclusion, Placement, Versions, Work};
use xxhash_rust::xxh3::xxh3_64;

use crate::freshness::MaxAges;
use crate::state::State;

/// Minimum number of endpoints of the ordered version that get a sample of the requests: with three, one
/// faulty endpoint can be told from a bad version.
const MIN_SAMPLED: usize = 3;
/// Number of sampled endpoints of the ordered version, as a fraction of the old endpoints. It is as small as
/// the sample of the requests, so that they carry the same load as the old ones.
const SAMPLED_FRACTION: f64 = 0.05;

/// Properties of a request that decide which version runs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTraits<'a> {
    /// Hash of its route.
    pub route: u64,
    /// Whether its run is lost if its endpoint ends.
    pub is_lost_when_cut: bool,
    /// Index of the region that it comes from, 0 for the own region.
    pub home_region: usize,
    /// Version that began the stream which the request continues; no other may run it.
    pub required_version: Option<&'a str>,
    /// Whether the answer is a stream that another endpoint may continue.
    pub can_continue: bool,
}

/// Result of a request at an endpoint of a known version, as evidence for a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RolloutAnswer {
    /// Service of the endpoint.
    pub service: String,
    /// Revision of the roll-out order.
    pub revision: u64,
    /// Hash of the request's route.
    pub route: u64,
    /// Whether the endpoint runs the ordered or an old version.
    pub side: Side,
    /// Incarnation hash of the endpoint.
    pub endpoint: u64,
    /// Result of the request.
    pub answer: Answer,
}

/// Hash that identifies a route in messages between gateways.
pub(crate) fn route_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Whether a run on a route is lost if its endpoint ends: it takes long, and no other endpoint can continue
/// it.
pub(crate) fn is_lost_when_cut(route: &Route) -> bool {
    route.execution.is_stream() && !route.execution.is_repeatable()
}

/// Roll-out gates by service.
#[derive(Debug, Default)]
pub(crate) struct RolloutGates {
    gates: BTreeMap<String, VersionSelector>,
}

impl RolloutGates {
    /// Adds a new order, which replaces an earlier one of the same service.
    pub fn order(&mut self, order: Order, predates_process: bool) {
        let service = order.service.clone();
        let mut selector = VersionSelector::new(order);
        if predates_process {
            selector.withhold_extra();
        }
        self.gates.insert(service, selector);
    }

    /// Sets the revision of a service's order after it was rewritten in a restored store.
    pub fn renumber(&mut self, service: &str, revision: u64) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.set_revision(revision);
        }
    }

    /// Removes the withdrawn order of a service.
    pub fn withdraw(&mut self, service: &str) {
        self.gates.remove(service);
    }

    /// Applies a stage that the lease holder reported at time `at`.
    pub fn receive(&mut self, at: Duration, service: &str, revision: u64, stage: Stage) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.receive(at, revision, stage);
        }
    }

    /// The evidence that an answer gives for a roll-out, if one is under way and the version of the endpoint
    /// is known.
    pub fn answer_report(
        &self,
        placement: &Placement,
        service: &str,
        route: u64,
        answer: Answer,
    ) -> Option<RolloutAnswer> {
        let order = self.under_way(service)?.order();
        if placement.is_cold {
            return None;
        }
        let side = match *placement.version.as_ref()? == order.version {
            true => Side::New,
            false => Side::Old,
        };
        Some(RolloutAnswer {
            service: service.to_string(),
            revision: order.revision,
            route,
            side,
            endpoint: placement.incarnation,
            answer,
        })
    }

    /// The gate of a roll-out that is not decided yet.
    pub fn under_way(&self, service: &str) -> Option<&VersionSelector> {
        let gate = self.gates.get(service);
        gate.filter(|gate| gate.decision().is_none())
    }
}

impl State {
    /// Chooses an endpoint, preferably of the version that the roll-out assigns to the request.
    pub fn choose(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        traits: RequestTraits,
    ) -> Option<Placement> {
        let max_age = MaxAges::of(&self.settings).endpoints;
        let usable_until = self.record_age.usable_until(max_age);
        let placement = self.choose_by_version(now, work, exclusion, traits)?;
        Some(Placement {
            usable_until: usable_until.filter(|until| now < *until),
            ..placement
        })
    }

    fn choose_by_version(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        traits: RequestTraits,
    ) -> Option<Placement> {
        if let Some(version) = traits.required_version {
            return self.choose_required(now, work, exclusion, traits, version);
        }
        if traits.can_continue {
            let lifetime = self.stream_lifetime(&work.service);
            let unsettled = self
                .history
                .unsettled_versions(now, &work.service, lifetime);
            let settled = Exclusion {
                versions: &unsettled,
                ..exclusion
            };
            let placed = self.choose_by_rollout(now, work, settled, traits);
            if placed.is_some() || unsettled.is_empty() {
                return placed;
            }
        }
        self.choose_by_rollout(now, work, exclusion, traits)
    }

    fn choose_by_rollout(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        traits: RequestTraits,
    ) -> Option<Placement> {
        let lane = self.lane(now, work, exclusion, traits);
        let mut placed = self.choose_in(now, work, exclusion, &lane, traits.home_region);
        if let (None, VersionFilter::Only(version)) = (&placed, &lane) {
            let elsewhere = match self.gates.under_way(&work.service) {
                Some(_) => VersionFilter::Not(version.clone()),
                // Endpoints may have been replaced by a later version without an order.
                None => VersionFilter::Any,
            };
            placed = self.choose_in(now, work, exclusion, &elsewhere, traits.home_region);
        }
        self.record_placement(work, traits, placed.as_ref());
        placed
    }

    // Chooses an endpoint for a request that only this version may run.
    fn choose_required(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        traits: RequestTraits,
        version: &str,
    ) -> Option<Placement> {
        let allowance = self.allowance();
        let gate = self.gates.gates.get(&work.service);
        if gate.is_some_and(|gate| !gate.allows_continuation(now, allowance, version)) {
            return None;
        }
        let only = VersionFilter::Only(version.to_string());
        let versions = filter_versions(&only);
        let rng = &mut self.rng;
        let region = traits.home_region;
        let placed = self
            .balancer
            .choose_from(region, now, work, exclusion, versions, rng);
        // The endpoint may run another version by now.
        let placed = placed.filter(|placed| self.version_of(now, placed).is_some());
        self.record_placement(work, traits, placed.as_ref());
        placed
    }

    fn record_placement(&mut self, work: &Work, traits: RequestTraits, placed: Option<&Placement>) {
        if let (Some(gate), Some(placement)) = (self.gates.gates.get_mut(&work.service), placed) {
            let is_new = placement.version.as_ref() == Some(&gate.order().version);
            gate.record_placement(traits.route, is_new);
        }
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            fraction: f64::from(self.settings.exposure_milli) / 1000.0,
            extra: f64::from(self.settings.exposure_extra),
            placing_gateways: self.fleet.decider_count,
        }
    }

    fn choose_in(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        lane: &VersionFilter,
        home_region: usize,
    ) -> Option<Placement> {
        let under_way = self.gates.under_way(&work.service);
        let is_sampled = under_way.is_some_and(|gate| gate.stage(now) == Some(Stage::Sample));
        let versions = match lane {
            VersionFilter::Only(version) if is_sampled => {
                let old = self
                    .balancer
                    .ready_count(now, &work.service, Versions::Not(version));
                let few = (old as f64 * SAMPLED_FRACTION).ceil() as usize;
                Versions::Few(version, few.max(MIN_SAMPLED))
            }
            lane => filter_versions(lane),
        };
        let rng = &mut self.rng;
        self.balancer
            .choose_from(home_region, now, work, exclusion, versions, rng)
    }

    fn lane(
        &mut self,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        traits: RequestTraits,
    ) -> VersionFilter {
        let allowance = self.allowance();
        let Some(gate) = self.gates.gates.get(&work.service) else {
            return VersionFilter::Any;
        };
        // Without a known stage and without old endpoints, the order was decided before this process started.
        let version = &gate.order().version;
        let old = Versions::Not(version);
        if gate.stage(now).is_none() && self.balancer.ready_count(now, &work.service, old) == 0 {
            return VersionFilter::Any;
        }
        let request = Request {
            route: traits.route,
            runs_long: traits.is_lost_when_cut,
            is_repeat: !exclusion.tried.is_empty(),
        };
        gate.select_versions(now, allowance, request, self.rng.random())
    }
}

fn filter_versions(filter: &VersionFilter) -> Versions<'_> {
    match filter {
        VersionFilter::Any => Versions::Any,
        VersionFilter::Not(version) => Versions::Not(version),
        VersionFilter::Only(version) => Versions::Only(version),
    }
}
