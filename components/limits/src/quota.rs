//! How nodes share a fleet-wide limit without a call per request.
//!
//! Each node takes a part of the limit: what it is asked for, and an equal share of what nobody is
//! asked for, so that a node whose demand jumps, or that has just started, has room. Under a demand
//! near or past the limit one fifth is shared equally and the rest by demand. A smaller part is
//! taken at once; a larger one only after it was justified for as long as gossip needs to reach
//! everyone, so that the others have shrunk by then. Nodes that vanish may run on behind a cut,
//! so their part of the limit stays unused until the platform's list confirms that they are gone
//! or the fleet's former size is forgotten: two sides of a cut never sum to more than the limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Least part of a limit that is shared equally, whatever the demand, in thousandths.
pub const MIN_EQUAL_PART_MILLI: u64 = 200;
/// How long a peer must be silent before a report with a lower round is taken: another node may
/// have taken over telling for it.
const TAKEOVER_AFTER: Duration = Duration::from_secs(6);
/// How long the demand of a silent peer is kept in the sum.
const KEEP_SILENT: Duration = Duration::from_secs(30);
/// How long the size of the fleet is remembered.
const REMEMBER_SIZE: Duration = Duration::from_secs(600);

/// The demand of one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerDemand {
    /// Counter of the peer's reports; a higher one is newer.
    pub round: u64,
    /// Requests a second asked for, in thousandths.
    pub rate_milli: u64,
    /// When it was heard, on this node's clock.
    pub heard_at: Duration,
}

/// One node's part of one team's limits, in thousandths of the whole.
#[derive(Clone, Debug)]
pub struct QuotaPart {
    own_milli: u64,
    peers: BTreeMap<String, PeerDemand>,
    sizes: VecDeque<(Duration, u64)>,
    raise_after: Duration,
    part_milli: u64,
    raise: Option<(Duration, u64)>,
}

impl QuotaPart {
    /// A node that knows of `fleet` nodes, itself included: it starts with the equal share, which
    /// the others have to give up once they hear of it. `raise_after` is the time that gossip needs to reach everyone:
    /// a larger part must be justified for as long before it is taken.
    pub fn new(now: Duration, fleet: u64, raise_after: Duration) -> Self {
        QuotaPart {
            own_milli: 0,
            peers: BTreeMap::new(),
            sizes: VecDeque::from([(now, fleet.max(1))]),
            raise_after,
            part_milli: 1000 / fleet.max(1),
            raise: None,
        }
    }

    /// Sets this node's own demand.
    pub fn set_own_demand(&mut self, rate_milli: u64) {
        self.own_milli = rate_milli;
    }

    /// Takes the demand of a peer; old and doubled reports change nothing.
    pub fn receive(&mut self, peer: &str, demand: PeerDemand) {
        let known = self.peers.get(peer);
        let newer = |k: &PeerDemand| {
            demand.round > k.round || demand.heard_at > k.heard_at + TAKEOVER_AFTER
        };
        if known.is_none_or(newer) {
            self.peers.insert(peer.to_string(), demand);
        }
    }

    /// Drops a peer that said it leaves, or whose VM is gone for good: one node less runs, so the
    /// fleet is taken to have been one smaller all the time. `fleet` nodes are known to live.
    pub fn remove_peer(&mut self, peer: &str, now: Duration, fleet: u64) {
        if self.peers.remove(peer).is_none() {
            return;
        }
        let largest = self.sizes.front().map_or(1, |(_, size)| *size);
        self.sizes = VecDeque::from([(now, (largest - 1).max(fleet).max(1))]);
    }

    /// This node's part of the limit in thousandths, after taking `fleet`, the number of nodes
    /// known to live, this one included. `limit_milli` is the limit in the unit of the demands.
    pub fn part_milli(&mut self, now: Duration, fleet: u64, limit_milli: u64) -> u64 {
        let largest = self.remember(now, fleet.max(1));
        let justified = self.justified(now, fleet.max(1), largest, limit_milli);
        if justified <= self.part_milli {
            self.part_milli = justified;
            self.raise = None;
            return self.part_milli;
        }
        self.consider_raise(now, justified);
        self.part_milli
    }

    fn consider_raise(&mut self, now: Duration, justified: u64) {
        let (since, least) = self.raise.unwrap_or((now, justified));
        let least = least.min(justified);
        if now.saturating_sub(since) < self.raise_after {
            self.raise = Some((since, least));
            return;
        }
        self.part_milli = least;
        self.raise = None;
    }

    fn justified(&self, now: Duration, fleet: u64, largest: u64, limit_milli: u64) -> u64 {
        let heard = |d: &&PeerDemand| now.saturating_sub(d.heard_at) < KEEP_SILENT;
        let known: Vec<&PeerDemand> = self.peers.values().filter(heard).collect();
        let known_nodes = known.len() as u64 + 1;
        if known_nodes < fleet.min(largest) {
            // Too few are heard to know the demand: the equal share is safe.
            return 1000 / largest;
        }
        // Nodes that vanished may run on behind a cut: their part stays theirs.
        let whole = 1000 * known_nodes.min(largest) / largest;
        let total = self.own_milli + known.iter().map(|d| d.rate_milli).sum::<u64>();
        let used = (total * 1000 / (limit_milli * whole / 1000).max(1)).min(1000);
        let equal = (1000 - used).max(MIN_EQUAL_PART_MILLI);
        let by_demand = (whole * (1000 - equal) / 1000 * self.own_milli).checked_div(total);
        whole * equal / 1000 / known_nodes + by_demand.unwrap_or(0)
    }

    fn remember(&mut self, now: Duration, fleet: u64) -> u64 {
        while self.sizes.back().is_some_and(|(_, size)| *size <= fleet) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, fleet));
        while self.sizes.len() > 1 && now.saturating_sub(self.sizes[0].0) > REMEMBER_SIZE {
            self.sizes.pop_front();
        }
        self.sizes[0].1
    }
}
