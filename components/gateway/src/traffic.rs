//! The traffic thread's state.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Directory, Endpoint, Tenant};
use limits::{Limit, QuotaState, RepeatBudget, RepeatTerms, SharedQuota};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rollout::{Order, Stage};
use routing::placement::{endpoint_hash, Board, PeerDispatch, Placement, Ticket, Work};
use schema::messages::PlacedAt;
use schema::settings::GatewaySettings;
use slog::{info, Logger};
use telemetry::{Counter, Metrics};
use tokio::sync::Notify;

use crate::alone::Alone;
use crate::clock::Clock;
use crate::decisions::{placed_of, Asking};
use crate::freshness::{Ages, Freshness};
use crate::job::Job;
use crate::peers::Fleet;
use crate::pool::Pool;
use crate::tally::{Sent, ServiceLoad, Tally};
use crate::versions::{Asked, Gates};

/// Prompts of which at least so many tokens are to be read are told to the others at once.
pub(crate) const LONG_PROMPT_TOKENS: u32 = 4000;
/// Pause between tallies.
const TALLY_PAUSE: Duration = Duration::from_millis(100);
/// Part of an endpoint's connections that gateways use together.
const CONNECTIONS_USED: f64 = 0.8;

/// What the control thread tells the traffic thread.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// A configuration is in force.
    Configuration(Arc<Configuration>),
    /// An endpoint's newest record.
    Endpoint(Endpoint),
    /// An endpoint is gone.
    EndpointGone(String),
    /// All endpoints were told of once.
    EndpointsKnown,
    /// The endpoints are not followed any more.
    EndpointsForgotten,
    /// The gateways as they are known now, and who of them decides.
    Fleet(Fleet),
    /// Another gateway sent these.
    PeerSent(Vec<PeerDispatch>),
    /// Units that tenants took at another gateway since its start.
    PeerTaken {
        /// Its name.
        gateway: String,
        /// Start of its process.
        incarnation: i64,
        /// Totals by tenant.
        taken: BTreeMap<String, u64>,
        /// Whether all of it was taken in recent time.
        recent: bool,
    },
    /// The settings changed.
    Settings(Arc<GatewaySettings>),
    /// A roll-out was ordered.
    RolloutOrdered(Order),
    /// The order of a service was withdrawn.
    RolloutWithdrawn(String),
    /// The holder said how far a roll-out is.
    RolloutStage {
        /// Its service.
        service: String,
        /// Revision of its order.
        revision: u64,
        /// How far it is.
        stage: Stage,
    },
}

/// Everything the traffic thread decides from.
#[derive(Debug)]
pub(crate) struct State {
    pub board: Board,
    // Whether the board holds all endpoints.
    pub endpoints_known: bool,
    pub directory: Option<Rc<Directory>>,
    pub pool: Pool,
    pub quotas: BTreeMap<String, SharedQuota>,
    pub repeats: BTreeMap<String, RepeatBudget>,
    pub tally: Tally,
    pub fleet: Fleet,
    pub rng: ChaCha8Rng,
    pub settings: Arc<GatewaySettings>,
    pub gates: Gates,
}

/// The traffic thread.
#[derive(Debug)]
pub(crate) struct Traffic<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<Alone>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub state: RefCell<State>,
    pub endpoints_changed: Notify,
    pub in_flight: Cell<usize>,
    pub asking: Asking,
    tallies: flume::Sender<Tally>,
}

/// What a traffic thread is made of.
#[derive(Debug)]
pub(crate) struct TrafficParts<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<Alone>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub settings: Arc<GatewaySettings>,
    pub tallies: flume::Sender<Tally>,
}

impl<D> Traffic<D> {
    pub fn new(parts: TrafficParts<D>) -> Self {
        let state = State {
            board: Board::new(&parts.settings.zone),
            endpoints_known: false,
            directory: None,
            pool: Pool::default(),
            quotas: BTreeMap::new(),
            repeats: BTreeMap::new(),
            tally: Tally::default(),
            fleet: Fleet::default(),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            settings: parts.settings,
            gates: Gates::default(),
        };
        Traffic {
            dialect: parts.dialect,
            clock: parts.clock,
            freshness: parts.freshness,
            alone: parts.alone,
            metrics: parts.metrics,
            log: parts.log,
            state: RefCell::new(state),
            endpoints_changed: Notify::new(),
            in_flight: Cell::new(0),
            asking: Asking::default(),
            tallies: parts.tallies,
        }
    }

    /// Takes one update of the control thread.
    pub fn take(&self, update: Update) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match update {
            Update::Configuration(configuration) => {
                info!(self.log, "configuration in force"; "version" => configuration.version);
                self.metrics.count(Counter::Applied);
                state.configure(now, configuration);
            }
            Update::Endpoint(endpoint) => {
                if !endpoint.is_ready() {
                    state.pool.forget(&endpoint.id);
                }
                state.board.insert(now, endpoint);
                self.endpoints_changed.notify_waiters();
            }
            Update::EndpointGone(id) => {
                state.pool.forget(&id);
                state.board.remove(&id);
            }
            Update::EndpointsKnown => state.endpoints_known = true,
            Update::EndpointsForgotten => {
                state.endpoints_known = false;
                state.board.remove_all();
            }
            Update::Fleet(fleet) => state.set_fleet(now, fleet),
            Update::PeerSent(dispatches) => {
                for dispatch in dispatches {
                    state.board.peer_sent(now, dispatch);
                }
            }
            Update::PeerTaken {
                gateway,
                incarnation,
                taken,
                recent,
            } => {
                for (tenant, total) in taken {
                    if let Some(quota) = state.quotas.get_mut(&tenant) {
                        quota.hear(now, &gateway, incarnation, total, recent);
                    }
                }
            }
            Update::Settings(settings) => state.settings = settings,
            Update::RolloutOrdered(order) => state.gates.order(order),
            Update::RolloutWithdrawn(service) => state.gates.withdraw(&service),
            Update::RolloutStage {
                service,
                revision,
                stage,
            } => state.gates.hear(now, &service, revision, stage),
        }
    }

    /// Whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let longest = Ages::of(&state.settings).keys;
        let fresh = self.freshness.allows_keys(self.clock.now(), longest);
        let places = state.endpoints_known || !state.fleet.decides;
        state.directory.is_some() && places && fresh && !self.freshness.is_stopping()
    }

    /// Notes that a job goes to an endpoint.
    pub fn note_sent(&self, job: &Job, placement: &Placement) -> Ticket {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ticket = state.board.sent(now, &job.work, placement);
        // The coordinator that placed it tells the others of it.
        if !placement.counted {
            state.tally.sent.push(sent_of(now, placement));
        }
        drop(state);
        if !placement.counted && self.is_long(placement.unread_tokens) {
            self.send_tally();
        }
        ticket
    }

    /// Whether the others are to know of a prompt at once.
    pub fn is_long(&self, unread_tokens: u32) -> bool {
        unread_tokens >= LONG_PROMPT_TOKENS
    }

    /// Notes that a job began to run, by the wall time `ago` before now.
    pub fn note_begun(&self, job: &Job, ago: Duration) {
        let Some(tenant) = &job.tenant else {
            return;
        };
        let at = self.clock.wall().saturating_sub(ago);
        let mut state = self.state.borrow_mut();
        state.tally.begun.push((tenant.clone(), at));
    }

    /// Logs what a limit was refused by.
    pub fn log_limit(&self, now: Duration, id: &str, tenant: &str, cost: u64, quota: &QuotaState) {
        let heard_ago = now.saturating_sub(quota.others_heard_at);
        info!(self.log, "over limit"; "id" => id, "tenant" => tenant,
            "cost" => cost, "level" => quota.level as i64, "part_milli" => (quota.part * 1000.0) as u64,
            "rate" => quota.limit.rate as u64, "burst" => quota.limit.burst as u64, "taken" => quota.taken,
            "others_taken" => quota.others_taken, "others_ms_ago" => heard_ago.as_millis() as u64);
    }

    /// Whether a job may be sent once more.
    pub fn may_repeat(&self, service: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let gateways = state.fleet.gateways;
        let terms = state.repeat_terms();
        let budgets = &mut state.repeats;
        let budget = budgets
            .entry(service.to_string())
            .or_insert_with(|| RepeatBudget::new(terms));
        let allowed = budget.spend(now, gateways);
        self.metrics.count(match allowed {
            true => Counter::Retries,
            false => Counter::RetryBudget,
        });
        allowed
    }

    /// Most connections to one endpoint of a service that this gateway opens.
    pub fn most_connections(&self, job: &Job) -> u32 {
        let gateways = self.state.borrow().fleet.gateways as f64;
        let part = f64::from(job.max_connections) * CONNECTIONS_USED / gateways;
        (part as u32).max(2)
    }

    /// Sends what was counted to the control thread.
    pub fn send_tally(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut tally = std::mem::take(&mut state.tally);
        tally.taken = state
            .quotas
            .iter()
            .map(|(tenant, quota)| (tenant.clone(), quota.taken()))
            .collect();
        tally.loads = state.loads(now);
        drop(state);
        let _ = self.tallies.try_send(tally);
    }

    /// Takes updates and sends tallies until the control thread is gone.
    pub async fn follow(&self, updates: flume::Receiver<Update>) {
        let mut pause = tokio::time::interval(TALLY_PAUSE);
        pause.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                update = updates.recv_async() => match update {
                    Ok(update) => self.take(update),
                    Err(_) => return,
                },
                _ = pause.tick() => {
                    let now = self.clock.now();
                    self.state.borrow_mut().pool.sweep(now);
                    self.send_tally();
                }
            }
        }
    }
}

fn sent_of(now: Duration, placement: &Placement) -> Sent {
    Sent {
        endpoint: endpoint_hash(&placement.endpoint),
        unread_tokens: placement.unread_tokens,
        shared_prompt: placement.shared_prompt,
        at: now,
        hold: placement.hold,
    }
}

impl State {
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
        asked: Asked,
    ) -> Option<PlacedAt> {
        let excluded = excluded.iter().map(|hash| *hash as u64);
        let excluded: Vec<String> = excluded.filter_map(|hash| self.board.id_of(hash)).collect();
        let placement = self.choose(now, work, &excluded, asked)?;
        self.board.sent_for_other(now, work, &placement);
        self.tally.sent.push(sent_of(now, &placement));
        let mut placed = placed_of(&placement);
        if self.gates.under_way(&work.service).is_none() {
            placed.version = None;
        }
        Some(placed)
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
            .or_insert_with(|| RepeatBudget::new(terms))
            .request(now);
    }

    fn configure(&mut self, now: Duration, configuration: Arc<Configuration>) {
        self.board.configure(&configuration);
        let part = self.fleet.part;
        let mut quotas = BTreeMap::new();
        for tenant in &configuration.tenants {
            let Some(limit) = self.limit_of(tenant) else {
                continue;
            };
            let mut quota = match self.quotas.remove(&tenant.name) {
                Some(quota) => quota,
                None => SharedQuota::new(now, limit),
            };
            quota.set_limit(now, limit);
            quota.set_part(now, part);
            quotas.insert(tenant.name.clone(), quota);
        }
        self.quotas = quotas;
        self.directory = Some(Rc::new(Directory::new(configuration)));
    }

    // A part of what may be taken beyond the limit evens out the age of the others' news.
    fn limit_of(&self, tenant: &Tenant) -> Option<Limit> {
        const SLACK_PART: f64 = 0.25;
        let quota = tenant.quota?;
        let slack = match quota.plain_cost {
            Some(_) => self.settings.quota_slack as f64 * SLACK_PART,
            None => 0.0,
        };
        Some(Limit {
            rate: quota.rate,
            burst: quota.burst + slack,
        })
    }

    fn set_fleet(&mut self, now: Duration, fleet: Fleet) {
        let part = fleet.part;
        self.fleet = fleet;
        for quota in self.quotas.values_mut() {
            quota.set_part(now, part);
        }
    }

    fn repeat_terms(&self) -> RepeatTerms {
        RepeatTerms {
            ratio: f64::from(self.settings.repeats_milli) / 1000.0,
            extra: f64::from(self.settings.repeats_extra),
            window: Duration::from_millis(self.settings.repeats_window_ms.max(1) as u64),
        }
    }

    fn loads(&mut self, now: Duration) -> BTreeMap<String, ServiceLoad> {
        let Some(directory) = self.directory.clone() else {
            return BTreeMap::new();
        };
        let services = directory.configuration().services.iter();
        let scaled = services.filter(|(_, service)| service.scaling.is_some());
        scaled
            .map(|(name, _)| {
                let (requests, slots) = self.board.occupancy(now, name);
                let load = ServiceLoad {
                    requests,
                    slots,
                    rate: self.board.known_rate(name),
                };
                (name.clone(), load)
            })
            .collect()
    }
}
