//! The control thread of a gateway: its state and the tasks that share it.

mod control_state;
mod deflate;
mod departures;
mod echoes;
mod endpoint_need;
mod engines;
mod exchange;
mod follow;
mod forwarding;
mod lease;
mod messages;
mod quarantine;
mod quarantine_row;
mod relayed_reads;
mod rollout_execution;
mod rollouts;
mod row_transfer;
mod rows;
mod scaling;
mod store_era;
mod store_metrics;
mod store_readers;
mod usage_reports;

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use schema::settings::GatewaySettings;
use slog::{info, warn, Logger};
use telemetry::{Counter, Gauge, Metrics};
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use usage::Source;

use crate::clock::{Clock, SuspensionDetector};
pub(crate) use crate::control::control_state::ControlState;
use crate::control::control_state::{change_due, PeerAddresses};
pub use crate::control::deflate::{inflate, DeflatedReplyCache, EncodedReply};
pub use crate::control::echoes::{round_trip, Echoes};
pub(crate) use crate::control::row_transfer::{topic_by_name, topic_name, SHARED_TOPICS};
use crate::control::store_readers::jitter_of;
use crate::coordinator_contact::CoordinatorContact;
use crate::freshness::Freshness;
use crate::ports::{Orders, Store};
use crate::run::{ReadSettings, Signals};
use crate::tally::Tally;
use crate::update::Update;

/// Pause between checks of signals, peers and the lease.
const TICK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between reads of the settings file when no signal asks for one.
const SETTINGS_POLL_PAUSE: Duration = Duration::from_secs(1);

/// Sockets for the exchange with other gateways.
pub(crate) struct PeerSockets {
    /// Gossip datagrams.
    pub gossip: UdpSocket,
    /// Queries for rows.
    pub rows: TcpListener,
    /// Address of both sockets.
    pub address: SocketAddr,
}

/// Inputs of a control thread.
pub(crate) struct ControlParts {
    pub sockets: PeerSockets,
    pub settings: Arc<GatewaySettings>,
    pub read_settings: ReadSettings,
    pub signals: Signals,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<CoordinatorContact>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub updates: flume::Sender<Update>,
    pub tallies: flume::Receiver<Tally>,
    /// Port on which the traffic thread answers placement queries of other gateways.
    pub decisions_port: u16,
}

/// A control thread that does not run yet.
pub(crate) struct Control {
    parts: ControlParts,
    source: Source,
    state: ControlState,
}

/// State that the tasks of the control thread share.
pub(crate) struct Shared<S, O> {
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<CoordinatorContact>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub updates: flume::Sender<Update>,
    pub source: Source,
    pub peer_address: SocketAddr,
    pub decisions_port: u16,
    /// Fraction from 0 to 1, derived from this gateway's name, that staggers actions which all gateways would
    /// otherwise take at the same time.
    pub jitter: f64,
    /// Triggers an immediate report to the other gateways.
    pub urgent: Notify,
    /// Signals that an endpoint no longer takes work.
    pub endpoint_lost: Notify,
    /// Signals that the store answered with rows.
    pub store_answers: Notify,
    pub started_wall: Duration,
    pub state: RefCell<ControlState>,
    pub reply_cache: RefCell<DeflatedReplyCache>,
    pub store: S,
    pub orders: O,
}

impl Control {
    pub fn new(parts: ControlParts) -> Self {
        let settings = Arc::clone(&parts.settings);
        let source = Source {
            gateway: settings.name.clone(),
            incarnation: parts.clock.wall_time().as_millis() as i64,
        };
        let day_us = parts.clock.read_wall_offset_us();
        let peers = parts.sockets.address;
        let listening = PeerAddresses {
            peers,
            decisions: SocketAddr::new(peers.ip(), parts.decisions_port),
        };
        let state = ControlState::new(settings, listening, day_us);
        Control {
            parts,
            source,
            state,
        }
    }

    /// Runs the tasks until the process ends.
    pub fn run<S: Store + 'static, O: Orders + 'static>(
        self,
        store: impl FnOnce() -> S,
        orders: impl FnOnce() -> O,
    ) {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.parts.log, "runtime of the control thread not created; raise the limits of the process";
                    "cause" => %error);
                return;
            }
        };
        let local = LocalSet::new();
        let parts = self.parts;
        let shared = Rc::new(Shared {
            clock: parts.clock,
            freshness: parts.freshness,
            alone: parts.alone,
            metrics: parts.metrics,
            log: parts.log,
            updates: parts.updates,
            jitter: jitter_of(&self.source.gateway),
            source: self.source,
            peer_address: parts.sockets.address,
            decisions_port: parts.decisions_port,
            urgent: Notify::new(),
            endpoint_lost: Notify::new(),
            store_answers: Notify::new(),
            started_wall: parts.clock.wall_time(),
            state: RefCell::new(self.state),
            reply_cache: RefCell::default(),
            store: store(),
            orders: orders(),
        });
        let tasks = all_tasks(
            shared,
            parts.sockets,
            parts.tallies,
            parts.signals,
            parts.read_settings,
        );
        local.block_on(&runtime, tasks);
    }
}

async fn all_tasks<S: Store + 'static, O: Orders + 'static>(
    shared: Rc<Shared<S, O>>,
    sockets: PeerSockets,
    tallies: flume::Receiver<Tally>,
    signals: Signals,
    read_settings: ReadSettings,
) {
    for topic in SHARED_TOPICS {
        tokio::task::spawn_local(Rc::clone(&shared).follow(topic));
    }
    let (reporting, ordering) = (Rc::clone(&shared), Rc::clone(&shared));
    tokio::task::spawn_local(async move { reporting.run_usage_reports().await });
    tokio::task::spawn_local(async move { ordering.run_autoscaling().await });
    tokio::task::spawn_local(Rc::clone(&shared).run_rollouts());
    tokio::task::spawn_local(Rc::clone(&shared).run_quarantine_row());
    tokio::task::spawn_local(Rc::clone(&shared).run_relayed_reads());
    if let Err(error) = spawn_exchange(&shared, sockets, tallies) {
        warn!(shared.log, "sockets for other gateways not usable; raise the limit of file descriptors";
            "cause" => %error);
    }
    shared.tick(signals, read_settings).await;
}

fn spawn_exchange<S: Store + 'static, O: Orders + 'static>(
    shared: &Rc<Shared<S, O>>,
    sockets: PeerSockets,
    tallies: flume::Receiver<Tally>,
) -> std::io::Result<()> {
    let rows = tokio::net::TcpListener::from_std(sockets.rows)?;
    let gossip = Rc::new(tokio::net::UdpSocket::from_std(sockets.gossip)?);
    tokio::task::spawn_local(Rc::clone(shared).serve_rows(rows));
    tokio::task::spawn_local(Rc::clone(shared).announce());
    tokio::task::spawn_local(Rc::clone(shared).receive(Rc::clone(&gossip)));
    tokio::task::spawn_local(Rc::clone(shared).report(gossip, tallies));
    Ok(())
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    async fn tick(self: Rc<Self>, signals: Signals, read_settings: ReadSettings) {
        let mut settings_read_at = Duration::ZERO;
        let mut suspensions = SuspensionDetector::new(self.clock);
        loop {
            tokio::time::sleep(TICK_PAUSE).await;
            if let Some(time) = suspensions.poll() {
                self.handle_suspension(time);
            }
            let now = self.clock.now();
            self.correct_wall_clock(now);
            self.check_store_era();
            self.recheck_rows(now);
            if signals.stop.load(Ordering::Relaxed) {
                self.freshness.stop(now);
            }
            let asked = signals.reload.swap(false, Ordering::Relaxed);
            if asked || now >= settings_read_at + SETTINGS_POLL_PAUSE {
                settings_read_at = now;
                self.apply_settings(read_settings(), asked);
            }
            self.update_peers(now);
            self.tick_lease(now);
        }
    }

    // Corrects jumps of the wall clock. In a run without this correction, with half of the clocks jumping
    // within a day, four usage windows were missed; with it, none.
    fn correct_wall_clock(&self, now: Duration) {
        let reading_us = self.clock.read_wall_offset_us();
        let look = self.state.borrow_mut().day.observe_reading(now, reading_us);
        self.clock.set_wall_offset(look.estimated_us);
        if let Some(jumped_us) = look.jumped_us {
            self.metrics.count(Counter::WallClockJumps);
            let believed_ms = (reading_us - look.estimated_us) / 1000;
            warn!(self.log, "the clock of the day jumped"; "ms" => jumped_us / 1000,
                "away_from_belief_ms" => believed_ms);
        }
    }

    // During a suspension the runtime's timers stand still, so all state is older than they show: every topic
    // is polled and the peers are informed at once.
    fn handle_suspension(&self, time: Duration) {
        self.metrics.count(Counter::Suspensions);
        warn!(self.log, "the VM was suspended"; "ms" => time.as_millis() as u64);
        let state = self.state.borrow();
        let followed = state.followed.values();
        followed.for_each(|followed| followed.wake.notify_one());
        self.urgent.notify_one();
    }

    fn apply_settings(&self, read: Option<GatewaySettings>, asked: bool) {
        let Some(settings) = read else {
            if asked {
                warn!(
                    self.log,
                    "settings not readable; the previous ones stay in force"
                );
            }
            return;
        };
        let mut state = self.state.borrow_mut();
        if *state.settings == settings {
            return;
        }
        info!(self.log, "settings reloaded"; "asked" => asked);
        let due = change_due(&settings);
        for followed in state.followed.values_mut() {
            followed.follower.set_change_due(due);
        }
        state.settings = Arc::new(settings);
        let _ = self
            .updates
            .send(Update::Settings(Arc::clone(&state.settings)));
    }

    fn update_peers(&self, now: Duration) {
        let mut state = self.state.borrow_mut();
        state.peers.tick(now);
        let fleet = state.peers.fleet(now);
        let alive = state.peers.count(now).alive;
        self.metrics.set(Gauge::AlivePeers, alive as u64);
        if fleet != state.fleet {
            let count = state.peers.count(now);
            info!(self.log, "gateways changed"; "heard" => count.alive, "silent" => count.silent,
                "gateways" => fleet.gateways, "part_milli" => (fleet.part * 1000.0) as u64,
                "coordinators" => fleet.coordinators.len(), "coordinates" => state.peers.is_coordinator(now));
            state.fleet = fleet.clone();
            let _ = self.updates.send(Update::Fleet(fleet));
        }
        self.update_endpoint_need(&mut state, now);
        let reads_store = state.is_store_reader(now);
        if reads_store != state.reads_store {
            state.reads_store = reads_store;
            // The current wait is long because other gateways read the store; now this one does.
            let followed = state.followed.values();
            followed.for_each(|followed| followed.wake.notify_one());
        }
    }
}
