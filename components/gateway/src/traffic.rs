//! The traffic thread: its updates from the control thread, and its tallies for it.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::TrySendError;
use limits::QuotaState;
use routing::placement::{incarnation, Placement, Ticket};
use schema::settings::GatewaySettings;
use slog::{info, warn, Logger};
use telemetry::{Counter, Gauge, Metrics};
use tokio::sync::Notify;
use transport::Dialer;

use crate::clock::Clock;
use crate::coordinator_contact::CoordinatorContact;
use crate::decisions::DecisionQueries;
use crate::freshness::{Freshness, MaxAges};
use crate::job::Job;
use crate::limit_reports::PendingLimits;
use crate::memory_manager::MemoryManager;
use crate::record_age::RecordAge;
use crate::retry_permit::RetryPermit;
use crate::sends::SendQueries;
use crate::sights::PendingSights;
use crate::state::{sent_request, State};
use crate::stream_origins::StreamOrigins;
use crate::tally::Tally;
use crate::turns::Turn;
use crate::update::Update;

/// Prompts with at least this many tokens to read are reported to the other gateways at once.
pub(crate) const LONG_PROMPT_TOKENS: u32 = 4000;
/// Time between two tallies.
const TALLY_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of an endpoint's connections that all gateways together may use.
const CONNECTIONS_USED_FRACTION: f64 = 0.8;

/// State and services of the traffic thread.
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
    /// Notified when a planned stop waits no longer for answers of endpoints.
    pub drain_ended: Notify,
    pub in_flight: Cell<usize>,
    /// Connections from gateways for which this one opens connections to endpoints.
    pub open_tunnels: Rc<Cell<usize>>,
    pub had_lost_paths: Cell<bool>,
    /// Counts requests for connections that other gateways lend.
    pub lender_turn: Cell<usize>,
    pub decision_queries: DecisionQueries,
    pub pending_sights: PendingSights,
    pub send_queries: SendQueries,
    pub pending_limits: RefCell<PendingLimits>,
    pub room: MemoryManager,
    pub stream_origins: StreamOrigins,
    /// Opens connections to endpoints.
    pub dialer: Dialer,
    /// Address by which other gateways know this one.
    pub own_ip: IpAddr,
    tallies: flume::Sender<Tally>,
}

/// What [`Traffic::new`] needs.
#[derive(Debug)]
pub(crate) struct TrafficParts<D> {
    pub dialect: D,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<CoordinatorContact>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub settings: Arc<GatewaySettings>,
    pub dialer: Dialer,
    pub own_ip: IpAddr,
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
            drain_ended: Notify::new(),
            in_flight: Cell::new(0),
            open_tunnels: Rc::default(),
            had_lost_paths: Cell::new(false),
            lender_turn: Cell::default(),
            decision_queries: DecisionQueries::default(),
            pending_sights: PendingSights::default(),
            send_queries: SendQueries::default(),
            pending_limits: RefCell::default(),
            room,
            stream_origins: StreamOrigins::default(),
            dialer: parts.dialer,
            own_ip: parts.own_ip,
            tallies: parts.tallies,
        }
    }

    /// Applies an update from the control thread.
    pub fn apply_update(&self, update: Update) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match update {
            Update::Configuration(configuration) => {
                info!(self.log, "configuration in force"; "version" => configuration.version);
                self.metrics.count(Counter::ConfigurationsApplied);
                state.configure(now, configuration);
            }
            Update::Confirmed(at) => self.freshness.confirm(at),
            Update::Endpoint(endpoint) => {
                let known = state.balancer.endpoint(&endpoint.id);
                let ended = known.filter(|known| !known.is_same_start(&endpoint));
                let ended = ended.map(|known| incarnation(&known.id, known.born_ms));
                if ended.is_some() || !endpoint.is_ready() {
                    state.pool.drop_idle(&endpoint.id);
                }
                state.insert_endpoint(now, endpoint);
                drop(state);
                if let Some(incarnation) = ended {
                    self.record_restart(now, incarnation);
                }
            }
            Update::EndpointGone(id) => {
                state.pool.drop_idle(&id);
                state.remove_endpoint(now, &id);
            }
            Update::EndpointsKnown => {
                state.endpoints_known = true;
                state.history.table_completed(now);
            }
            Update::EndpointsConfirmed(at) => {
                state.history.table_confirmed(at);
                state.record_age.confirm(at);
            }
            Update::EndpointsForgotten => {
                state.endpoints_known = false;
                state.balancer.remove_all();
                state.history.table_forgotten();
                state.record_age = RecordAge::default();
            }
            Update::Fleet(fleet) => state.set_fleet(now, fleet),
            Update::PeerDispatches(dispatches) => {
                for dispatch in dispatches {
                    state.balancer.peer_sent(now, dispatch);
                }
            }
            Update::PeerSights(sights) => {
                drop(state);
                self.apply_peer_sights(&sights);
            }
            Update::PeerLimits(limits) => {
                for limit in &limits {
                    state.balancer.notices_mut().record_limit(limit);
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
            Update::RoundTripMeasured { hall, round_trip } => {
                state
                    .balancer
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
            Update::HeldParts(held) => {
                drop(state);
                self.merge_held_parts(&held);
            }
            Update::SuspectParts(suspects) => state.quarantine.parts.watch(now, &suspects),
            Update::Settings(settings) => state.set_settings(now, settings),
            Update::RolloutOrdered {
                order,
                predates_process,
            } => state.gates.order(order, predates_process),
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

    /// Whether this gateway accepts callers; answered to readiness checks.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let max_age = MaxAges::of(&state.settings).keys;
        let fresh = self.freshness.allows_keys(self.clock.now(), max_age);
        let places = state.endpoints_known || !state.fleet.decides;
        let takes = !self.freshness.is_stopping() && !self.room.is_paused();
        state.directory.is_some() && places && fresh && takes
    }

    /// Records that a job is sent to an endpoint.
    pub fn record_sent(&self, job: &Job, placement: &Placement) -> Ticket {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ticket = state.balancer.sent(now, &job.work, placement);
        if placement.is_placed_by_peer {
            let (hall, address) = (&placement.hall, placement.address);
            state.placed_endpoints.record(now, hall, address);
        }
        // A request placed by a coordinator is reported to the others by that coordinator.
        if !placement.is_placed_by_peer {
            state.tally.sent.push(sent_request(now, placement));
        }
        drop(state);
        if !placement.is_placed_by_peer && self.is_long(placement.unread_tokens) {
            self.send_tally();
        }
        ticket
    }

    /// Whether a prompt is long enough to be reported at once.
    pub fn is_long(&self, unread_tokens: u32) -> bool {
        unread_tokens >= LONG_PROMPT_TOKENS
    }

    /// Records that a job began to run, `ago` before now.
    pub fn record_begun(&self, job: &Job, ago: Duration) {
        let Some(tenant) = &job.tenant else {
            return;
        };
        let at = self.clock.wall_time().saturating_sub(ago);
        let mut state = self.state.borrow_mut();
        state.tally.begun.push((tenant.clone(), at));
    }

    /// Logs a refusal by a team's limit, with the state of the quota.
    pub fn log_limit(&self, now: Duration, id: &str, tenant: &str, cost: u64, quota: &QuotaState) {
        let others_age = now.saturating_sub(quota.others_reported_at);
        info!(self.log, "over limit"; "id" => id, "tenant" => tenant,
            "cost" => cost, "level" => quota.level as i64, "part_milli" => (quota.part * 1000.0) as u64,
            "rate" => quota.limit.rate as u64, "burst" => quota.limit.burst as u64, "taken" => quota.taken,
            "others_taken" => quota.others_taken, "others_ms_ago" => others_age.as_millis() as u64);
    }

    /// Takes a retry from the budget of the job's service, if there is one left.
    pub fn take_retry(&self, job: &Job) -> Option<Rc<RetryPermit>> {
        let now = self.clock.now();
        let service = &job.work.service;
        let mut state = self.state.borrow_mut();
        let gateways = state.equal_share.gateways();
        let part = state.retry_part(now);
        let budget = state.retry_budget(service);
        drop(state);
        let before = budget.borrow_mut().state(now, part);
        let allowed = budget.borrow_mut().try_spend(now, part);
        self.metrics.count(match allowed {
            true => Counter::Retries,
            false => Counter::RetryBudgetExhausted,
        });
        info!(self.log, "retry"; "id" => &job.head.id, "service" => service, "granted" => allowed,
            "requests" => before.requests, "retries" => before.retries,
            "allowed" => before.allowed as u64, "part_milli" => (part * 1000.0) as u64,
            "gateways" => gateways, "uptime_ms" => now.as_millis() as u64);
        allowed.then(|| Rc::new(RetryPermit::new(&budget, self.clock)))
    }

    /// Maximum number of connections to one endpoint of a service that this gateway opens.
    pub fn max_endpoint_connections(&self, job: &Job) -> u32 {
        self.connection_part(job.max_connections)
    }

    /// This gateway's part of the connections that an endpoint accepts from all gateways together.
    pub fn connection_part(&self, max_connections: u32) -> u32 {
        let state = self.state.borrow();
        // Gateways that are no longer heard may keep their connections.
        let gateways = state.equal_share.gateways().max(state.fleet.gateways);
        let part = f64::from(max_connections) * CONNECTIONS_USED_FRACTION / gateways as f64;
        (part as u32).max(2)
    }

    /// Sends the counts since the last tally to the control thread.
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
        tally.has_lost_paths = state.paths.are_all_lost(now);
        drop(state);
        match self.tallies.try_send(tally) {
            Ok(()) => {}
            // The control thread is behind: the counts go with the next tally.
            Err(TrySendError::Full(tally)) => self.state.borrow_mut().tally.put_back(tally),
            Err(TrySendError::Disconnected(_)) => {
                warn!(self.log, "the control thread has ended; tally dropped")
            }
        }
    }

    fn publish_retry_part(&self, now: Duration) {
        let part = self.state.borrow().retry_part(now);
        self.metrics.set(Gauge::RetryPart, (part * 1000.0) as u64);
    }
}

impl<D: 'static> Traffic<D> {
    /// Applies updates and sends tallies until the control thread ends.
    pub async fn apply_updates(self: Rc<Self>, updates: flume::Receiver<Update>) {
        let mut interval = tokio::time::interval(TALLY_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut turn = Turn::default();
        let mut have_endpoints_changed = false;
        loop {
            tokio::select! {
                biased;
                _ = interval.tick() => {
                    let now = self.clock.now();
                    self.state.borrow_mut().pool.drop_expired(now);
                    self.publish_retry_part(now);
                    self.check_memory();
                    self.probe_doubted_path();
                    self.send_tally();
                    self.report_streams().await;
                }
                update = updates.recv_async() => {
                    let Ok(update) = update else {
                        return;
                    };
                    have_endpoints_changed |= matches!(update, Update::Endpoint(_));
                    self.apply_update(update);
                    let has_turn_ended = turn.step().await;
                    if have_endpoints_changed && (has_turn_ended || updates.is_empty()) {
                        have_endpoints_changed = false;
                        self.endpoints_changed.notify_waiters();
                    }
                }
            }
        }
    }
}
