//! The other gateways: who is heard, who is silent, and where they are. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use routing::rank;

/// A gateway not heard for this long is silent.
const SILENT_AFTER: Duration = Duration::from_millis(1500);
/// A silent gateway is forgotten after this long.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// An address from which nothing was heard is tried for this long.
const TRY_ADDRESS_FOR: Duration = Duration::from_secs(20);
/// Key of the order in which gateways hold calls at the store.
const WATCH_KEY: u64 = 0x7761_7463;

/// Others that may be running while nothing is known of them.
const ASSUMED: usize = 100;
/// A process that started at most this long before this one is recent: whatever it did since its start
/// still counts.
const RECENT: Duration = Duration::from_secs(3);

/// How many gateways there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCount {
    /// Others that are heard.
    pub heard: usize,
    /// Others that were heard and are silent now, or were never heard and may be running.
    pub silent: usize,
}

impl PeerCount {
    /// Gateways that may be running, this one included.
    pub fn gateways(self) -> usize {
        1 + self.heard + self.silent
    }

    /// Part of all gateways that hear each other, this one included.
    pub fn heard_part(self) -> f64 {
        (1 + self.heard) as f64 / self.gateways() as f64
    }
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: i64,
    sequence: i64,
    reaches_store: bool,
    heard_at: Duration,
}

/// What a message says of the gateway that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Its name.
    pub name: String,
    /// Where the message came from.
    pub address: SocketAddr,
    /// Start of its process.
    pub incarnation: i64,
    /// Counter of its messages.
    pub sequence: i64,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
}

impl Peer {
    // Whether a message is older than what is known. The time of day may have been set back, so a
    // silent process may be followed by one that seems to have started earlier.
    fn is_before(&self, now: Duration, greeting: &Greeting) -> bool {
        let is_silent = now >= self.heard_at + SILENT_AFTER;
        if is_silent && greeting.incarnation != self.incarnation {
            return false;
        }
        (greeting.incarnation, greeting.sequence) <= (self.incarnation, self.sequence)
    }
}

/// Whether what another process told first is all of recent time, by how long each has run.
pub fn is_recent(own_uptime: Duration, uptime: Duration) -> bool {
    uptime <= own_uptime + RECENT
}

/// What a message of another gateway means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// It is news.
    News,
    /// It is older than what is known, or comes twice.
    Stale,
}

/// All other gateways.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    peers: BTreeMap<String, Peer>,
    // Addresses learnt from the store, the settings or others, and since when they are tried.
    addresses: BTreeMap<SocketAddr, Duration>,
    // Whether the store's list of gateways was read.
    listed: bool,
    lease: Option<(i64, Duration)>,
    // Newest epoch that its holder gave up, and when that was heard first.
    given_up: Option<(i64, Duration)>,
}

impl Peers {
    /// Nobody known yet.
    pub fn new(own: SocketAddr) -> Self {
        Peers {
            own,
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            listed: false,
            lease: None,
            given_up: None,
        }
    }

    /// An address at which a gateway may be.
    pub fn learn(&mut self, now: Duration, address: SocketAddr) {
        let is_known = self.peers.values().any(|peer| peer.address == address);
        if address != self.own && !is_known {
            self.addresses.entry(address).or_insert(now);
        }
    }

    /// The store's list of gateways was read.
    pub fn listed(&mut self, now: Duration, addresses: impl Iterator<Item = SocketAddr>) {
        self.listed = true;
        addresses.for_each(|address| self.learn(now, address));
    }

    /// A message came from a gateway.
    pub fn hear(&mut self, now: Duration, greeting: Greeting) -> Hearing {
        if self
            .peers
            .get(&greeting.name)
            .is_some_and(|known| known.is_before(now, &greeting))
        {
            return Hearing::Stale;
        }
        let peer = Peer {
            address: greeting.address,
            incarnation: greeting.incarnation,
            sequence: greeting.sequence,
            reaches_store: greeting.reaches_store,
            heard_at: now,
        };
        self.peers.insert(greeting.name, peer);
        self.addresses.remove(&greeting.address);
        Hearing::News
    }

    /// Whether a gateway is among the first `count` of those that are heard and reach the store, in
    /// an order that all of them agree on.
    pub fn is_among_first(&self, own: &str, now: Duration, count: usize) -> bool {
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.reaches_store && now < peer.heard_at + SILENT_AFTER);
        let names = heard.map(|(name, _)| name.as_str());
        rank(WATCH_KEY, names.chain([own]), count).contains(&own)
    }

    /// Whether a gateway was heard and has not stopped or been forgotten since.
    pub fn knows(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// A gateway says that it stops.
    pub fn leave(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Another gateway holds the lease under this epoch.
    pub fn hear_lease(&mut self, now: Duration, epoch: i64) {
        if self.lease.is_none_or(|(known, _)| epoch >= known) {
            self.lease = Some((epoch, now));
        }
    }

    /// The holder of the lease under this epoch gave it up.
    pub fn hear_given_up(&mut self, now: Duration, epoch: i64) {
        if self.given_up.is_none_or(|(known, _)| epoch > known) {
            self.given_up = Some((epoch, now));
        }
    }

    /// Whether a holder of the lease was heard within `time` and has not given it up since.
    pub fn holder_heard(&self, now: Duration, time: Duration) -> bool {
        let given_up = self.given_up.map_or(i64::MIN, |(epoch, _)| epoch);
        self.lease
            .is_some_and(|(epoch, at)| now < at + time && epoch > given_up)
    }

    /// Whether the lease was given up within `time`.
    pub fn given_up_within(&self, now: Duration, time: Duration) -> bool {
        self.given_up.is_some_and(|(_, at)| now < at + time)
    }

    /// Whether another gateway that is heard reaches the store.
    pub fn others_reach_store(&self, now: Duration) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.reaches_store && now < peer.heard_at + SILENT_AFTER)
    }

    /// Drops who was silent for too long and addresses that never answered.
    pub fn tick(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| now < peer.heard_at + FORGET_AFTER);
        self.addresses
            .retain(|_, since| now < *since + TRY_ADDRESS_FOR);
    }

    /// Counts at this time.
    pub fn count(&self, now: Duration) -> PeerCount {
        let is_heard = |peer: &&Peer| now < peer.heard_at + SILENT_AFTER;
        let heard = self.peers.values().filter(is_heard).count();
        let known = self.peers.len() + self.addresses.len();
        let others = match self.listed || heard > 0 {
            true => known,
            false => known.max(ASSUMED),
        };
        PeerCount {
            heard,
            silent: others - heard,
        }
    }

    /// Where to send news.
    pub fn targets(&self) -> BTreeSet<SocketAddr> {
        let known = self.peers.values().map(|peer| peer.address);
        known.chain(self.addresses.keys().copied()).collect()
    }

    /// Addresses of gateways that were heard, at most `most`, beginning at one by `turn`.
    pub fn addresses(&self, turn: usize, most: usize) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.peers.values().map(|peer| peer.address).collect();
        let count = all.len().min(most);
        let at = |i: usize| all[(turn * most + i) % all.len()];
        (0..count).map(at).collect()
    }
}
