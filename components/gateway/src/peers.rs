//! The other gateways: which are alive, which are silent, and their addresses. Does no I/O.

mod halls;
mod peer;
mod regions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use routing::{rank, weight};
use topology::Topology;

pub(crate) use crate::peers::halls::COORDINATORS_PER_HALL;
pub use crate::peers::halls::{AccountKeeper, GatewayFleet, HallCount};
pub use crate::peers::peer::{ListedGateway, PeerStatus};
use crate::peers::peer::{Peer, ADDRESS_LIFETIME};
use crate::peers::regions::HallLists;

/// Time without a message after which a gateway is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Hash key of the order in which coordinators keep long polls open at the store.
const READER_RANK_KEY: u64 = 0x7761_7463;
/// Hash key of the order in which a gateway asks others to read the store for it.
const STORE_RELAY_KEY: u64 = 0x7374_6f72;

/// Count of other gateways that is assumed while none is known.
const ASSUMED_GATEWAYS: usize = 100;
/// A process that started at most this long before this one counts as recently started: everything it did since
/// its start still counts.
const RECENT_START_TOLERANCE: Duration = Duration::from_secs(3);

/// Counts of the other gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCount {
    /// Gateways from which a recent message was received.
    pub alive: usize,
    /// Gateways that fell silent, or that were never heard and may be running.
    pub silent: usize,
}

impl PeerCount {
    /// Count of the gateways that may be running, this one included.
    pub fn gateways(self) -> usize {
        1 + self.alive + self.silent
    }

    /// Share of all gateways that are alive, this one included.
    pub fn live_part(self) -> f64 {
        (1 + self.alive) as f64 / self.gateways() as f64
    }
}

/// Whether a process started so recently that the first totals it reports lie within recent time; both
/// arguments are times since the start of a process.
pub fn has_started_recently(own_uptime: Duration, uptime: Duration) -> bool {
    uptime <= own_uptime + RECENT_START_TOLERANCE
}

/// Effect of a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The message is newer than the known state.
    Accepted,
    /// The message is older than the known state, or a duplicate.
    Stale,
}

/// All other gateways.
#[derive(Debug)]
pub struct Peers {
    own: ListedGateway,
    topology: Topology,
    peers: BTreeMap<String, Peer>,
    // Addresses from the settings or other gateways with no known gateway, and when they were added.
    addresses: BTreeMap<SocketAddr, Duration>,
    // IP addresses of gateways that stop or were forgotten, and since when. They may still finish requests.
    departed: BTreeMap<IpAddr, Duration>,
    // Whether the store's list of gateways is read; where it is read by halls, `lists` holds the progress.
    listed: bool,
    lists: HallLists,
    lease: Option<HeldLease>,
    // Highest epoch that its holder released, and when the release was first reported.
    given_up: Option<(i64, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: i64,
    holder: SocketAddr,
    reported_at: Duration,
}

impl Peers {
    /// Creates a set that contains no other gateway.
    pub fn new(own: ListedGateway) -> Self {
        Peers {
            topology: Topology::new(&own.hall, "", &BTreeMap::new()),
            own,
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            departed: BTreeMap::new(),
            listed: false,
            lists: HallLists::default(),
            lease: None,
            given_up: None,
        }
    }

    /// Sets the regions of all halls.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// Adds an address at which a gateway may run.
    pub fn add_address(&mut self, now: Duration, address: SocketAddr) {
        let is_known = self.peers.values().any(|peer| peer.address == address);
        if address != self.own.address && !is_known {
            self.addresses.entry(address).or_insert(now);
        }
    }

    /// Applies the store's list of gateways.
    pub fn apply_list(&mut self, now: Duration, gateways: impl Iterator<Item = ListedGateway>) {
        self.listed = true;
        self.add_listed(now, gateways);
    }

    fn add_listed(&mut self, now: Duration, gateways: impl Iterator<Item = ListedGateway>) {
        for listed in gateways {
            let is_own = listed.name == self.own.name || listed.address == self.own.address;
            let is_known = self.peers.values().any(|p| p.address == listed.address);
            if !is_own && !is_known {
                self.addresses.remove(&listed.address);
                let name = listed.name.clone();
                let peer = self.peers.entry(name);
                peer.or_insert_with(|| Peer::from_list(now, listed));
            }
        }
    }

    /// Whether the store's list of gateways is read.
    pub fn has_complete_list(&self) -> bool {
        self.listed
    }

    /// Records a message of a gateway.
    pub fn receive(&mut self, now: Duration, status: PeerStatus) -> Receipt {
        let name = status.name.clone();
        let known = self.peers.get(&name);
        if known.is_some_and(|known| known.is_outdated(now, &status)) {
            return Receipt::Stale;
        }
        let address = status.address;
        self.addresses.remove(&address);
        self.peers.retain(|other, peer| {
            *other == name || peer.address != address || peer.last_status.is_some()
        });
        let peer = self.peers.entry(name).or_insert_with(|| {
            let (name, hall) = (status.name.clone(), status.hall.clone());
            let (cores_milli, decisions) = (status.cores_milli, status.decisions);
            Peer::from_list(
                now,
                ListedGateway {
                    name,
                    address,
                    hall,
                    cores_milli,
                    decisions,
                },
            )
        });
        peer.receive(now, status);
        Receipt::Accepted
    }

    /// Whether this gateway is among the first `count` of the live coordinators that reach the store, in an
    /// order that all of them agree on.
    pub fn is_among_first_coordinators(&self, now: Duration, count: usize) -> bool {
        if !self.is_coordinator(now) {
            return false;
        }
        let live = self.peers.iter().filter(|(_, peer)| {
            let status = peer.recent_status(now);
            status.is_some_and(|g| g.is_coordinator && g.reaches_store)
        });
        let own = self.own.name.as_str();
        let names = live.map(|(name, _)| name.as_str());
        rank(READER_RANK_KEY, names.chain([own]), count).contains(&own)
    }

    /// Whether a gateway is alive.
    pub fn is_alive(&self, now: Duration, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_alive(now))
    }

    /// Whether any other coordinator is alive.
    pub fn has_live_coordinator(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| peer.is_coordinator(now))
    }

    /// Data hall of the gateway at an address.
    pub fn hall_at(&self, address: SocketAddr) -> Option<&str> {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.address == address);
        peer.map(|peer| peer.hall.as_str())
    }

    /// Whether a gateway is listed or was heard, and has neither stopped nor been forgotten since.
    pub fn is_known(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// Removes a gateway that stops.
    pub fn remove(&mut self, now: Duration, name: &str) {
        if let Some(peer) = self.peers.remove(name) {
            self.departed.insert(peer.address.ip(), now);
        }
    }

    /// Records that another gateway holds the lease under this epoch.
    pub fn receive_lease(&mut self, now: Duration, epoch: i64, holder: SocketAddr) {
        if self.lease.is_none_or(|known| epoch >= known.epoch) {
            self.lease = Some(HeldLease {
                epoch,
                holder,
                reported_at: now,
            });
        }
    }

    /// Latest known epoch of the lease, and its holder's address.
    pub fn lease_holder(&self) -> Option<(i64, SocketAddr)> {
        self.lease.map(|lease| (lease.epoch, lease.holder))
    }

    /// Records that the holder of the lease under this epoch released it.
    pub fn receive_give_up(&mut self, now: Duration, epoch: i64) {
        if self.given_up.is_none_or(|(known, _)| epoch > known) {
            self.given_up = Some((epoch, now));
        }
    }

    /// Whether a holder of the lease was heard within `time` and has not released it since.
    pub fn is_holder_alive(&self, now: Duration, time: Duration) -> bool {
        let given_up = self.given_up.map_or(i64::MIN, |(epoch, _)| epoch);
        self.lease
            .is_some_and(|lease| now < lease.reported_at + time && lease.epoch > given_up)
    }

    /// Whether a release of the lease was reported within `time`.
    pub fn was_given_up_within(&self, now: Duration, time: Duration) -> bool {
        self.given_up.is_some_and(|(_, at)| now < at + time)
    }

    /// Live gateways that may reach the store, in an order that differs between gateways. Coordinators come last: if they
    /// reached it, they would have confirmed the rows.
    pub fn store_relays(&self, now: Duration) -> Vec<SocketAddr> {
        let own = weight(STORE_RELAY_KEY, &self.own.name);
        let live = self.peers.iter().filter_map(|(name, peer)| {
            let status = peer.recent_status(now)?;
            let order = (status.is_coordinator, weight(own, name), peer.address);
            status.reaches_store.then_some(order)
        });
        let mut live: Vec<_> = live.collect();
        live.sort_unstable();
        live.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Whether another live gateway reaches the store.
    pub fn can_others_reach_store(&self, now: Duration) -> bool {
        let mut live = self
            .peers
            .values()
            .filter_map(|peer| peer.recent_status(now));
        live.any(|status| status.reaches_store)
    }

    /// Forgets gateways that were silent for too long and addresses from which no message came.
    pub fn tick(&mut self, now: Duration) {
        self.peers.retain(|_, peer| {
            let last_status = peer.last_status.as_ref();
            last_status.is_none_or(|(_, at)| now < *at + FORGET_AFTER)
        });
        self.addresses
            .retain(|_, since| now < *since + ADDRESS_LIFETIME);
        self.departed.retain(|_, since| now < *since + FORGET_AFTER);
    }

    /// Addresses at which no gateway is known yet; messages are sent to them.
    pub fn unconfirmed_addresses(&self) -> BTreeSet<SocketAddr> {
        self.addresses.keys().copied().collect()
    }

    /// At most `most` addresses of live coordinators, starting at a position that advances with `turn`. Through
    /// them a starting gateway finds all others.
    pub fn coordinator_addresses(
        &self,
        now: Duration,
        turn: usize,
        most: usize,
    ) -> Vec<SocketAddr> {
        let live = self.peers.values().filter(|peer| peer.is_coordinator(now));
        let all: Vec<SocketAddr> = live.map(|peer| peer.address).collect();
        let count = all.len().min(most);
        let at = |i: usize| all[(turn * most + i) % all.len()];
        (0..count).map(at).collect()
    }
}
