//! Everything the traffic thread decides from.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Directory, Tenant};
use limits::{RateLimit, RetryBudget, RetryTerms, SendAccounts, SharedQuota};
use memory::Ledger;
use quarantine::Quarantine;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::placement::{Balancer, Exclusion, Placement, Work};
use schema::settings::GatewaySettings;
use topology::Topology;

use crate::cut::Cuts;
use crate::link_parts::link_parts;
use crate::peers::GatewayFleet;
use crate::pool::Pool;
use crate::tally::{Sent, ServiceLoad, Tally};
use crate::versions::{Asked, Gates};

/// Everything the traffic thread decides from.
#[derive(Debug)]
pub(crate) struct State {
    pub board: Balancer,
    // Whether the board holds all endpoints.
    pub endpoints_known: bool,
    pub directory: Option<Rc<Directory>>,
    pub pool: Pool,
    pub quotas: BTreeMap<String, SharedQuota>,
    pub repeats: BTreeMap<String, RetryBudget>,
    pub tally: Tally,
    pub fleet: GatewayFleet,
    // The most gateways that were ever known.
    most_gateways: usize,
    pub rng: ChaCha8Rng,
    pub settings: Arc<GatewaySettings>,
    pub gates: Gates,
    pub quarantine: Quarantine,
    pub cuts: Cuts,
    /// Accounts of endpoints that name limits, those that this gateway keeps.
    pub accounts: SendAccounts,
}

impl State {
    /// Nothing known yet.
    pub fn new(settings: Arc<GatewaySettings>, ledger: &Ledger) -> Self {
        let mut state = State {
            board: board_of(&settings),
            endpoints_known: false,
            directory: None,
            pool: Pool::new(ledger),
            quotas: BTreeMap::new(),
            repeats: BTreeMap::new(),
            tally: Tally::default(),
            fleet: GatewayFleet::default(),
            most_gateways: 1,
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            settings,
            gates: Gates::default(),
            quarantine: Quarantine::default(),
            cuts: Cuts::default(),
            accounts: SendAccounts::default(),
        };
        state.set_link_parts(Duration::ZERO);
        state
    }

    /// Gives units of a team's limit back that were charged here and not used.
    pub fn give_back(&mut self, now: Duration, team: &str, units: u64) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.give_back(now, units);
        }
    }

    /// Places a request of another gateway, if some endpoint takes work.
    pub fn place_for_other(
        &mut self,
        now: Duration,
        work: &Work,
        excluded: &[i64],
        closed: &[i64],
        asked: Asked,
    ) -> Option<Placement> {
        let (tried, closed) = (self.ids_of(excluded), self.ids_of(closed));
        let exclusion = Exclusion {
            tried: &tried,
            closed: &closed,
            // Pauses were asked of the gateway that sends it, not of this one.
            sent_here: false,
        };
        let mut placement = self.choose(now, work, exclusion, asked)?;
        self.board.placed_for_peer(now, work, &placement);
        self.tally.sent.push(sent_of(now, &placement));
        if self.gates.under_way(&work.service).is_none() {
            placement.version = None;
        }
        Some(placement)
    }

    // Ids of those endpoints here that go by these hashes.
    fn ids_of(&self, hashes: &[i64]) -> Vec<String> {
        let hashes = hashes.iter().map(|hash| *hash as u64);
        hashes.filter_map(|hash| self.board.id_of(hash)).collect()
    }

    /// Picks one of a route's services by weight.
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

    /// Counts a request of a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        let terms = self.repeat_terms();
        let budgets = &mut self.repeats;
        budgets
            .entry(service.to_string())
            .or_insert_with(|| RetryBudget::new(terms))
            .record_request(now);
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, now: Duration, configuration: Arc<Configuration>) {
        self.board.configure(&configuration);
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
        self.directory = Some(Rc::new(Directory::new(configuration)));
    }

    // A part of what may be taken beyond the limit evens out the age of the others' gossip.
    fn limit_of(&self, team: &Tenant) -> Option<RateLimit> {
        const SLACK_PART: f64 = 0.25;
        let quota = team.quota?;
        let slack = match quota.plain_cost {
            Some(_) => self.settings.quota_slack as f64 * SLACK_PART,
            None => 0.0,
        };
        Some(RateLimit {
            rate: quota.rate,
            burst: quota.burst + slack,
        })
    }

    /// Takes how many gateways there are, and who decides.
    pub fn set_fleet(&mut self, now: Duration, fleet: GatewayFleet) {
        let part = fleet.part;
        self.most_gateways = self.most_gateways.max(fleet.gateways);
        self.fleet = fleet;
        for quota in self.quotas.values_mut() {
            quota.set_part(now, part);
        }
        self.set_link_parts(now);
    }

    /// Takes new settings.
    pub fn set_settings(&mut self, now: Duration, settings: Arc<GatewaySettings>) {
        self.settings = settings;
        let kbit = self.settings.region_link_kbit.max(0) as u64;
        self.board.network_costs_mut().set_link_rate(kbit);
        self.set_link_parts(now);
    }

    fn set_link_parts(&mut self, now: Duration) {
        let kbit = self.settings.region_link_kbit.max(0) as u64;
        let parts = link_parts(
            self.board.network_costs().topology(),
            kbit,
            self.fleet.decides,
            self.most_gateways,
        );
        self.board.set_link_rates(now, &parts);
    }

    /// What repeats are allowed.
    pub fn repeat_terms(&self) -> RetryTerms {
        RetryTerms {
            ratio: f64::from(self.settings.repeats_milli) / 1000.0,
            extra: f64::from(self.settings.repeats_extra),
            window: Duration::from_millis(self.settings.repeats_window_ms.max(1) as u64),
        }
    }

    /// Loads of the services whose endpoints are ordered.
    pub fn loads(&mut self, now: Duration) -> BTreeMap<String, ServiceLoad> {
        let Some(directory) = self.directory.clone() else {
            return BTreeMap::new();
        };
        let services = directory.configuration().services.iter();
        let scaled = services.filter(|(_, service)| service.scaling.is_some());
        scaled
            .map(|(name, _)| {
                let load = ServiceLoad {
                    halls: self.board.occupancy(now, name),
                    has_engines: self.board.has_engines(name),
                    learnt: self.board.learnt(name),
                };
                (name.clone(), load)
            })
            .collect()
    }
}

fn board_of(settings: &GatewaySettings) -> Balancer {
    let topology = Topology::new(&settings.zone, &settings.region, &settings.halls);
    let mut board = Balancer::with_topology(topology);
    let kbit = settings.region_link_kbit.max(0) as u64;
    board.network_costs_mut().set_link_rate(kbit);
    board
}

/// A request as the others are reported it.
pub(crate) fn sent_of(now: Duration, placement: &Placement) -> Sent {
    Sent {
        endpoint: placement.incarnation,
        unread_tokens: placement.unread_tokens,
        shared_prompt: placement.shared_prompt,
        at: now,
        hold: placement.hold,
    }
}
