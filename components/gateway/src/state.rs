//! State of the traffic thread that its decisions are based on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Directory, Endpoint, Tenant};
use limits::{EqualShare, RateLimit, RetryBudget, RetryTerms, SendAccounts, SharedQuota};
use memory::Ledger;
use origins::VersionHistory;
use quarantine::{prompt_part, Quarantine};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachability::{Paths, PlacedEndpoints, Relays};
use routing::placement::{Balancer, Exclusion, Placement, Work};
use schema::settings::GatewaySettings;
use topology::Topology;

use crate::connection_pool::ConnectionPool;
use crate::interrupted::InterruptedRuns;
use crate::link_parts::link_parts;
use crate::peers::GatewayFleet;
use crate::record_age::RecordAge;
use crate::retry_permit::SharedRetryBudget;
use crate::tally::{SentRequest, ServiceLoad, Tally};
use crate::versions::{RequestTraits, RolloutGates};

/// A stream lasts at most this many times the timeout of its route: a caller may spend the timeout of one try and begin another
/// one, which ends with the caller's own deadline.
const STREAM_LIFETIME_TIMEOUTS: u32 = 2;
/// Upper limit of the age of a table of endpoints from which the only version of a service is concluded. New streams wait that long
/// before they begin at a second version.
const LONGEST_TABLE_AGE: Duration = Duration::from_secs(4);
/// Lifetime of streams of a service that has no route with streams.
const DEFAULT_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// State of the traffic thread that its decisions are based on.
#[derive(Debug)]
pub(crate) struct State {
    pub balancer: Balancer,
    // Whether the balancer has all endpoints.
    pub endpoints_known: bool,
    pub directory: Option<Rc<Directory>>,
    pub pool: ConnectionPool,
    /// This gateway's own paths to the endpoints.
    pub paths: Paths,
    /// Gateways through which it reaches endpoints otherwise.
    pub relays: Relays,
    /// Endpoints on which other gateways placed requests of this one.
    pub placed_endpoints: PlacedEndpoints,
    pub quotas: BTreeMap<String, SharedQuota>,
    pub retry_budgets: BTreeMap<String, SharedRetryBudget>,
    /// This gateway's equal part of what all gateways share.
    pub equal_share: EqualShare,
    pub tally: Tally,
    pub fleet: GatewayFleet,
    // Largest number of gateways known at any time since the start.
    max_known_gateways: usize,
    pub rng: ChaCha8Rng,
    pub settings: Arc<GatewaySettings>,
    pub gates: RolloutGates,
    pub quarantine: Quarantine,
    pub cuts: InterruptedRuns,
    /// Send accounts that this gateway keeps, of endpoints with a stated limit.
    pub accounts: SendAccounts,
    /// Software versions that served each service lately.
    pub history: VersionHistory,
    /// Age of the balancer's endpoint records.
    pub record_age: RecordAge,
    // Longest time that a stream may last over all tries of its caller, by service.
    stream_lifetimes: BTreeMap<String, Duration>,
}

impl State {
    /// Initial state, without a configuration or endpoints.
    pub fn new(settings: Arc<GatewaySettings>, ledger: &Ledger) -> Self {
        let turn = prompt_part(&settings.name, 0).0;
        let mut state = State {
            balancer: balancer_of(&settings),
            endpoints_known: false,
            directory: None,
            pool: ConnectionPool::new(ledger),
            paths: Paths::default(),
            relays: Relays::default(),
            placed_endpoints: PlacedEndpoints::default(),
            quotas: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            equal_share: EqualShare::default(),
            tally: Tally::default(),
            fleet: GatewayFleet::default(),
            max_known_gateways: 1,
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            settings,
            gates: RolloutGates::default(),
            quarantine: Quarantine::with_turn(turn),
            cuts: InterruptedRuns::default(),
            accounts: SendAccounts::default(),
            history: VersionHistory::default(),
            record_age: RecordAge::default(),
            stream_lifetimes: BTreeMap::new(),
        };
        state.set_link_parts(Duration::ZERO);
        state.set_max_table_age();
        state
    }

    /// Returns units of a team's limit that were charged here and not used.
    pub fn give_back(&mut self, now: Duration, team: &str, units: u64) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.give_back(now, units);
        }
    }

    /// Places a request of another gateway, if an endpoint accepts work. `excluded` and `closed` are hashes of
    /// endpoints.
    pub fn place_for_peer(
        &mut self,
        now: Duration,
        work: &Work,
        excluded: &[i64],
        closed: &[i64],
        traits: RequestTraits,
    ) -> Option<Placement> {
        let (tried, closed) = (self.ids_of(excluded), self.ids_of(closed));
        let exclusion = Exclusion {
            tried: &tried,
            closed: &closed,
            // Pauses were asked of the gateway that sends the request, not of this one.
            sent_here: false,
            versions: &[],
        };
        let placement = self.choose(now, work, exclusion, traits)?;
        self.balancer.placed_for_peer(now, work, &placement);
        self.tally.sent.push(sent_request(now, &placement));
        Some(placement)
    }

    /// Adds or replaces the record of an endpoint.
    pub fn insert_endpoint(&mut self, now: Duration, endpoint: Endpoint) {
        let known = self.balancer.endpoint(&endpoint.id);
        let owner = |endpoint: &Endpoint| (endpoint.service.clone(), endpoint.version.clone());
        let (before, after) = (known.map(owner), owner(&endpoint));
        if before.as_ref() != Some(&after) {
            if let Some((service, version)) = before {
                self.history.endpoint_removed(now, &service, &version);
            }
            self.history.endpoint_added(now, &after.0, &after.1);
        }
        self.balancer.insert(now, endpoint);
    }

    /// Removes the record of an endpoint.
    pub fn remove_endpoint(&mut self, now: Duration, id: &str) {
        if let Some(known) = self.balancer.endpoint(id) {
            let (service, version) = (known.service.clone(), known.version.clone());
            self.history.endpoint_removed(now, &service, &version);
            let lifetime = self.stream_lifetime(&service);
            self.history.forget_before(now, &service, lifetime);
        }
        self.balancer.remove(id);
    }

    /// Longest time that a stream of a service may last over all tries of its caller.
    pub fn stream_lifetime(&self, service: &str) -> Duration {
        let lifetime = self.stream_lifetimes.get(service).copied();
        lifetime.unwrap_or(DEFAULT_STREAM_LIFETIME)
    }

    /// The only software version that can have begun a stream of a service, if this gateway knows.
    pub fn only_version(&self, now: Duration, service: &str) -> Option<&str> {
        let is_known = self.fleet.decides && self.endpoints_known;
        let lifetime = self.stream_lifetime(service);
        let only = self.history.only_version(now, service, lifetime);
        only.filter(|_| is_known)
    }

    /// Software version of the endpoint that a request is placed on; `None` if it may have changed: an endpoint that keeps its id
    /// over restarts, while the table of endpoints is not confirmed.
    pub fn version_of(&self, now: Duration, placement: &Placement) -> Option<String> {
        let known = self.balancer.endpoint(&placement.endpoint);
        let keeps_id = known.is_some_and(|known| known.born_ms.is_some());
        let may_have_changed = keeps_id && !self.history.is_confirmed(now);
        placement.version.clone().filter(|_| !may_have_changed)
    }

    // Ids of the known endpoints with these hashes.
    fn ids_of(&self, hashes: &[i64]) -> Vec<String> {
        let hashes = hashes.iter().map(|hash| *hash as u64);
        hashes
            .filter_map(|hash| self.balancer.id_of(hash))
            .collect()
    }

    /// Picks one of a route's services at random, by weight.
    pub fn pick_service(&mut self, split: &[directory::Share]) -> Option<String> {
        let total: u64 = split.iter().map(|share| u64::from(share.weight)).sum();
        if split.len() < 2 || total == 0 {
            return split.first().map(|share| share.service.clone());
        }
        let mut at = self.rng.random_range(0..total);
        for share in split {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(share.service.clone());
            }
            at -= weight;
        }
        None
    }

    /// Adds a request to the retry budget of a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        let budget = self.retry_budget(service);
        budget.borrow_mut().record_request(now);
    }

    /// The retry budget of a service.
    pub fn retry_budget(&mut self, service: &str) -> SharedRetryBudget {
        if let Some(budget) = self.retry_budgets.get(service) {
            return Rc::clone(budget);
        }
        let budget = Rc::new(RefCell::new(RetryBudget::new(self.retry_terms())));
        self.retry_budgets
            .insert(service.to_string(), Rc::clone(&budget));
        budget
    }

    /// Applies a configuration.
    pub fn configure(&mut self, now: Duration, configuration: Arc<Configuration>) {
        self.balancer.configure(&configuration);
        let part = self.fleet.part;
        let mut quotas = BTreeMap::new();
        for team in &configuration.tenants {
            let Some(limit) = self.limit_of(team) else {
                continue;
            };
            let mut quota = match self.quotas.remove(&team.name) {
                Some(quota) => quota,
                None => SharedQuota::new(now, limit),
            };
            quota.set_limit(now, limit);
            quota.set_part(now, part);
            quotas.insert(team.name.clone(), quota);
        }
        self.quotas = quotas;
        self.stream_lifetimes = stream_lifetimes(&configuration);
        self.directory = Some(Rc::new(Directory::new(configuration)));
    }

    // Rate limit of a team. The burst of a limit in tokens has slack for the age of the other gateways'
    // reports: a quarter of the configured one.
    fn limit_of(&self, team: &Tenant) -> Option<RateLimit> {
        const SLACK_PART: f64 = 0.25;
        let quota = team.quota?;
        let slack = match quota.default_token_cost {
            Some(_) => self.settings.quota_slack as f64 * SLACK_PART,
            None => 0.0,
        };
        Some(RateLimit {
            rate: quota.rate,
            burst: quota.burst + slack,
        })
    }

    /// Applies a change of the known gateways and coordinators.
    pub fn set_fleet(&mut self, now: Duration, fleet: GatewayFleet) {
        let part = fleet.part;
        self.max_known_gateways = self.max_known_gateways.max(fleet.gateways);
        if fleet.is_counted {
            self.equal_share.record_count(now, fleet.gateways);
        }
        self.relays.set_candidates(now, fleet.relays.clone());
        let relays = &self.relays;
        self.pool
            .drop_idle_of_relays(|relay| relays.can_reuse(now, relay));
        self.balancer.set_deciders(fleet.decider_count);
        self.fleet = fleet;
        for quota in self.quotas.values_mut() {
            quota.set_part(now, part);
        }
        self.set_link_parts(now);
    }

    pub fn set_settings(&mut self, now: Duration, settings: Arc<GatewaySettings>) {
        self.settings = settings;
        let kbit = self.settings.region_link_kbit.max(0) as u64;
        self.balancer.network_costs_mut().set_link_rate(kbit);
        self.set_link_parts(now);
        self.set_max_table_age();
    }

    fn set_max_table_age(&mut self) {
        let change_due = Duration::from_millis(self.settings.change_due_ms.max(0) as u64);
        self.history
            .set_max_table_age(change_due.min(LONGEST_TABLE_AGE));
    }

    fn set_link_parts(&mut self, now: Duration) {
        let kbit = self.settings.region_link_kbit.max(0) as u64;
        let parts = link_parts(
            self.balancer.network_costs().topology(),
            kbit,
            self.fleet.decides,
            self.max_known_gateways,
        );
        self.balancer.set_link_rates(now, &parts);
    }

    /// Terms of the retry budgets, from the settings.
    pub fn retry_terms(&self) -> RetryTerms {
        RetryTerms {
            ratio: f64::from(self.settings.repeats_milli) / 1000.0,
            extra: f64::from(self.settings.repeats_extra),
            window: Duration::from_millis(self.settings.repeats_window_ms.max(1) as u64),
        }
    }

    /// This gateway's part of the fixed allowance of every retry budget, from 0 to 1.
    pub fn retry_part(&self, now: Duration) -> f64 {
        self.equal_share.part(now, self.retry_terms().window)
    }

    /// Loads of the services that are scaled.
    pub fn loads(&mut self, now: Duration) -> BTreeMap<String, ServiceLoad> {
        let Some(directory) = self.directory.clone() else {
            return BTreeMap::new();
        };
        let services = directory.configuration().services.iter();
        let scaled = services.filter(|(_, service)| service.scaling.is_some());
        scaled
            .map(|(name, _)| {
                let load = ServiceLoad {
                    halls: self.balancer.occupancy(now, name),
                    has_engines: self.balancer.has_engines(name),
                    engine_stats: self.balancer.learnt(name),
                };
                (name.clone(), load)
            })
            .collect()
    }
}

fn balancer_of(settings: &GatewaySettings) -> Balancer {
    let topology = Topology::new(&settings.zone, &settings.region, &settings.halls);
    let mut balancer = Balancer::with_topology(topology);
    let kbit = settings.region_link_kbit.max(0) as u64;
    balancer.network_costs_mut().set_link_rate(kbit);
    balancer
}

/// The record of a sent request for the other gateways.
pub(crate) fn sent_request(now: Duration, placement: &Placement) -> SentRequest {
    SentRequest {
        endpoint: placement.incarnation,
        unread_tokens: placement.unread_tokens,
        shared_prompt: placement.shared_prompt,
        at: now,
        hold: placement.hold,
    }
}

fn stream_lifetimes(configuration: &Configuration) -> BTreeMap<String, Duration> {
    let mut lifetimes = BTreeMap::new();
    let streaming = configuration.routes.iter();
    for route in streaming.filter(|route| route.execution.is_stream()) {
        let lifetime = route.timeout * STREAM_LIFETIME_TIMEOUTS;
        for share in &route.split {
            let longest: &mut Duration = lifetimes.entry(share.service.clone()).or_default();
            *longest = (*longest).max(lifetime);
        }
    }
    lifetimes
}
