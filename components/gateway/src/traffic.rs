//! The traffic thread: what it takes from the control thread and reports it.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use flume::TrySendError;
use limits::{QuotaState, RetryBudget};
use routing::placement::{incarnation, Placement, Ticket};
use schema::settings::GatewaySettings;
use slog::{info, warn, Logger};
use telemetry::{Counter, Metrics};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::coordinator_contact::CoordinatorContact;
use crate::decisions::Asking;
use crate::freshness::{Ages, Freshness};
use crate::job::Job;
use crate::limit_reports::UntoldLimits;
use crate::memory_manager::MemoryManager;
use crate::sends::SendsAsked;
use crate::sights::Sights;
use crate::state::{sent_of, State};
use crate::tally::Tally;
use crate::update::Update;

/// Prompts of which at least so many tokens are to be read are reported to the others at once.
pub(crate) const LONG_PROMPT_TOKENS: u32 = 4000;
/// Pause between tallies.
const TALLY_PAUSE: Duration = Duration::from_millis(100);
/// Part of an endpoint's connections that gateways use together.
const CONNECTIONS_USED: f64 = 0.8;

/// The traffic thread.
#[derive(Debug)]
pub(crate) struct Traffic<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<CoordinatorContact>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub state: RefCell<State>,
    pub endpoints_changed: Notify,
    pub endpoint_restarted: Notify,
    pub in_flight: Cell<usize>,
    pub asking: Asking,
    pub sights: Sights,
    pub sends_asked: SendsAsked,
    pub untold_limits: RefCell<UntoldLimits>,
    pub room: MemoryManager,
    tallies: flume::Sender<Tally>,
}

/// What a traffic thread is made of.
#[derive(Debug)]
pub(crate) struct TrafficParts<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<CoordinatorContact>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub settings: Arc<GatewaySettings>,
    pub tallies: flume::Sender<Tally>,
}

impl<D> Traffic<D> {
    pub fn new(parts: TrafficParts<D>) -> Self {
        let mib = parts.settings.memory_mib.max(0) as u64;
        let room = MemoryManager::new(parts.clock, mib);
        let state = State::new(parts.settings, room.ledger());
        Traffic {
            dialect: parts.dialect,
            clock: parts.clock,
            freshness: parts.freshness,
            alone: parts.alone,
            metrics: parts.metrics,
            log: parts.log,
            state: RefCell::new(state),
            endpoints_changed: Notify::new(),
            endpoint_restarted: Notify::new(),
            in_flight: Cell::new(0),
            asking: Asking::default(),
            sights: Sights::default(),
            sends_asked: SendsAsked::default(),
            untold_limits: RefCell::default(),
            room,
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
            Update::Confirmed(at) => self.freshness.confirm(at),
            Update::Endpoint(endpoint) => {
                let known = state.board.endpoint(&endpoint.id);
                let ended = known.filter(|known| !known.is_same_start(&endpoint));
                let ended = ended.map(|known| incarnation(&known.id, known.born_ms));
                if ended.is_some() || !endpoint.is_ready() {
                    state.pool.drop_idle(&endpoint.id);
                }
                state.board.insert(now, endpoint);
                drop(state);
                self.endpoints_changed.notify_waiters();
                if let Some(incarnation) = ended {
                    self.record_restart(now, incarnation);
                }
            }
            Update::EndpointGone(id) => {
                state.pool.drop_idle(&id);
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
            Update::PeerSaw(sights) => {
                drop(state);
                self.take_sights(&sights);
            }
            Update::PeerHeardLimits(limits) => {
                for limit in &limits {
                    state.board.notices_mut().note_limit(limit);
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
                        quota.receive(now, &gateway, incarnation, total, recent);
                    }
                }
            }
            Update::WayMeasured { hall, round_trip } => {
                state
                    .board
                    .network_costs_mut()
                    .record_round_trip(&hall, round_trip);
            }
            Update::Observations(observations) => {
                drop(state);
                self.merge_observations(&observations);
            }
            Update::Held(held) => {
                drop(state);
                self.merge_held(&held);
            }
            Update::Settings(settings) => state.set_settings(now, settings),
            Update::RolloutOrdered(order) => state.gates.order(order),
            Update::RolloutRenumbered { service, revision } => {
                state.gates.renumber(&service, revision);
            }
            Update::RolloutWithdrawn(service) => state.gates.withdraw(&service),
            Update::RolloutStage {
                service,
                revision,
                stage,
                at,
            } => state.gates.receive(at, &service, revision, stage),
        }
    }

    /// Whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let longest = Ages::of(&state.settings).keys;
        let fresh = self.freshness.allows_keys(self.clock.now(), longest);
        let places = state.endpoints_known || !state.fleet.decides;
        let takes = !self.freshness.is_stopping() && !self.room.is_paused();
        state.directory.is_some() && places && fresh && takes
    }

    /// Notes that a job goes to an endpoint.
    pub fn note_sent(&self, job: &Job, placement: &Placement) -> Ticket {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ticket = state.board.sent(now, &job.work, placement);
        // The coordinator that placed it reports it to the others.
        if !placement.is_placed_by_peer {
            state.tally.sent.push(sent_of(now, placement));
        }
        drop(state);
        if !placement.is_placed_by_peer && self.is_long(placement.unread_tokens) {
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
        let others_age = now.saturating_sub(quota.others_reported_at);
        info!(self.log, "over limit"; "id" => id, "tenant" => tenant,
            "cost" => cost, "level" => quota.level as i64, "part_milli" => (quota.part * 1000.0) as u64,
            "rate" => quota.limit.rate as u64, "burst" => quota.limit.burst as u64, "taken" => quota.taken,
            "others_taken" => quota.others_taken, "others_ms_ago" => others_age.as_millis() as u64);
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
            .or_insert_with(|| RetryBudget::new(terms));
        let allowed = budget.try_spend(now, gateways);
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
        match self.tallies.try_send(tally) {
            Ok(()) => {}
            // The control thread is behind: what was counted goes with the next tally.
            Err(TrySendError::Full(tally)) => self.state.borrow_mut().tally.put_back(tally),
            Err(TrySendError::Disconnected(_)) => warn!(self.log, "the control thread is gone"),
        }
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
                    self.state.borrow_mut().pool.drop_expired(now);
                    self.check_memory();
                    self.send_tally();
                }
            }
        }
    }
}
