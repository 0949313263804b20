//! Gateways of a deployment of several data halls: which halls' parts of the store's list are read here, and who reads
//! the store for a region.
//!
//! A gateway reads the part of its own hall; only those that coordinate, and those that hear none of their hall who does,
//! read the others. So what a start of all costs a gateway and the store grows with a hall, not with the fleet; and where
//! the store stands in another region, its thin link carries little.

use std::collections::BTreeSet;
use std::time::Duration;

use routing::weight;
use topology::{Distance, Topology};

use crate::peers::halls::COORDINATORS;
use crate::peers::peer::Peer;
use crate::peers::{Listed, Peers, WATCH_KEY};

/// After it read its hall's part a gateway hears for so long who else runs, before it takes itself for one that
/// coordinates or reads: when all start at once, each finds few others in the list. Three round trips over 60 ms
/// and the next message, which is due at once.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// A gateway that was listed and not heard yet is taken to read the store for so long: its answer to the first message,
/// which is due within 0.5 s.
const AWAITED_FOR: Duration = Duration::from_millis(600);
/// A gateway that reads the store for its region and is not heard for so long is followed by another: two messages
/// are due in that time.
const READER_SILENCE: Duration = Duration::from_millis(1000);
/// A gateway that hears no coordinator of its hall for so long after its start looks for others.
const LONELY_AFTER: Duration = Duration::from_millis(1500);
/// Pause between the halls' lists that it reads then: one that answers is enough, and each list is a call.
const LONELY_PAUSE: Duration = Duration::from_millis(1000);

/// What was read of the store's list, hall by hall.
#[derive(Debug, Default)]
pub(super) struct HallLists {
    unread: BTreeSet<String>,
    own_at: Option<Duration>,
    // When the part of another hall was read last.
    other_at: Option<Duration>,
}

impl HallLists {
    /// Whether there are parts that were not read.
    pub fn lacks_any(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Parts that were not read.
    pub fn unread(&self) -> impl Iterator<Item = &str> {
        self.unread.iter().map(String::as_str)
    }
}

impl Peers {
    /// The store's list is read by halls, and these are all of them.
    pub fn expect_halls(&mut self, halls: BTreeSet<&str>) {
        self.lists.unread = halls.into_iter().map(str::to_string).collect();
    }

    /// The part of the store's list for one hall was read.
    pub fn listed_hall(
        &mut self,
        now: Duration,
        hall: &str,
        gateways: impl Iterator<Item = Listed>,
    ) {
        self.take_listed(now, gateways);
        self.lists.unread.remove(hall);
        match hall == self.own.hall {
            true => self.lists.own_at = Some(now),
            false => self.lists.other_at = Some(now),
        }
        self.listed = !self.lists.lacks_any();
    }

    /// Whether the gateways of the own hall were read from the store's list.
    pub fn knows_own_hall(&self) -> bool {
        self.listed || self.lists.own_at.is_some()
    }

    /// When the gateways of the own hall were read from the store's list.
    pub fn own_hall_read_at(&self) -> Option<Duration> {
        self.lists.own_at
    }

    /// The hall whose part is to be read next, if any: the own one; then, where this gateway coordinates or hears
    /// no coordinator of its hall, those of its region and after them the others, one after the other where it only
    /// looks for somebody.
    pub fn next_hall(&self, now: Duration, topology: &Topology) -> Option<String> {
        let own = &self.own.hall;
        if self.lists.unread.contains(own) {
            return Some(own.clone());
        }
        let settled = self.is_settled(now);
        let is_wanted = (settled && self.coordinates(now)) || self.is_lonely(now);
        let near = |hall: &&str| topology.distance(hall) != Distance::OtherRegion;
        let first = self.lists.unread().find(near);
        let next = first.or_else(|| self.lists.unread().next());
        next.filter(|_| is_wanted).map(str::to_string)
    }

    /// Whether this gateway reads the store for its region: it is among the first `count` of the coordinators of the
    /// region that are heard, or awaited, and reach the store. The largest come first, since they pass everything on,
    /// then by an order that all of them agree on.
    pub fn reads_for_region(&self, now: Duration, topology: &Topology, count: usize) -> bool {
        let is_near = |hall: &str| topology.distance(hall) != Distance::OtherRegion;
        let knows_region = !self.lists.unread().any(is_near);
        if !knows_region || !self.is_settled(now) || !self.coordinates(now) {
            return false;
        }
        let near = self.peers.iter().filter(|(_, peer)| is_near(&peer.hall));
        let readers = near.filter(|(name, peer)| self.may_read(name, peer, now));
        let own = (self.own.cores_milli, weight(WATCH_KEY, &self.own.name));
        let places = readers.map(|(name, peer)| (peer.cores_milli, weight(WATCH_KEY, name)));
        places.filter(|place| *place > own).count() < count
    }

    /// Whether a coordinator of the own hall is heard.
    pub fn is_led(&self, now: Duration) -> bool {
        let mut own = self.peers.values().filter(|p| p.hall == self.own.hall);
        own.any(|peer| peer.coordinates(now))
    }

    /// Whether any gateway is heard.
    pub fn hears_any(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| peer.is_alive(now))
    }

    /// Whether coordinators had the time to be heard since the own hall's list was read.
    pub fn has_waited_for_coordinators(&self, now: Duration) -> bool {
        let since = self.lists.own_at;
        since.is_none_or(|at| now >= at + LONELY_AFTER)
    }

    fn may_read(&self, name: &str, peer: &Peer, now: Duration) -> bool {
        match &peer.heard {
            Some((greeting, at)) => {
                now < *at + READER_SILENCE && greeting.coordinates && greeting.reaches_store
            }
            None => {
                let first = || self.first_of(&peer.hall, now, COORDINATORS);
                now < peer.listed_at + AWAITED_FOR && first().contains(&name)
            }
        }
    }

    fn is_settled(&self, now: Duration) -> bool {
        let since = self.lists.own_at;
        since.is_some_and(|at| now >= at + SETTLE_TIME)
    }

    fn is_lonely(&self, now: Duration) -> bool {
        let since = self.lists.own_at;
        let waited = since.is_some_and(|at| now >= at + LONELY_AFTER);
        let has_read = |at: Duration| now < at + LONELY_PAUSE;
        let pauses = self.lists.other_at.is_some_and(has_read);
        waited && !pauses && !self.coordinates(now) && !self.is_led(now)
    }
}
