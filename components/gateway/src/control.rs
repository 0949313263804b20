//! The control thread: what it knows, and the tasks that work on it.

mod accounts;
mod carrying;
mod echoes;
mod engines;
mod exchange;
mod follow;
mod forwarding;
mod lease;
mod messages;
mod need;
mod passing;
mod region;
mod reporting;
mod rollouts;
mod rows;
mod scaling;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Endpoint, StoreClock};
use fleet::Scaler;
use replica::{Follower, Source as AskFirst};
use schema::settings::GatewaySettings;
use slog::{info, warn, Logger};
use state::{Lease, LeaseTerms};
use telemetry::Metrics;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use topology::Topology;
use usage::{Forwarding, Ledger, Reporter, Source, Terms};

use crate::alone::Alone;
use crate::clock::Clock;
pub use crate::control::echoes::{round_trip, Echoes};
use crate::control::engines::Engines;
use crate::control::follow::Followed;
use crate::control::lease::OrdersUnderWay;
use crate::control::messages::SendState;
pub(crate) use crate::control::passing::{name_of, topic_of, PASSED_ON};
use crate::control::region::spread_of;
use crate::control::rollouts::Rollouts;
use crate::control::scaling::Demand;
use crate::freshness::Freshness;
use crate::peers::{Fleet, Listed, Peers};
use crate::ports::{Orders, Store, Topic};
use crate::run::{ReadSettings, Signals};
use crate::tally::{Sent, ServiceLoad, Tally};
use crate::update::Update;

/// Pause between looks at signals, peers and the lease.
const TICK: Duration = Duration::from_millis(100);
/// Pause between looks at the settings file when no signal says that it changed.
const SETTINGS_LOOK: Duration = Duration::from_secs(1);
/// Key of the lease's row.
const LEASE_KEY: &str = "duties";
/// A renewal holds this much longer than the bound on its holders.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Pause between renewals of the lease.
const LEASE_PAUSE: Duration = Duration::from_secs(1);
/// Part of the time within which usage is due after which a window is settled.
const SETTLE_PART: f64 = 0.45;

/// Sockets over which gateways talk to each other.
pub(crate) struct PeerSockets {
    /// For gossip.
    pub gossip: UdpSocket,
    /// For rows.
    pub rows: TcpListener,
    /// Address of both.
    pub address: SocketAddr,
}

/// What a control thread is made of.
pub(crate) struct ControlParts {
    pub sockets: PeerSockets,
    pub settings: Arc<GatewaySettings>,
    pub read_settings: ReadSettings,
    pub signals: Signals,
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<Alone>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub updates: flume::Sender<Update>,
    pub tallies: flume::Receiver<Tally>,
    /// Port at which the traffic thread decides for others.
    pub decisions_port: u16,
}

/// Everything the control thread knows.
pub(crate) struct Known {
    pub settings: Arc<GatewaySettings>,
    pub configuration: Option<Arc<Configuration>>,
    // Whether the newest configuration could be read; else the one in force is not the newest.
    pub configuration_readable: bool,
    pub followed: BTreeMap<Topic, Followed>,
    pub endpoints: BTreeMap<String, Endpoint>,
    pub store_clock: StoreClock,
    pub peers: Peers,
    pub topology: Topology,
    pub lease: Lease,
    pub orders: OrdersUnderWay,
    pub ledger: Ledger,
    pub reporter: Reporter,
    // By service and region.
    pub scalers: BTreeMap<(String, String), Scaler>,
    pub engines: Engines,
    pub demand: Demand,
    pub loads: BTreeMap<String, ServiceLoad>,
    pub taken: BTreeMap<String, u64>,
    pub unsent: Vec<Sent>,
    pub sending: SendState,
    // Only kept where there are several regions.
    pub echoes: Option<Echoes>,
    pub forwarding: Forwarding,
    pub fleet: Fleet,
    // Whether this gateway holds calls at the store.
    pub watches: bool,
    // Shortest time of a call of the store.
    pub store_time: Option<Duration>,
    // Whether the store turned this gateway away when it asked for the list of gateways last.
    pub list_refused: bool,
    // When the endpoints were needed last, while they are followed.
    pub endpoints_needed_at: Option<Duration>,
    pub rollouts: Rollouts,
}

/// The control thread before it runs.
pub(crate) struct Control {
    parts: ControlParts,
    source: Source,
    known: Known,
}

/// What the tasks of the control thread share.
pub(crate) struct Shared<S, O> {
    pub clock: Clock,
    pub freshness: Arc<Freshness>,
    pub alone: Arc<Alone>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    pub updates: flume::Sender<Update>,
    pub source: Source,
    pub peer_address: SocketAddr,
    pub decisions_port: u16,
    /// Point of this gateway, 0 to 1, where all would do the same at once.
    pub spread: f64,
    /// Something is to be reported to the other gateways at once.
    pub urgent: Notify,
    /// An endpoint does not take work any more.
    pub endpoint_lost: Notify,
    pub started_wall: Duration,
    pub known: RefCell<Known>,
    pub store: S,
    pub orders: O,
}

impl Control {
    pub fn new(parts: ControlParts) -> Self {
        let settings = Arc::clone(&parts.settings);
        let source = Source {
            gateway: settings.name.clone(),
            incarnation: parts.clock.wall().as_millis() as i64,
        };
        let mut peers = Peers::new(Listed {
            name: settings.name.clone(),
            address: parts.sockets.address,
            hall: settings.zone.clone(),
            cores_milli: settings.cores_milli,
            decisions: None,
        });
        let topology = Topology::new(&settings.zone, &settings.region, &settings.halls);
        peers.set_topology(topology.clone());
        if topology.has_regions() {
            peers.expect_halls(topology.halls());
        }
        for seed in settings.seeds.iter().filter_map(|seed| seed.parse().ok()) {
            peers.learn(Duration::ZERO, seed);
        }
        let echoes = topology.has_regions().then(Echoes::default);
        let known = Known {
            lease: Lease::new(lease_terms(&settings)),
            orders: OrdersUnderWay::default(),
            reporter: Reporter::new(usage_terms(&settings)),
            forwarding: Forwarding::new(usage_terms(&settings)),
            followed: followed_topics(&settings),
            settings,
            configuration: None,
            configuration_readable: true,
            endpoints: BTreeMap::new(),
            store_clock: StoreClock::default(),
            peers,
            topology,
            ledger: Ledger::default(),
            scalers: BTreeMap::new(),
            engines: Engines::default(),
            demand: Demand::default(),
            loads: BTreeMap::new(),
            taken: BTreeMap::new(),
            unsent: Vec::new(),
            sending: SendState::default(),
            echoes,
            fleet: Fleet::default(),
            watches: false,
            store_time: None,
            list_refused: false,
            endpoints_needed_at: None,
            rollouts: Rollouts::default(),
        };
        Control {
            parts,
            source,
            known,
        }
    }

    /// Runs until the process ends.
    pub fn run<S: Store + 'static, O: Orders + 'static>(
        self,
        store: impl FnOnce() -> S,
        orders: impl FnOnce() -> O,
    ) {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.parts.log, "no control runtime; raise the limits of the process";
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
            spread: spread_of(&self.source.gateway),
            source: self.source,
            peer_address: parts.sockets.address,
            decisions_port: parts.decisions_port,
            urgent: Notify::new(),
            endpoint_lost: Notify::new(),
            started_wall: parts.clock.wall(),
            known: RefCell::new(self.known),
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
    for topic in PASSED_ON {
        tokio::task::spawn_local(Rc::clone(&shared).follow(topic));
    }
    let (reporting, ordering) = (Rc::clone(&shared), Rc::clone(&shared));
    tokio::task::spawn_local(async move { reporting.keep_reporting().await });
    tokio::task::spawn_local(async move { ordering.keep_endpoints().await });
    tokio::task::spawn_local(Rc::clone(&shared).keep_rollouts());
    if let Err(error) = exchange(&shared, sockets, tallies) {
        warn!(shared.log, "no exchange with other gateways; raise the limit of descriptors";
            "cause" => %error);
    }
    shared.tick(signals, read_settings).await;
}

fn exchange<S: Store + 'static, O: Orders + 'static>(
    shared: &Rc<Shared<S, O>>,
    sockets: PeerSockets,
    tallies: flume::Receiver<Tally>,
) -> std::io::Result<()> {
    let rows = tokio::net::TcpListener::from_std(sockets.rows)?;
    let gossip = Rc::new(tokio::net::UdpSocket::from_std(sockets.gossip)?);
    tokio::task::spawn_local(Rc::clone(shared).pass_on(rows));
    tokio::task::spawn_local(Rc::clone(shared).announce());
    tokio::task::spawn_local(Rc::clone(shared).receive(Rc::clone(&gossip)));
    tokio::task::spawn_local(Rc::clone(shared).report(gossip, tallies));
    Ok(())
}

impl Known {
    /// How a topic that is passed on is followed.
    pub fn followed_mut(&mut self, topic: Topic) -> &mut Followed {
        let settings = &self.settings;
        let followed = self.followed.entry(topic);
        followed.or_insert_with(|| follow(topic, settings))
    }

    /// Forgets what is known of a topic, as at the start.
    pub fn forget_rows(&mut self, topic: Topic) {
        let followed = follow(topic, &self.settings);
        let old = self.followed.insert(topic, followed);
        // Whoever waits for changes of the topic goes on waiting.
        if let (Some(old), Some(new)) = (old, self.followed.get_mut(&topic)) {
            new.wake = old.wake;
        }
    }

    /// Whether the store answered the last call.
    pub fn reaches_store(&self) -> bool {
        let mut followed = self.followed.values();
        followed.all(|followed| followed.follower.reaches_store())
    }
}

fn followed_topics(settings: &GatewaySettings) -> BTreeMap<Topic, Followed> {
    let topics = PASSED_ON.into_iter();
    topics
        .map(|topic| (topic, follow(topic, settings)))
        .collect()
}

// Until its size is known, a configuration is taken to be large.
fn follow(topic: Topic, settings: &GatewaySettings) -> Followed {
    let first = match topic {
        Topic::Configuration => AskFirst::Store,
        _ => AskFirst::Peer,
    };
    Followed::new(Follower::new(first, change_due(settings)))
}

fn change_due(settings: &GatewaySettings) -> Duration {
    Duration::from_millis(settings.change_due_ms.max(0) as u64)
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    async fn tick(self: Rc<Self>, signals: Signals, read_settings: ReadSettings) {
        let mut looked_at = Duration::ZERO;
        loop {
            tokio::time::sleep(TICK).await;
            let now = self.clock.now();
            if signals.stop.load(Ordering::Relaxed) {
                self.freshness.stop(now);
            }
            let asked = signals.reload.swap(false, Ordering::Relaxed);
            if asked || now >= looked_at + SETTINGS_LOOK {
                looked_at = now;
                self.take_settings(read_settings(), asked);
            }
            self.count_peers(now);
            self.tick_lease(now);
        }
    }

    fn take_settings(&self, read: Option<GatewaySettings>, asked: bool) {
        let Some(settings) = read else {
            if asked {
                warn!(
                    self.log,
                    "settings cannot be read; the old ones stay in force"
                );
            }
            return;
        };
        let mut known = self.known.borrow_mut();
        if *known.settings == settings {
            return;
        }
        info!(self.log, "settings reloaded"; "asked" => asked);
        let due = change_due(&settings);
        for followed in known.followed.values_mut() {
            followed.follower.set_change_due(due);
        }
        known.settings = Arc::new(settings);
        let _ = self
            .updates
            .send(Update::Settings(Arc::clone(&known.settings)));
    }

    fn count_peers(&self, now: Duration) {
        let mut known = self.known.borrow_mut();
        known.peers.tick(now);
        let fleet = known.peers.fleet(now);
        if fleet != known.fleet {
            let count = known.peers.count(now);
            info!(self.log, "gateways changed"; "heard" => count.heard, "silent" => count.silent,
                "gateways" => fleet.gateways, "part_milli" => (fleet.part * 1000.0) as u64,
                "coordinators" => fleet.coordinators.len(), "coordinates" => known.peers.coordinates(now));
            known.fleet = fleet.clone();
            let _ = self.updates.send(Update::Fleet(fleet));
        }
        self.check_need(&mut known, now);
        let watches = known.watches_store(now);
        if watches != known.watches {
            known.watches = watches;
            // A rest is as long as others are to bring changes; now this gateway is.
            let followed = known.followed.values();
            followed.for_each(|followed| followed.wake.notify_one());
        }
    }
}

fn lease_terms(settings: &GatewaySettings) -> LeaseTerms {
    let bound = Duration::from_millis(settings.lease_ms.max(0) as u64);
    LeaseTerms {
        key: LEASE_KEY.to_string(),
        node: settings.name.clone(),
        duration: bound + 2 * LEASE_MARGIN,
        margin: LEASE_MARGIN,
        interval: LEASE_PAUSE,
    }
}

fn usage_terms(settings: &GatewaySettings) -> Terms {
    let due = Duration::from_millis(settings.usage_due_ms.max(0) as u64);
    Terms {
        window: Duration::from_millis(settings.usage_window_ms.max(1) as u64),
        settle: due.mul_f64(SETTLE_PART),
        due,
    }
}
