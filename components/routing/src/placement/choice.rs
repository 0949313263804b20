//! Chooses an endpoint for a request.

use std::time::Duration;

use notices::Notices;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::placement::balancer::{ms, Balancer, Placement};
use crate::placement::entry::EndpointEntry;
use crate::placement::exclusion::Exclusion;
use crate::placement::mix::PromptMix;
use crate::placement::network_cost::OWN_REGION;
use crate::placement::region_link::{link_bytes, LinkDecision, RegionCosts};
use crate::placement::service::{Fragility, ServiceEndpoints, UsableEndpoints};
use crate::placement::slowdown::SlowdownModel;
use crate::placement::timings::ServiceTimings;
use crate::placement::unreported::UnreportedRequests;
use crate::placement::{prefix_hashes, Versions, Work};

/// Endpoints whose costs differ by at most this are chosen between at random, in milliseconds.
const TIE_MS: f64 = 1.0;
/// Cost of each request that already runs at the engine, in milliseconds.
const CONCURRENT_REQUEST_MS: f64 = 0.3;
/// Exponent of the share of slots in use in the cost that a request puts on later ones: close to
/// zero at one half, and the whole time until a slot is free when it takes the last slot.
const USED_SLOTS_EXPONENT: i32 = 4;
/// Cost of an endpoint all of whose answers are faulty, in milliseconds.
const FAULTY_MS: f64 = 1000.0;
/// Cost of a suspected endpoint while another region has endpoints too, in milliseconds: as high as
/// for one all of whose answers are faulty.
const SUSPECTED_MS: f64 = FAULTY_MS;
/// Cost of an endpoint that is still slow after its start, in milliseconds.
const COLD_MS: f64 = 20.0;
/// A request to an endpoint with a rate limit costs this share of the interval between two
/// permitted requests, up to the maximum below in milliseconds.
const SCARCITY_SHARE: f64 = 0.25;
const MAX_SCARCITY_MS: f64 = 500.0;
/// Reading time of consecutive prompts above which callers notice a pause in their streams, in
/// milliseconds.
const MIN_NOTICED_PAUSE_MS: f64 = 350.0;
/// Cost per request whose stream a noticeable pause would stall, and its maximum, in milliseconds.
const STALLED_STREAM_MS: f64 = 60.0;
const MAX_STALLED_STREAMS_MS: f64 = 900.0;
/// Cost of a light prompt at an engine meant for heavy ones, in milliseconds.
const LIGHT_AMONG_HEAVY_MS: f64 = 200.0;
/// Cost of a heavy prompt at an engine meant for light ones, in milliseconds.
const HEAVY_AMONG_LIGHT_MS: f64 = 200.0;
/// With n endpoints and u unreported requests of other gateways, this factor times n / u endpoints
/// are compared.
const SAMPLE_FACTOR: f64 = 6.0;
/// Minimum number of endpoints that are compared.
const MIN_SAMPLE: usize = 2;
/// Share of a shared prompt that is expected to be cached at its home endpoint when no endpoint is
/// known to cache it.
const HOME_SHARE: f64 = 0.5;

// An endpoint with the cost of the request there.
#[derive(Clone, Copy)]
struct EndpointCost {
    cost_ms: f64,
    unread: u32,
    position: usize,
}

impl Balancer {
    /// Returns the endpoint for a request, or `None` if none takes it. Endpoints in `exclude` and
    /// those of other `versions` are skipped; suspected endpoints are used only if their region has
    /// no other. Each region's endpoints are compared among themselves, as the gateways there do. A
    /// request leaves its region only if it gains more than the network cost and the link has room.
    pub fn choose(
        &mut self,
        now: Duration,
        work: &Work,
        exclude: &[String],
        versions: Versions,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let exclusion = Exclusion {
            tried: exclude,
            sent_here: true,
            ..Exclusion::default()
        };
        self.choose_from(OWN_REGION, now, work, exclusion, versions, rng)
    }

    /// Like [`Balancer::choose`], for a request of a gateway in the region with index
    /// `home_region`.
    pub fn choose_from(
        &mut self,
        home_region: usize,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        versions: Versions,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        self.region_links.reset();
        let mut cost_model = CostModel {
            now,
            work,
            timings: self.timings_of(&work.service),
            slowdown_model: self.slowdown_model(&work.service),
            mix: self.mixes.get(&work.service).copied().unwrap_or_default(),
            hashes: prefix_hashes(&work.parts),
            hall_costs: self.hall_costs(home_region, work.body_bytes),
            has_several_regions: false,
            notices: &self.notices,
        };
        let endpoints = self.services.get_mut(&work.service)?;
        let max_refusals = self.notices.max_refusals_per_s(now, &work.service);
        let fragility = max_refusals.map(|max_refusals| Fragility {
            max_refusals,
            deciders: self.deciders,
        });
        let usable = endpoints.usable(now, exclusion, versions, &self.notices, fragility);
        let regions = endpoints.by_region(usable, home_region);
        cost_model.has_several_regions = regions.len() > 1;
        let (mut local_best, mut remote_best) = (None, None::<(usize, EndpointCost)>);
        let mut count = 0;
        for (region, positions) in regions {
            let best = remote_best.map_or(local_best, |(_, best)| Some(best));
            if region != home_region && !cost_model.can_be_cheaper(endpoints, &positions, best) {
                continue;
            }
            let unreported = self.unreported.entry((region, cost_model.is_heavy()));
            let unreported = unreported.or_default();
            let costs = cost_model.region_costs(endpoints, positions, unreported, rng);
            count += costs.len();
            let cheapest = cheapest(&costs, rng).copied();
            match cheapest {
                cheapest if region == home_region => local_best = cheapest,
                Some(found) if best.is_none_or(|best| found.cost_ms < best.cost_ms) => {
                    remote_best = Some((region, found));
                }
                _ => {}
            }
        }
        let home_ms = local_best.map(|best| best.cost_ms);
        let mut link_decision = LinkDecision::Local;
        if let Some((region, found)) = remote_best {
            let costs_by_region = RegionCosts {
                local_ms: home_ms,
                remote_ms: found.cost_ms,
                bytes: link_bytes(work),
            };
            // If the endpoint is in the own region, the link to the request's home region is
            // crossed.
            let linked_region = if region == OWN_REGION {
                home_region
            } else {
                region
            };
            let name = self.network_costs.topology().region_by_index(linked_region);
            link_decision = self.region_links.decide(now, name, costs_by_region);
        }
        let leaves_region = link_decision == LinkDecision::Remote;
        let chosen = match leaves_region {
            true => remote_best.map(|(_, found)| found)?,
            false => local_best?,
        };
        let entry = endpoints.at(chosen.position);
        let hold = cost_model.timings.expected_hold(work, chosen.unread);
        Some(Placement {
            endpoint: entry.spec.id.clone(),
            incarnation: entry.incarnation(),
            address: entry.spec.address,
            unread_tokens: chosen.unread,
            shared_prompt: shared_hash(&cost_model.hashes),
            expected_ms: chosen.cost_ms,
            hold: hold
                .mul_f64(entry.relative_duration(cost_model.timings, &cost_model.slowdown_model)),
            weighed: count,
            is_placed_by_peer: false,
            version: Some(entry.spec.version.clone()),
            is_cold: now < entry.cold_until,
            hall: entry.spec.zone.clone(),
            usable_until: None,
            home_ms: home_ms.filter(|_| leaves_region),
            link_bytes: if leaves_region { link_bytes(work) } else { 0 },
            is_link_limited: link_decision == LinkDecision::Declined,
            slowdown: cost_model
                .slowdown_model
                .expected(now, entry.slowdown_history),
        })
    }
}

// Returns the endpoint of lowest cost, at random among those within `TIE_MS` of it.
fn cheapest<'a>(costs: &'a [EndpointCost], rng: &mut impl Rng) -> Option<&'a EndpointCost> {
    let lowest_ms = costs.iter().map(|w| w.cost_ms).fold(f64::MAX, f64::min);
    let tied = costs.iter().filter(|w| w.cost_ms <= lowest_ms + TIE_MS);
    let tied: Vec<&EndpointCost> = tied.collect();
    match tied.len() {
        0 => None,
        count => Some(tied[rng.random_range(0..count)]),
    }
}

// Values needed to compute the costs of one request.
struct CostModel<'a> {
    now: Duration,
    work: &'a Work,
    timings: ServiceTimings,
    slowdown_model: SlowdownModel,
    mix: PromptMix,
    hashes: Vec<u64>,
    // Network cost by hall index.
    hall_costs: Vec<f64>,
    // Whether endpoints in several regions are usable.
    has_several_regions: bool,
    notices: &'a Notices,
}

impl CostModel<'_> {
    fn is_heavy(&self) -> bool {
        self.timings.is_heavy(self.work.prompt_tokens)
    }

    // Whether some of these endpoints could have a lower cost than the best one so far if nothing
    // waited there.
    fn can_be_cheaper(
        &self,
        endpoints: &ServiceEndpoints,
        positions: &[usize],
        best: Option<EndpointCost>,
    ) -> bool {
        let Some(best) = best else {
            return true;
        };
        let costs = positions
            .iter()
            .map(|at| self.hall_costs[endpoints.at(*at).hall_index]);
        costs.fold(f64::INFINITY, f64::min) < best.cost_ms
    }

    // Returns the costs at the endpoints of one region, or at a sample of them.
    fn region_costs(
        &self,
        endpoints: &mut ServiceEndpoints,
        positions: Vec<usize>,
        unreported: &mut UnreportedRequests,
        rng: &mut impl Rng,
    ) -> Vec<EndpointCost> {
        let is_heavy = self.is_heavy();
        let usable = endpoints.split_by_weight(self.now, positions, self.work, self.mix, is_heavy);
        let home = endpoints.home(shared_hash(&self.hashes), usable.group());
        let candidates = candidates(unreported.expected(self.now), &usable, home, rng);
        let costs = candidates.into_iter().map(|position| {
            let entry = endpoints.at_mut(position);
            let unread = self.unread(entry, home == Some(position));
            let mut cost_ms = self.cost_ms(entry, unread);
            cost_ms += self.hall_costs[entry.hall_index];
            if self.has_several_regions && entry.is_suspected(self.now) {
                cost_ms += SUSPECTED_MS;
            }
            if !usable.is_in_group(position) {
                cost_ms += match is_heavy {
                    true => HEAVY_AMONG_LIGHT_MS,
                    false => LIGHT_AMONG_HEAVY_MS,
                };
            }
            EndpointCost {
                cost_ms,
                unread,
                position,
            }
        });
        costs.collect()
    }

    // Returns the prompt tokens that an endpoint would have to read.
    fn unread(&self, entry: &EndpointEntry, is_home: bool) -> u32 {
        let work = self.work;
        if work.prompt_tokens == 0 {
            return 0;
        }
        let cached = self.hashes.iter().rposition(|h| entry.cache.contains(*h));
        let count = cached.map_or(0, |last| last + 1);
        let tokens = |count: usize| work.parts[..count].iter().map(|p| p.tokens).sum::<u32>();
        let mut cached_tokens = tokens(count);
        if is_home && count + 1 < work.parts.len() {
            let shared = f64::from(tokens(work.parts.len() - 1));
            cached_tokens = cached_tokens.max((shared * HOME_SHARE) as u32);
        }
        work.prompt_tokens.saturating_sub(cached_tokens)
    }

    // Returns the expected time to the first token there plus the cost for other requests.
    fn cost_ms(&self, entry: &mut EndpointEntry, unread: u32) -> f64 {
        let (now, timings) = (self.now, self.timings);
        let slowdown = self
            .slowdown_model
            .relative_slowdown(now, entry.slowdown_history);
        let rate = entry.rate(timings) / slowdown;
        let load = f64::from(entry.load(now));
        let slots = f64::from(entry.spec.slots.max(1));
        let waiting = (load + 1.0 - slots).max(0.0);
        let hold_ms = timings.hold_ms * slowdown;
        let mut cost = waiting * hold_ms / slots;
        if entry.is_engine {
            cost += used_slots_ms((load + 1.0) / slots, hold_ms / slots);
        }
        if self.work.prompt_tokens > 0 {
            let ahead = ms(entry.queue.wait(now, rate));
            let reading = f64::from(unread) / rate;
            cost +=
                ahead + reading + ms(entry.queue.overdue(now, rate)) + load * CONCURRENT_REQUEST_MS;
            if ahead < MIN_NOTICED_PAUSE_MS && ahead + reading > MIN_NOTICED_PAUSE_MS {
                cost += (load * STALLED_STREAM_MS).min(MAX_STALLED_STREAMS_MS);
            }
        } else {
            let slower_ms = hold_ms - timings.hold_ms;
            cost += load / slots * hold_ms + slower_ms.max(0.0);
        }
        cost += entry.fault_share * FAULTY_MS;
        cost += self.scarcity_ms(entry);
        cost += if now < entry.cold_until { COLD_MS } else { 0.0 };
        cost
    }

    // Returns the cost of using one of the few requests that an endpoint's rate limit permits.
    fn scarcity_ms(&self, entry: &EndpointEntry) -> f64 {
        let limit = match self.notices.is_empty() {
            true => None,
            false => self.notices.limit(entry.incarnation()),
        };
        limit.map_or(0.0, |rate| {
            (SCARCITY_SHARE * 1000.0 / rate.per_s()).min(MAX_SCARCITY_MS)
        })
    }
}

// Returns the cost of a request for later ones, by the share of slots in use including its own.
// Where most slots are in use, later requests wait or preempt less urgent ones, whose prompts have
// to be read again. `free_ms` is the time until a slot becomes free when all are in use.
fn used_slots_ms(used_share: f64, free_ms: f64) -> f64 {
    free_ms * used_share.min(1.0).powi(USED_SLOTS_EXPONENT)
}

// Returns the positions of all endpoints, or of a random sample if many requests of other gateways
// are unreported. Otherwise all gateways would choose the same best endpoint.
fn candidates(
    unreported: f64,
    usable: &UsableEndpoints,
    home: Option<usize>,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let group = usable.group();
    let wanted = SAMPLE_FACTOR * group.len() as f64 / unreported.max(1.0);
    let wanted = (wanted.ceil() as usize).max(MIN_SAMPLE);
    if wanted >= group.len() {
        return usable.positions.clone();
    }
    let mut candidates: Vec<usize> = group.sample(rng, wanted).copied().collect();
    candidates.extend(usable.outside().choose(rng));
    candidates.extend(home.filter(|position| !candidates.contains(position)));
    candidates
}

// The last part belongs to this request alone, so the shared prefix ends before it.
fn shared_hash(hashes: &[u64]) -> u64 {
    match hashes.len() {
        0 | 1 => 0,
        count => hashes[count - 2],
    }
}
