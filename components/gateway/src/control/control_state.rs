//! State of the control thread, and its initial values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Endpoint, StoreClock};
use fleet::Scaler;
use quarantine::Quarantine;
use replica::{Follower, PreferredSource};
use routing::placement::Sight;
use schema::settings::GatewaySettings;
use state::{Lease, LeaseTerms};
use topology::Topology;
use usage::{Forwarding, Reporter, UsageLedger, WindowTiming};

use crate::control::departures::Departures;
use crate::control::engines::Engines;
use crate::control::follow::FollowedTopic;
use crate::control::lease::OrdersInFlight;
use crate::control::messages::SendState;
use crate::control::quarantine::ObservationQueue;
use crate::control::rollouts::Rollouts;
use crate::control::scaling::Demand;
use crate::control::{Echoes, SHARED_TOPICS};
use crate::limit_reports::PendingLimits;
use crate::peers::{GatewayFleet, ListedGateway, Peers};
use crate::ports::{StoreEra, Topic};
use crate::tally::{SentRequest, ServiceLoad};
use crate::wall_clock::WallClockEstimate;

/// Key of the lease's row.
const LEASE_KEY: &str = "duties";
/// Margin for which a lease outlasts the configured bound on its holders.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Pause between renewals of the lease.
const LEASE_RENEWAL_PAUSE: Duration = Duration::from_secs(1);
/// Fraction of the deadline for usage reports after which a window is settled.
const SETTLE_FRACTION: f64 = 0.45;
/// State of the control thread.
pub(crate) struct ControlState {
    pub settings: Arc<GatewaySettings>,
    pub configuration: Option<Arc<Configuration>>,
    // Whether the store's row holds the configuration in force. An unreadable or older row confirms nothing.
    pub is_configuration_current: bool,
    pub followed: BTreeMap<Topic, FollowedTopic>,
    pub endpoints: BTreeMap<String, Endpoint>,
    pub departures: Departures,
    pub store_clock: StoreClock,
    /// Era of the store at the last check.
    pub store_era: StoreEra,
    /// Highest era of the store seen in its answers or in rows received from other gateways.
    pub newest_era: Option<u64>,
    /// Wall-clock time at which `newest_era` was first seen.
    pub newest_era_seen_at: Duration,
    pub peers: Peers,
    pub topology: Topology,
    pub lease: Lease,
    /// Wall-clock time since which this gateway holds the lease.
    pub lease_held_since: Option<Duration>,
    pub orders: OrdersInFlight,
    pub ledger: UsageLedger,
    pub reporter: Reporter,
    // By service and region.
    pub scalers: BTreeMap<(String, String), Scaler>,
    pub engines: Engines,
    pub demand: Demand,
    pub loads: BTreeMap<String, ServiceLoad>,
    pub team_totals: BTreeMap<String, u64>,
    pub unsent_requests: Vec<SentRequest>,
    /// Observations from answers that are not yet reported to the other coordinators.
    pub sights: Vec<Sight>,
    /// Limits of endpoints that are not yet reported to the other coordinators.
    pub limits: PendingLimits,
    pub sending: SendState,
    // `None` if there is only one region.
    pub echoes: Option<Echoes>,
    pub forwarding: Forwarding,
    pub fleet: GatewayFleet,
    /// Whether this gateway has lost its own paths to the endpoints.
    pub has_lost_paths: bool,
    // Whether this gateway keeps long polls open at the store.
    pub reads_store: bool,
    // Shortest time that a store call took.
    pub min_store_call_time: Option<Duration>,
    // Whether the store refused the last request for the list of gateways.
    pub list_refused: bool,
    // Time of the last need for the endpoints; `None` while they are not followed.
    pub endpoints_needed_at: Option<Duration>,
    pub rollouts: Rollouts,
    pub quarantine: Quarantine,
    pub observations: ObservationQueue,
    /// Estimate of the time of day.
    pub day: WallClockEstimate,
}

/// Addresses at which other gateways reach this one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAddresses {
    /// Gossip and rows.
    pub peers: SocketAddr,
    /// Placement queries.
    pub decisions: SocketAddr,
}

impl ControlState {
    /// The initial state, which contains only the settings.
    pub fn new(settings: Arc<GatewaySettings>, own_addresses: PeerAddresses, day_us: i64) -> Self {
        let topology = Topology::new(&settings.zone, &settings.region, &settings.halls);
        let peers = initial_peers(&settings, &topology, own_addresses);
        let echoes = topology.has_several_regions().then(Echoes::default);
        ControlState {
            lease: Lease::new(lease_terms(&settings)),
            lease_held_since: None,
            orders: OrdersInFlight::default(),
            reporter: Reporter::new(window_timing(&settings)),
            forwarding: Forwarding::new(window_timing(&settings)),
            followed: followed_topics(&settings),
            settings,
            configuration: None,
            is_configuration_current: true,
            endpoints: BTreeMap::new(),
            departures: Departures::default(),
            store_clock: StoreClock::default(),
            store_era: StoreEra::default(),
            newest_era: None,
            newest_era_seen_at: Duration::ZERO,
            peers,
            topology,
            ledger: UsageLedger::default(),
            scalers: BTreeMap::new(),
            engines: Engines::default(),
            demand: Demand::default(),
            loads: BTreeMap::new(),
            team_totals: BTreeMap::new(),
            unsent_requests: Vec::new(),
            sights: Vec::new(),
            limits: PendingLimits::default(),
            sending: SendState::default(),
            echoes,
            fleet: GatewayFleet::default(),
            has_lost_paths: false,
            reads_store: false,
            min_store_call_time: None,
            list_refused: false,
            endpoints_needed_at: None,
            rollouts: Rollouts::default(),
            quarantine: Quarantine::default(),
            observations: ObservationQueue::default(),
            day: WallClockEstimate::new(day_us),
        }
    }

    /// The copy of a topic; it is created if it does not exist.
    pub fn followed_mut(&mut self, topic: Topic) -> &mut FollowedTopic {
        let settings = &self.settings;
        let followed = self.followed.entry(topic);
        followed.or_insert_with(|| new_followed_topic(topic, settings))
    }

    /// Discards the copy of a topic.
    pub fn reset_topic(&mut self, topic: Topic) {
        let followed = new_followed_topic(topic, &self.settings);
        let old = self.followed.insert(topic, followed);
        // The task that waits for changes of the topic must still be woken.
        if let (Some(old), Some(new)) = (old, self.followed.get_mut(&topic)) {
            new.wake = old.wake;
        }
    }

    /// Whether the store answered the last call for every topic.
    pub fn reaches_store(&self) -> bool {
        let mut followed = self.followed.values();
        followed.all(|followed| followed.follower.reaches_store())
    }
}

// Peers with the addresses that the settings name.
fn initial_peers(
    settings: &GatewaySettings,
    topology: &Topology,
    own_addresses: PeerAddresses,
) -> Peers {
    let mut peers = Peers::new(ListedGateway {
        name: settings.name.clone(),
        address: own_addresses.peers,
        hall: settings.zone.clone(),
        cores_milli: settings.cores_milli,
        decisions: Some(own_addresses.decisions),
    });
    peers.set_topology(topology.clone());
    if topology.has_several_halls() {
        peers.set_halls(topology.halls());
    }
    for seed in settings.seeds.iter().filter_map(|seed| seed.parse().ok()) {
        peers.add_address(Duration::ZERO, seed);
    }
    peers
}

fn followed_topics(settings: &GatewaySettings) -> BTreeMap<Topic, FollowedTopic> {
    let topics = SHARED_TOPICS.into_iter();
    topics
        .map(|topic| (topic, new_followed_topic(topic, settings)))
        .collect()
}

// A configuration is assumed to be large until its size is known.
fn new_followed_topic(topic: Topic, settings: &GatewaySettings) -> FollowedTopic {
    let first = match topic {
        Topic::Configuration => PreferredSource::Store,
        _ => PreferredSource::Peer,
    };
    FollowedTopic::new(Follower::new(first, change_due(settings)))
}

/// Time within which a change must be in force.
pub(super) fn change_due(settings: &GatewaySettings) -> Duration {
    Duration::from_millis(settings.change_due_ms.max(0) as u64)
}

fn lease_terms(settings: &GatewaySettings) -> LeaseTerms {
    let bound = Duration::from_millis(settings.lease_ms.max(0) as u64);
    LeaseTerms {
        key: LEASE_KEY.to_string(),
        node: settings.name.clone(),
        duration: bound + 2 * LEASE_MARGIN,
        margin: LEASE_MARGIN,
        interval: LEASE_RENEWAL_PAUSE,
    }
}

fn window_timing(settings: &GatewaySettings) -> WindowTiming {
    let due = Duration::from_millis(settings.usage_due_ms.max(0) as u64);
    WindowTiming {
        window: Duration::from_millis(settings.usage_window_ms.max(1) as u64),
        settle_delay: due.mul_f64(SETTLE_FRACTION),
        due,
    }
}
