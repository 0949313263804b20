//! Divides a fleet-wide limit among nodes without a call per request.
//!
//! Each node takes a part of the limit: its own demand, and an equal share of what no node demands,
//! so that a node whose demand jumps, or that has just started, has headroom. When the demand nears
//! or exceeds the limit, one fifth is shared equally and the rest in proportion to demand. A smaller
//! part takes effect at once. A larger one takes effect only after it was justified for as long as
//! gossip needs to reach all nodes, so that the others have reduced theirs by then. Nodes that
//! disappear may still run on the other side of a network partition. Their part of the limit stays
//! unused until the platform's list confirms that they are gone, or until the fleet's former size
//! expires, so that the two sides of a partition never sum to more than the limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Minimum part of a limit that is shared equally, whatever the demand, in thousandths.
pub const MIN_EQUAL_PART_MILLI: u64 = 200;
/// How long after a peer's last report one with a lower round is accepted: another node, with a
/// counter of its own, may have taken over reporting for the peer.
const ROUND_RESET_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the last demand of a silent peer counts.
const SILENT_DEMAND_TTL: Duration = Duration::from_secs(30);
/// How long a former size of the fleet counts.
const FLEET_SIZE_TTL: Duration = Duration::from_secs(600);

/// The demand that one peer reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerDemand {
    /// Counter of the peer's reports; a higher one is newer.
    pub round: u64,
    /// Requests per second that it was asked to admit, in thousandths.
    pub rate_milli: u64,
    /// When the report was received, on this node's clock.
    pub heard_at: Duration,
}

/// One node's part of one team's limits, in thousandths of the limits.
#[derive(Clone, Debug)]
pub struct QuotaPart {
    own_demand_milli: u64,
    peers: BTreeMap<String, PeerDemand>,
    // When each size was seen, and the size, in decreasing order; the first is the largest that still counts.
    fleet_sizes: VecDeque<(Duration, u64)>,
    raise_delay: Duration,
    part_milli: u64,
    // Since when a larger part is justified, and the smallest one justified since then.
    pending_raise: Option<(Duration, u64)>,
}

impl QuotaPart {
    /// The part of a node that knows of `fleet` nodes, itself included. It starts with an equal part,
    /// which the others give up once they know of this node. `raise_delay` is the time that gossip
    /// needs to reach all nodes: a larger part must be justified for this long before it takes effect.
    pub fn new(now: Duration, fleet: u64, raise_delay: Duration) -> Self {
        QuotaPart {
            own_demand_milli: 0,
            peers: BTreeMap::new(),
            fleet_sizes: VecDeque::from([(now, fleet.max(1))]),
            raise_delay,
            part_milli: 1000 / fleet.max(1),
            pending_raise: None,
        }
    }

    /// Sets this node's own demand, in thousandths of a request per second.
    pub fn set_own_demand(&mut self, rate_milli: u64) {
        self.own_demand_milli = rate_milli;
    }

    /// Records the demand of a peer. Outdated and duplicate reports change nothing.
    pub fn receive(&mut self, peer: &str, demand: PeerDemand) {
        let known = self.peers.get(peer);
        let is_newer = |k: &PeerDemand| {
            demand.round > k.round || demand.heard_at > k.heard_at + ROUND_RESET_TIMEOUT
        };
        if known.is_none_or(is_newer) {
            self.peers.insert(peer.to_string(), demand);
        }
    }

    /// Removes a peer that announced its departure, or whose VM is gone for good. As its part is
    /// certain to be free, the largest fleet size that counts drops by one. `fleet` is the number of
    /// nodes known to be alive.
    pub fn remove_peer(&mut self, peer: &str, now: Duration, fleet: u64) {
        if self.peers.remove(peer).is_none() {
            return;
        }
        let largest_fleet = self.fleet_sizes.front().map_or(1, |(_, size)| *size);
        self.fleet_sizes = VecDeque::from([(now, (largest_fleet - 1).max(fleet).max(1))]);
    }

    /// Updates and returns this node's part of the limit, in thousandths. `fleet` is the number of
    /// nodes known to be alive, this one included. `limit_milli` is the limit in the unit of the
    /// demands.
    pub fn part_milli(&mut self, now: Duration, fleet: u64, limit_milli: u64) -> u64 {
        let largest_fleet = self.record_fleet_size(now, fleet.max(1));
        let justified_milli =
            self.justified_part_milli(now, fleet.max(1), largest_fleet, limit_milli);
        if justified_milli <= self.part_milli {
            self.part_milli = justified_milli;
            self.pending_raise = None;
            return self.part_milli;
        }
        self.update_pending_raise(now, justified_milli);
        self.part_milli
    }

    fn update_pending_raise(&mut self, now: Duration, justified_milli: u64) {
        let (since, lowest_milli) = self.pending_raise.unwrap_or((now, justified_milli));
        let lowest_milli = lowest_milli.min(justified_milli);
        if now.saturating_sub(since) < self.raise_delay {
            self.pending_raise = Some((since, lowest_milli));
            return;
        }
        self.part_milli = lowest_milli;
        self.pending_raise = None;
    }

    fn justified_part_milli(
        &self,
        now: Duration,
        fleet: u64,
        largest_fleet: u64,
        limit_milli: u64,
    ) -> u64 {
        let is_recent = |d: &&PeerDemand| now.saturating_sub(d.heard_at) < SILENT_DEMAND_TTL;
        let known: Vec<&PeerDemand> = self.peers.values().filter(is_recent).collect();
        let known_node_count = known.len() as u64 + 1;
        if known_node_count < fleet.min(largest_fleet) {
            // The demand of some live nodes is not known; an equal part is safe.
            return 1000 / largest_fleet;
        }
        // Nodes that disappeared may still run behind a partition, so their part stays reserved.
        let usable_milli = 1000 * known_node_count.min(largest_fleet) / largest_fleet;
        let total_demand_milli =
            self.own_demand_milli + known.iter().map(|d| d.rate_milli).sum::<u64>();
        let used_milli =
            (total_demand_milli * 1000 / (limit_milli * usable_milli / 1000).max(1)).min(1000);
        let equal_milli = (1000 - used_milli).max(MIN_EQUAL_PART_MILLI);
        let by_demand_milli = (usable_milli * (1000 - equal_milli) / 1000 * self.own_demand_milli)
            .checked_div(total_demand_milli);
        usable_milli * equal_milli / 1000 / known_node_count + by_demand_milli.unwrap_or(0)
    }

    // Records the current size, and returns the largest size that still counts.
    fn record_fleet_size(&mut self, now: Duration, fleet: u64) -> u64 {
        while self
            .fleet_sizes
            .back()
            .is_some_and(|(_, size)| *size <= fleet)
        {
            self.fleet_sizes.pop_back();
        }
        self.fleet_sizes.push_back((now, fleet));
        while self.fleet_sizes.len() > 1
            && now.saturating_sub(self.fleet_sizes[0].0) > FLEET_SIZE_TTL
        {
            self.fleet_sizes.pop_front();
        }
        self.fleet_sizes[0].1
    }
}
