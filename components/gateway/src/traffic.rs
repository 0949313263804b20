//! The traffic thread's state.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Directory, Endpoint, Tenant};
use limits::{Limit, RepeatBudget, RepeatTerms, SharedQuota};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::placement::{endpoint_hash, Board, PeerDispatch, Placement, Ticket};
use schema::settings::GatewaySettings;
use slog::{info, Logger};
use telemetry::{Counter, Metrics};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::freshness::{Ages, Freshness};
use crate::job::Job;
use crate::peers::PeerCount;
use crate::pool::Pool;
use crate::tally::{Sent, ServiceLoad, Tally};

/// Prompts of which at least so many tokens are to be read are told to the others at once.
const LONG_PROMPT_TOKENS: u32 = 4000;
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
    /// Other gateways as they are known now.
    Peers(PeerCount),
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
}

/// Everything the traffic thread decides from.
#[derive(Debug)]
pub(crate) struct State {
    pub board: Board,
    pub directory: Option<Rc<Directory>>,
    pub pool: Pool,
    pub quotas: BTreeMap<String, SharedQuota>,
    pub repeats: BTreeMap<String, RepeatBudget>,
    pub tally: Tally,
    pub peers: PeerCount,
    pub rng: ChaCha8Rng,
    pub settings: Arc<GatewaySettings>,
}

/// The traffic thread.
#[derive(Debug)]
pub(crate) struct Traffic<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub state: RefCell<State>,
    pub endpoints_changed: Notify,
    pub in_flight: Cell<usize>,
    tallies: flume::Sender<Tally>,
}

/// What a traffic thread is made of.
#[derive(Debug)]
pub(crate) struct TrafficParts<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub settings: Arc<GatewaySettings>,
    pub tallies: flume::Sender<Tally>,
}

impl<D> Traffic<D> {
    pub fn new(parts: TrafficParts<D>) -> Self {
        let state = State {
            board: Board::new(&parts.settings.zone),
            directory: None,
            pool: Pool::default(),
            quotas: BTreeMap::new(),
            repeats: BTreeMap::new(),
            tally: Tally::default(),
            peers: PeerCount::default(),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            settings: parts.settings,
        };
        Traffic {
            dialect: parts.dialect,
            clock: parts.clock,
            freshness: parts.freshness,
            metrics: parts.metrics,
            log: parts.log,
            state: RefCell::new(state),
            endpoints_changed: Notify::new(),
            in_flight: Cell::new(0),
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
            Update::Peers(peers) => state.set_peers(now, peers),
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
        }
    }

    /// Whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let longest = Ages::of(&state.settings).keys;
        let fresh = self.freshness.allows_keys(self.clock.now(), longest);
        state.directory.is_some() && fresh && !self.freshness.is_stopping()
    }

    /// Notes that a job goes to an endpoint.
    pub fn note_sent(&self, job: &Job, placement: &Placement) -> Ticket {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ticket = state.board.sent(now, &job.work, placement);
        state.tally.sent.push(Sent {
            endpoint: endpoint_hash(&placement.endpoint),
            unread_tokens: placement.unread_tokens,
            shared_prompt: placement.shared_prompt,
            at: now,
            hold: placement.hold,
        });
        drop(state);
        if placement.unread_tokens >= LONG_PROMPT_TOKENS {
            self.send_tally();
        }
        ticket
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

    /// Whether a job may be sent once more.
    pub fn may_repeat(&self, service: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let gateways = state.peers.gateways();
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
        let gateways = self.state.borrow().peers.gateways() as f64;
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

impl State {
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
        let part = self.quota_part();
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

    fn set_peers(&mut self, now: Duration, peers: PeerCount) {
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        let part = self.quota_part();
        for quota in self.quotas.values_mut() {
            quota.set_part(now, part);
        }
    }

    fn quota_part(&self) -> f64 {
        self.peers.heard_part()
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
