//! Selection of the coordinators of each data hall, and the count of gateways.
//!
//! A few gateways of each hall are coordinators: they decide for all others of the hall and report their
//! decisions to the coordinators of all halls. So the traffic between gateways grows with the requests and with
//! the halls, not with pairs of gateways. In a hall with no more gateways than coordinators, each gateway
//! decides for itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::peers::peer::Peer;
use crate::peers::{PeerCount, Peers, ASSUMED_GATEWAYS};
use routing::{rank, weight};
use topology::Distance;

/// Count of coordinators in a hall: two may fail before the hall has to look for others.
pub(crate) const COORDINATORS_PER_HALL: usize = 3;
/// Count of gateways of its own hall to which a gateway without a live coordinator reports.
const WIDER_REPORT_TARGETS: usize = 8;
/// Count of deciding gateways that is assumed while none is known.
const ASSUMED_DECIDERS: usize = 100;
/// Hash key of the order in which gateways with the same CPU capacity become coordinators.
const COORDINATION_KEY: u64 = 0x636f_6f72;
/// Hash key of the order in which a gateway asks relays.
const RELAY_KEY: u64 = 0x7265_6c61;

/// Counts of the gateways of one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallCount {
    /// Gateways from which a recent message was received.
    pub alive: usize,
    /// Gateways that fell silent, or that were never heard and may be running.
    pub silent: usize,
}

/// The gateways that take decisions about requests, as this gateway sees them.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayFleet {
    /// Count of the gateways that may be running, this one included.
    pub gateways: usize,
    /// This gateway's part of what all gateways share, which its own decisions may use; from 0 to 1.
    pub part: f64,
    /// Whether `gateways` was counted and not partly assumed.
    pub is_counted: bool,
    /// Whether this gateway decides, for itself and others.
    pub decides: bool,
    /// Live coordinators of this gateway's hall in the order in which they are asked; empty if this gateway
    /// decides itself.
    pub coordinators: Vec<SocketAddr>,
    /// Count of the gateways that decide, this one included, as far as known.
    pub decider_count: usize,
    /// Gateways that are asked when none of `coordinators` decides, taken from the store's list: the
    /// coordinators of this gateway's hall that were never heard, as after a start of all gateways, then one
    /// coordinator of each other hall.
    pub fallback_deciders: Vec<SocketAddr>,
    /// The gateways of `fallback_deciders` that are in another region.
    pub far_deciders: Vec<SocketAddr>,
    /// Coordinators of all halls that keep accounts of endpoints with a named limit, this gateway included;
    /// empty if this gateway does not decide.
    pub keepers: Vec<AccountKeeper>,
    /// Gateways that may open connections to endpoints for this one, in the order in which it asks them: first coordinators,
    /// since these know the endpoints; those without paths of their own last.
    pub relays: Vec<SocketAddr>,
    /// IP addresses of the other gateways that are heard or listed, or stopped lately.
    pub known: BTreeSet<IpAddr>,
}

/// A coordinator that keeps accounts of endpoints with a named limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountKeeper {
    pub name: String,
    pub hall: String,
    /// Address to which queries are sent.
    pub address: SocketAddr,
}

impl Default for GatewayFleet {
    fn default() -> Self {
        GatewayFleet {
            gateways: 1,
            part: PeerCount::default().live_part(),
            is_counted: false,
            decides: true,
            coordinators: Vec::new(),
            decider_count: ASSUMED_DECIDERS,
            fallback_deciders: Vec::new(),
            far_deciders: Vec::new(),
            keepers: Vec::new(),
            relays: Vec::new(),
            known: BTreeSet::new(),
        }
    }
}

impl GatewayFleet {
    /// Whether this gateway decides with no more than its equal part although there are other gateways.
    pub fn is_isolated(&self) -> bool {
        self.gateways > 1 && self.part <= 1.0 / self.gateways as f64
    }
}

impl Peers {
    /// Whether this gateway is a coordinator of its hall.
    pub fn is_coordinator(&self, now: Duration) -> bool {
        let own = (self.own.cores_milli, self.own_weight());
        let before = |(name, peer): &(&String, &Peer)| {
            peer.hall == self.own.hall && !peer.is_down(now) && rank_key(name, peer) > own
        };
        self.peers.iter().filter(before).count() < COORDINATORS_PER_HALL
    }

    /// Addresses of the coordinators of all halls except this gateway, and of gateways that may be
    /// coordinators.
    pub fn coordinators(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let halls: BTreeSet<&str> = self.peers.values().map(|p| p.hall.as_str()).collect();
        // Also those from which nothing was received: a coordinator that waited for the first message of the
        // other side might never get one.
        let first = halls
            .into_iter()
            .flat_map(|hall| self.first_in_hall(hall, now, COORDINATORS_PER_HALL));
        let first: BTreeSet<&str> = first.collect();
        let may_coordinate = |(name, peer): &(&String, &Peer)| {
            peer.is_coordinator(now) || first.contains(name.as_str())
        };
        let candidates = self.peers.iter().filter(may_coordinate);
        candidates.map(|(_, peer)| peer.address).collect()
    }

    /// Addresses of the coordinators of this gateway's hall, or of more gateways of the hall if none of them is
    /// alive.
    pub fn own_coordinators(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let hall = self.own.hall.as_str();
        let mut first = self.first_in_hall(hall, now, COORDINATORS_PER_HALL);
        if !first.iter().any(|name| self.peers[*name].is_alive(now)) {
            first = self.first_in_hall(hall, now, WIDER_REPORT_TARGETS);
        }
        let addresses = first.iter().map(|name| self.peers[*name].address);
        addresses.collect()
    }

    /// Addresses of the gateways of this gateway's hall that are not coordinators.
    pub fn members(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let coordinators = self.coordinators(now);
        let own_hall = self.peers.values().filter(|p| p.hall == self.own.hall);
        let running = own_hall.filter(|p| p.is_alive(now) || p.is_silent(now));
        let addresses = running.map(|peer| peer.address);
        addresses.filter(|a| !coordinators.contains(a)).collect()
    }

    /// Records that messages of these gateways are due from now on.
    pub fn expect_messages(&mut self, now: Duration, addresses: &BTreeSet<SocketAddr>) {
        let peers = self.peers.values_mut();
        let due = peers.filter(|peer| addresses.contains(&peer.address));
        due.for_each(|peer| peer.expect_message(now));
    }

    /// The gateways and their deciders as of now.
    pub fn fleet(&self, now: Duration) -> GatewayFleet {
        let count = self.count(now);
        if self.is_coordinator(now) {
            return GatewayFleet {
                gateways: count.gateways(),
                part: count.live_part(),
                is_counted: self.has_counted(now),
                decides: true,
                coordinators: Vec::new(),
                decider_count: self.coordinators(now).len() + 1,
                fallback_deciders: Vec::new(),
                far_deciders: Vec::new(),
                keepers: self.keepers(now),
                relays: self.live_relays(now),
                known: self.known_addresses(),
            };
        }
        let reported = self.reported_gateways(now);
        let gateways = reported.unwrap_or(count.gateways());
        let (near, far) = self.other_hall_deciders(now);
        let deciders = self.deciders(now);
        let relays = match self.reported_relays(now) {
            reported if !reported.is_empty() => reported,
            // No coordinator of its hall is heard.
            _ => [near.clone(), far.clone()].concat(),
        };
        GatewayFleet {
            gateways,
            part: 1.0 / gateways.max(1) as f64,
            is_counted: reported.is_some(),
            decides: false,
            coordinators: deciders,
            decider_count: gateways,
            fallback_deciders: [self.unheard_deciders(now), near, far.clone()].concat(),
            far_deciders: far,
            keepers: Vec::new(),
            relays,
            known: self.known_addresses(),
        }
    }

    /// Name of the coordinator that this gateway asks first.
    pub fn preferred_coordinator(&self, now: Duration) -> Option<&str> {
        match self.is_coordinator(now) {
            true => None,
            false => self.decider_names(now).first().copied(),
        }
    }

    /// Counts of the gateways of this hall from which this gateway itself receives messages. Only these are
    /// reported to others: counts taken from another coordinator would come back from it and never fall.
    pub fn hall_count(&self, now: Duration) -> HallCount {
        let own_hall = || self.peers.values().filter(|p| p.hall == self.own.hall);
        HallCount {
            alive: 1 + own_hall().filter(|peer| peer.is_alive(now)).count(),
            silent: own_hall().filter(|peer| peer.is_silent(now)).count(),
        }
    }

    /// Whether [`count`](Self::count) assumes no gateways: of each hall a list was read or a gateway was heard, and no address
    /// is counted that may belong to one of them.
    pub fn has_counted(&self, now: Duration) -> bool {
        let has_heard = self.peers.values().any(|peer| peer.is_alive(now));
        let has_all_names = self.listed || has_heard && self.addresses.is_empty();
        has_all_names && self.assumed_unread_gateways(&self.hall_count(now)) == 0
    }

    /// Counts of the gateways of all halls.
    pub fn count(&self, now: Duration) -> PeerCount {
        let own = self.hall_count(now);
        let reported = self.reported_count(&self.own.hall, now);
        let own = reported
            .filter(|reported| reported.alive > own.alive)
            .unwrap_or(own);
        let mut alive = own.alive - 1;
        let mut silent = own.silent;
        for (hall, known) in self.other_halls() {
            let known = HallCount {
                alive: known.iter().filter(|peer| peer.is_alive(now)).count(),
                silent: known.iter().filter(|peer| peer.is_silent(now)).count(),
            };
            let count = self.reported_count(hall, now).unwrap_or(known);
            alive += count.alive;
            silent += count.silent;
        }
        silent += self.assumed_unread_gateways(&own);
        // Once the store's list is read, an address without a known gateway belongs to a gateway that is
        // already counted, or to one that was already gone.
        if !self.listed {
            silent += self.addresses.len();
        }
        if !self.listed && alive == 0 {
            silent = silent.max(ASSUMED_GATEWAYS);
        }
        PeerCount { alive, silent }
    }

    /// Whether this gateway must forward the usage of a process.
    pub fn should_forward_usage_of(&self, now: Duration, gateway: &str) -> bool {
        let own = self.own.name.as_str();
        let peer = self.peers.get(gateway);
        let preferred =
            peer.and_then(|peer| peer.recent_status(now)?.preferred_coordinator.as_deref());
        gateway != own && preferred.is_none_or(|preferred| preferred == own)
    }

    // Assumed count of gateways in halls from which nothing was read or received yet: as many as in this
    // gateway's hall.
    fn assumed_unread_gateways(&self, own: &HallCount) -> usize {
        let known = self.other_halls();
        let unread = self.lists.unread().filter(|hall| *hall != self.own.hall);
        let unknown = unread.filter(|hall| !known.contains_key(hall));
        unknown.count() * (own.alive + own.silent)
    }

    fn other_halls(&self) -> BTreeMap<&str, Vec<&Peer>> {
        let mut halls: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
        let others = self.peers.values().filter(|p| p.hall != self.own.hall);
        for peer in others {
            halls.entry(&peer.hall).or_default().push(peer);
        }
        halls
    }

    // Counts from the coordinator of a hall that hears the most gateways.
    fn reported_count(&self, hall: &str, now: Duration) -> Option<HallCount> {
        let peers = self.peers.values().filter(|peer| peer.hall == hall);
        let reported = peers.filter_map(|peer| peer.recent_status(now)?.hall_count);
        reported.max_by_key(|count| count.alive)
    }

    fn reported_gateways(&self, now: Duration) -> Option<usize> {
        let peers = self.peers.values().filter(|p| p.is_coordinator(now));
        peers
            .filter_map(|peer| peer.recent_status(now)?.gateways)
            .max()
    }

    // Live coordinators of this gateway's hall, in an order that differs between gateways.
    fn decider_names(&self, now: Duration) -> Vec<&str> {
        let first = self.first_in_hall(&self.own.hall, now, COORDINATORS_PER_HALL);
        let live = first.into_iter().filter(|name| {
            let status = self.peers[*name].recent_status(now);
            status.is_some_and(|g| g.is_coordinator && g.decisions.is_some())
        });
        rank(weight(0, &self.own.name), live, COORDINATORS_PER_HALL)
    }

    fn keepers(&self, now: Duration) -> Vec<AccountKeeper> {
        let others = self.peers.iter().filter_map(|(name, peer)| {
            let status = peer.recent_status(now)?;
            let keeps = status.is_coordinator && status.keeps_accounts;
            Some(AccountKeeper {
                name: name.clone(),
                hall: peer.hall.clone(),
                address: status.decisions.filter(|_| keeps)?,
            })
        });
        let own = self.own.decisions.map(|address| AccountKeeper {
            name: self.own.name.clone(),
            hall: self.own.hall.clone(),
            address,
        });
        others.chain(own).collect()
    }

    // Live gateways that may have paths to the endpoints: coordinators first, since these know all endpoints, by distance, then
    // in an order that differs between gateways, so that those of a hall without paths don't all ask the same one. Those
    // without paths come last.
    fn live_relays(&self, now: Duration) -> Vec<SocketAddr> {
        let own = weight(RELAY_KEY, &self.own.name);
        let live = self.peers.iter().filter_map(|(name, peer)| {
            let status = peer.recent_status(now)?;
            let is_far = self.topology.distance(&peer.hall) == Distance::OtherRegion;
            let is_other_hall = peer.hall != self.own.hall;
            let preference = (
                status.has_lost_paths,
                !status.is_coordinator,
                is_far,
                is_other_hall,
            );
            Some((preference, weight(own, name), status.decisions?))
        });
        let mut live: Vec<_> = live.collect();
        live.sort_unstable();
        live.into_iter().map(|(_, _, address)| address).collect()
    }

    /// At most `count` relays that a coordinator reports to the gateways of its hall, starting at a position that advances
    /// with `turn`: coordinators of other halls, or gateways of its hall if none of those has paths. Its own hall's
    /// coordinators are known there.
    pub fn relays_to_report(&self, now: Duration, turn: usize, count: usize) -> Vec<SocketAddr> {
        let live = self
            .peers
            .values()
            .filter_map(|peer| Some((peer, peer.recent_status(now)?)));
        let sound = live.filter(|(_, status)| !status.has_lost_paths);
        let (mut other_halls, mut own_hall) = (Vec::new(), Vec::new());
        for (peer, status) in sound {
            let is_own_hall = peer.hall == self.own.hall;
            match (is_own_hall, status.is_coordinator) {
                (true, false) => own_hall.extend(status.decisions),
                (false, true) => other_halls.extend(status.decisions),
                _ => {}
            }
        }
        let relays = match other_halls.is_empty() {
            true => own_hall,
            false => other_halls,
        };
        let first = turn * count;
        let positions = (0..relays.len().min(count)).map(|i| (first + i) % relays.len());
        positions.map(|position| relays[position]).collect()
    }

    // The relays of a gateway that is no coordinator: its coordinators, and those that they report. Those without paths come
    // last.
    fn reported_relays(&self, now: Duration) -> Vec<SocketAddr> {
        let own_hall = self.peers.values().filter(|p| p.hall == self.own.hall);
        let coordinators = own_hall
            .filter_map(|peer| peer.recent_status(now))
            .filter(|status| status.is_coordinator);
        let mut ranked = BTreeMap::new();
        for status in coordinators {
            if let Some(address) = status.decisions {
                ranked.insert(address, usize::from(status.has_lost_paths) * 2);
            }
            for relay in &status.relays {
                ranked.entry(*relay).or_insert(1);
            }
        }
        let own = weight(RELAY_KEY, &self.own.name);
        let mut relays: Vec<SocketAddr> = ranked.keys().copied().collect();
        relays.sort_by_key(|relay| (ranked[relay], weight(own, &relay.to_string())));
        relays
    }

    fn known_addresses(&self) -> BTreeSet<IpAddr> {
        let peers = self.peers.values().map(|peer| peer.address.ip());
        peers.chain(self.departed.keys().copied()).collect()
    }

    fn deciders(&self, now: Duration) -> Vec<SocketAddr> {
        let names = self.decider_names(now).into_iter();
        let addresses = names.filter_map(|name| self.peers[name].recent_status(now)?.decisions);
        addresses.collect()
    }

    fn unheard_deciders(&self, now: Duration) -> Vec<SocketAddr> {
        let first = self.first_in_hall(&self.own.hall, now, COORDINATORS_PER_HALL);
        let peers = first.iter().map(|name| &self.peers[*name]);
        let unheard = peers.filter(|peer| !peer.is_alive(now));
        unheard.filter_map(|peer| peer.decisions).collect()
    }

    // One coordinator of each other hall, in this region and in other regions, in an order that differs between
    // gateways. This gateway receives no messages from them, so they are selected from the store's list.
    fn other_hall_deciders(&self, now: Duration) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let own = weight(COORDINATION_KEY, &self.own.name);
        let mut halls: Vec<&str> = self.other_halls().into_keys().collect();
        halls.sort_unstable_by_key(|hall| weight(own, hall));
        let of_hall = |hall: &str| {
            let first = self.first_in_hall(hall, now, COORDINATORS_PER_HALL);
            let chosen = rank(own, first.into_iter(), 1);
            self.peers[*chosen.first()?].decisions
        };
        let is_near = |hall: &&str| self.topology.distance(hall) != Distance::OtherRegion;
        let (near, far): (Vec<&str>, Vec<&str>) = halls.into_iter().partition(is_near);
        let deciders = |halls: Vec<&str>| halls.into_iter().filter_map(of_hall).collect();
        (deciders(near), deciders(far))
    }

    // The first gateways of a hall, except this one: by CPU capacity, then by a hash order that all gateways
    // agree on.
    pub(super) fn first_in_hall(&self, hall: &str, now: Duration, count: usize) -> Vec<&str> {
        let of_hall = self.peers.iter().filter(|(_, peer)| peer.hall == hall);
        let up = of_hall.filter(|(_, peer)| !peer.is_down(now));
        let mut ordered: Vec<_> = up
            .map(|(name, peer)| (rank_key(name, peer), name))
            .collect();
        ordered.sort_unstable_by(|a, b| b.cmp(a));
        let names = ordered.into_iter().map(|(_, name)| name.as_str());
        names.take(count).collect()
    }

    fn own_weight(&self) -> u64 {
        weight(COORDINATION_KEY, &self.own.name)
    }
}

fn rank_key(name: &str, peer: &Peer) -> (i32, u64) {
    (peer.cores_milli, weight(COORDINATION_KEY, name))
}
