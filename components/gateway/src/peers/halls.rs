//! Who decides for the gateways of a data hall, and how many gateways there are.
//!
//! In each hall a few gateways coordinate: they decide for all others of the hall and exchange with the
//! coordinators of all halls what they decided. So what gateways say to each other grows with the requests
//! and with the halls, not with pairs of gateways. Where a hall has no more gateways than coordinators, each
//! decides for itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::peers::peer::Peer;
use crate::peers::{PeerCount, Peers, ASSUMED};
use routing::{rank, weight};
use topology::Distance;

/// Gateways of a hall that coordinate: two may be gone before the hall looks for others.
pub(crate) const COORDINATORS: usize = 3;
/// Gateways of its own hall to which one without any coordinator reports.
const WIDER_SEARCH: usize = 8;
/// Gateways that decide, while nothing is known of them.
const ASSUMED_PLACING: usize = 100;
/// Key of the order in which gateways of the same size coordinate.
const COORDINATION_KEY: u64 = 0x636f_6f72;

/// Gateways of one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallCount {
    /// Those that are heard.
    pub heard: usize,
    /// Those that were heard and are silent now, or were never heard and may be running.
    pub silent: usize,
}

/// How this gateway decides about requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Gateways that may be running, this one included.
    pub gateways: usize,
    /// Part of what all gateways share that is used by what is decided here.
    pub part: f64,
    /// Whether this gateway decides, for itself and others.
    pub decides: bool,
    /// Coordinators of the own hall that are heard, the one that is asked first before the others; empty if this
    /// gateway decides itself.
    pub coordinators: Vec<SocketAddr>,
    /// Gateways that decide, this one included, as far as it is known.
    pub placing: usize,
    /// Gateways that are asked when none of those decides, by what the store's list says: the own hall's coordinators
    /// that were never heard, as after a start of all, then one coordinator of each other hall.
    pub others: Vec<SocketAddr>,
    /// Those of `others` that lie in another region.
    pub far: Vec<SocketAddr>,
    /// Coordinators of all halls that keep accounts of endpoints that name limits, this one included; empty if this
    /// gateway does not decide.
    pub keepers: Vec<AccountKeeper>,
}

/// A coordinator that keeps accounts of endpoints that name limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountKeeper {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where it is asked.
    pub address: SocketAddr,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            gateways: 1,
            part: PeerCount::default().live_part(),
            decides: true,
            coordinators: Vec::new(),
            placing: ASSUMED_PLACING,
            others: Vec::new(),
            far: Vec::new(),
            keepers: Vec::new(),
        }
    }
}

impl Fleet {
    /// Whether this gateway decides with no more than its own part though there are others.
    pub fn is_alone(&self) -> bool {
        self.gateways > 1 && self.part <= 1.0 / self.gateways as f64
    }
}

impl Peers {
    /// Whether this gateway decides for others of its hall.
    pub fn coordinates(&self, now: Duration) -> bool {
        let own = (self.own.cores_milli, self.own_weight());
        let before = |(name, peer): &(&String, &Peer)| {
            peer.hall == self.own.hall && !peer.is_down(now) && place(name, peer) > own
        };
        self.peers.iter().filter(before).count() < COORDINATORS
    }

    /// Coordinators of all halls but this gateway, and those that may be coordinators.
    pub fn coordinators(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let halls: BTreeSet<&str> = self.peers.values().map(|p| p.hall.as_str()).collect();
        // Also those not heard: a coordinator that waited to be addressed first might never be.
        let first = halls
            .into_iter()
            .flat_map(|hall| self.first_of(hall, now, COORDINATORS));
        let first: BTreeSet<&str> = first.collect();
        let is_meant = |(name, peer): &(&String, &Peer)| {
            peer.coordinates(now) || first.contains(name.as_str())
        };
        let meant = self.peers.iter().filter(is_meant);
        meant.map(|(_, peer)| peer.address).collect()
    }

    /// Coordinators of the own hall; more gateways of it if none of them is heard.
    pub fn own_coordinators(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let hall = self.own.hall.as_str();
        let mut first = self.first_of(hall, now, COORDINATORS);
        if !first.iter().any(|name| self.peers[*name].is_alive(now)) {
            first = self.first_of(hall, now, WIDER_SEARCH);
        }
        let addresses = first.iter().map(|name| self.peers[*name].address);
        addresses.collect()
    }

    /// Gateways of the own hall that do not coordinate.
    pub fn members(&self, now: Duration) -> BTreeSet<SocketAddr> {
        let coordinators = self.coordinators(now);
        let own_hall = self.peers.values().filter(|p| p.hall == self.own.hall);
        let running = own_hall.filter(|p| p.is_alive(now) || p.is_silent(now));
        let addresses = running.map(|peer| peer.address);
        addresses.filter(|a| !coordinators.contains(a)).collect()
    }

    /// Messages of these gateways are due from now on.
    pub fn expect(&mut self, now: Duration, addresses: &BTreeSet<SocketAddr>) {
        let peers = self.peers.values_mut();
        let due = peers.filter(|peer| addresses.contains(&peer.address));
        due.for_each(|peer| peer.expect(now));
    }

    /// How this gateway decides now.
    pub fn fleet(&self, now: Duration) -> Fleet {
        let count = self.count(now);
        if self.coordinates(now) {
            return Fleet {
                gateways: count.gateways(),
                part: count.live_part(),
                decides: true,
                coordinators: Vec::new(),
                placing: self.coordinators(now).len() + 1,
                others: Vec::new(),
                far: Vec::new(),
                keepers: self.keepers(now),
            };
        }
        let gateways = self.reported_gateways(now).unwrap_or(count.gateways());
        let (near, far) = self.deciders_elsewhere(now);
        Fleet {
            gateways,
            part: 1.0 / gateways.max(1) as f64,
            decides: false,
            coordinators: self.deciders(now),
            placing: gateways,
            others: [self.deciders_unseen(now), near, far.clone()].concat(),
            far,
            keepers: Vec::new(),
        }
    }

    /// Name of the coordinator that is asked first.
    pub fn asks(&self, now: Duration) -> Option<&str> {
        match self.coordinates(now) {
            true => None,
            false => self.decider_names(now).first().copied(),
        }
    }

    /// Gateways of the own hall, as far as this one hears them itself. Only that is reported to others: a count
    /// taken from another coordinator would come back from it and never fall.
    pub fn hall_count(&self, now: Duration) -> HallCount {
        let own_hall = || self.peers.values().filter(|p| p.hall == self.own.hall);
        HallCount {
            heard: 1 + own_hall().filter(|peer| peer.is_alive(now)).count(),
            silent: own_hall().filter(|peer| peer.is_silent(now)).count(),
        }
    }

    /// Gateways of all halls.
    pub fn count(&self, now: Duration) -> PeerCount {
        let own = self.hall_count(now);
        let reported = self.reported_count(&self.own.hall, now);
        let own = reported
            .filter(|reported| reported.heard > own.heard)
            .unwrap_or(own);
        let mut heard = own.heard - 1;
        let mut silent = own.silent;
        for (hall, known) in self.other_halls() {
            let known = HallCount {
                heard: known.iter().filter(|peer| peer.is_alive(now)).count(),
                silent: known.iter().filter(|peer| peer.is_silent(now)).count(),
            };
            let count = self.reported_count(hall, now).unwrap_or(known);
            heard += count.heard;
            silent += count.silent;
        }
        silent += self.assumed_unread(&own);
        // Once the store's list is read, an address that is tried is one of a gateway counted already, or of one
        // that was gone before.
        if !self.listed {
            silent += self.addresses.len();
        }
        if !self.listed && heard == 0 {
            silent = silent.max(ASSUMED);
        }
        PeerCount { heard, silent }
    }

    /// Whether usage of a process is to be passed on by this gateway.
    pub fn passes_on_for(&self, now: Duration, gateway: &str) -> bool {
        let own = self.own.name.as_str();
        let peer = self.peers.get(gateway);
        let asks = peer.and_then(|peer| peer.recent(now)?.asks.as_deref());
        gateway != own && asks.is_none_or(|asks| asks == own)
    }

    // Gateways of halls of which nothing was read or heard yet: as many as in the own one.
    fn assumed_unread(&self, own: &HallCount) -> usize {
        let known = self.other_halls();
        let unread = self.lists.unread().filter(|hall| *hall != self.own.hall);
        let unknown = unread.filter(|hall| !known.contains_key(hall));
        unknown.count() * (own.heard + own.silent)
    }

    fn other_halls(&self) -> BTreeMap<&str, Vec<&Peer>> {
        let mut halls: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
        let others = self.peers.values().filter(|p| p.hall != self.own.hall);
        for peer in others {
            halls.entry(&peer.hall).or_default().push(peer);
        }
        halls
    }

    // What the coordinator of a hall says that hears most.
    fn reported_count(&self, hall: &str, now: Duration) -> Option<HallCount> {
        let peers = self.peers.values().filter(|peer| peer.hall == hall);
        let reported = peers.filter_map(|peer| peer.recent(now)?.hall_count);
        reported.max_by_key(|count| count.heard)
    }

    fn reported_gateways(&self, now: Duration) -> Option<usize> {
        let peers = self.peers.values().filter(|p| p.coordinates(now));
        peers.filter_map(|peer| peer.recent(now)?.gateways).max()
    }

    // Coordinators of the own hall that are heard, in an order that differs from gateway to gateway.
    fn decider_names(&self, now: Duration) -> Vec<&str> {
        let first = self.first_of(&self.own.hall, now, COORDINATORS);
        let heard = first.into_iter().filter(|name| {
            let greeting = self.peers[*name].recent(now);
            greeting.is_some_and(|g| g.coordinates && g.decisions.is_some())
        });
        rank(weight(0, &self.own.name), heard, COORDINATORS)
    }

    fn keepers(&self, now: Duration) -> Vec<AccountKeeper> {
        let others = self.peers.iter().filter_map(|(name, peer)| {
            let greeting = peer.recent(now)?;
            let keeps = greeting.coordinates && greeting.keeps_accounts;
            Some(AccountKeeper {
                name: name.clone(),
                hall: peer.hall.clone(),
                address: greeting.decisions.filter(|_| keeps)?,
            })
        });
        let own = self.own.decisions.map(|address| AccountKeeper {
            name: self.own.name.clone(),
            hall: self.own.hall.clone(),
            address,
        });
        others.chain(own).collect()
    }

    fn deciders(&self, now: Duration) -> Vec<SocketAddr> {
        let names = self.decider_names(now).into_iter();
        let addresses = names.filter_map(|name| self.peers[name].recent(now)?.decisions);
        addresses.collect()
    }

    fn deciders_unseen(&self, now: Duration) -> Vec<SocketAddr> {
        let first = self.first_of(&self.own.hall, now, COORDINATORS);
        let peers = first.iter().map(|name| &self.peers[*name]);
        let unheard = peers.filter(|peer| !peer.is_alive(now));
        unheard.filter_map(|peer| peer.decisions).collect()
    }

    // One coordinator of each other hall, of the own region and of others, in an order that differs from gateway to
    // gateway. They are not heard here, so these are the ones that the store's list makes coordinators.
    fn deciders_elsewhere(&self, now: Duration) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let own = weight(COORDINATION_KEY, &self.own.name);
        let mut halls: Vec<&str> = self.other_halls().into_keys().collect();
        halls.sort_unstable_by_key(|hall| weight(own, hall));
        let of_hall = |hall: &str| {
            let first = self.first_of(hall, now, COORDINATORS);
            let chosen = rank(own, first.into_iter(), 1);
            self.peers[*chosen.first()?].decisions
        };
        let is_near = |hall: &&str| self.topology.distance(hall) != Distance::OtherRegion;
        let (near, far): (Vec<&str>, Vec<&str>) = halls.into_iter().partition(is_near);
        let deciders = |halls: Vec<&str>| halls.into_iter().filter_map(of_hall).collect();
        (deciders(near), deciders(far))
    }

    // The gateways of a hall that come first, but this one: the largest, then by an order that all agree on.
    pub(super) fn first_of(&self, hall: &str, now: Duration, count: usize) -> Vec<&str> {
        let of_hall = self.peers.iter().filter(|(_, peer)| peer.hall == hall);
        let up = of_hall.filter(|(_, peer)| !peer.is_down(now));
        let mut ordered: Vec<_> = up.map(|(name, peer)| (place(name, peer), name)).collect();
        ordered.sort_unstable_by(|a, b| b.cmp(a));
        let names = ordered.into_iter().map(|(_, name)| name.as_str());
        names.take(count).collect()
    }

    fn own_weight(&self) -> u64 {
        weight(COORDINATION_KEY, &self.own.name)
    }
}

fn place(name: &str, peer: &Peer) -> (i32, u64) {
    (peer.cores_milli, weight(COORDINATION_KEY, name))
}
