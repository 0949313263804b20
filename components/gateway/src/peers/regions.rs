//! Gateways of a deployment with several data halls: which halls' parts of the store's list this gateway reads,
//! and which gateways read the store for a region.
//!
//! Each gateway reads the part of its own hall. Only coordinators, and gateways that hear no coordinator of
//! their hall, read the others. So the cost of a start of all gateways grows with the size of a hall, not of
//! the fleet, both for a gateway and for the store; and if the store is in another region, the narrow link to
//! it carries little.

use std::collections::BTreeSet;
use std::time::Duration;

use routing::weight;
use topology::{Distance, Topology};

use crate::peers::halls::COORDINATORS_PER_HALL;
use crate::peers::peer::Peer;
use crate::peers::{ListedGateway, Peers, READER_RANK_KEY};

/// Time after reading its hall's part in which a gateway waits for messages of others, before it regards itself
/// as a coordinator or reader: when all gateways start at once, each finds few others in the list. Three round
/// trips of 60 ms and the next message, which is due at once.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time for which a listed gateway that was never heard is assumed to read the store: its answer to the first
/// message is due within 0.5 s.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a message after which another gateway replaces the reader of the region; two messages are due
/// in that time.
const READER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after the start without a live coordinator of its hall after which a gateway looks for others.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between the halls' lists that it reads while looking: one answering gateway is enough, and each list
/// takes a store call.
const SEARCH_PAUSE: Duration = Duration::from_millis(1000);

/// Progress of reading the store's list by halls.
#[derive(Debug, Default)]
pub(super) struct HallLists {
    unread: BTreeSet<String>,
    own_read_at: Option<Duration>,
    // When the part of another hall was last read.
    other_read_at: Option<Duration>,
}

impl HallLists {
    /// Whether there are unread parts.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Halls whose parts are unread.
    pub fn unread(&self) -> impl Iterator<Item = &str> {
        self.unread.iter().map(String::as_str)
    }
}

impl Peers {
    /// Sets the halls by which the store's list is read.
    pub fn set_halls(&mut self, halls: BTreeSet<&str>) {
        self.lists.unread = halls.into_iter().map(str::to_string).collect();
    }

    /// Applies the part of the store's list for one hall.
    pub fn apply_hall_list(
        &mut self,
        now: Duration,
        hall: &str,
        gateways: impl Iterator<Item = ListedGateway>,
    ) {
        self.add_listed(now, gateways);
        self.lists.unread.remove(hall);
        match hall == self.own.hall {
            true => self.lists.own_read_at = Some(now),
            false => self.lists.other_read_at = Some(now),
        }
        self.listed = !self.lists.has_unread();
    }

    /// Whether the gateways of this gateway's hall were read from the store's list.
    pub fn has_own_hall_list(&self) -> bool {
        self.listed || self.lists.own_read_at.is_some()
    }

    /// When the gateways of this gateway's hall were read from the store's list.
    pub fn own_hall_read_at(&self) -> Option<Duration> {
        self.lists.own_read_at
    }

    /// The hall whose part must be read next, if any: first this gateway's own. If this gateway is a
    /// coordinator or hears no coordinator of its hall, then those of its region, then the others; with a pause
    /// between them in the latter case.
    pub fn next_hall_to_list(&self, now: Duration, topology: &Topology) -> Option<String> {
        let own = &self.own.hall;
        if self.lists.unread.contains(own) {
            return Some(own.clone());
        }
        let settled = self.is_settled(now);
        let is_wanted =
            (settled && self.is_coordinator(now)) || self.should_search_other_halls(now);
        let near = |hall: &&str| topology.distance(hall) != Distance::OtherRegion;
        let first = self.lists.unread().find(near);
        let next = first.or_else(|| self.lists.unread().next());
        next.filter(|_| is_wanted).map(str::to_string)
    }

    /// Whether this gateway reads the store for its region: it is among the first `count` of the region's
    /// coordinators that reach the store and are alive or may yet report. Those with the most CPU capacity come
    /// first, as they also pass the rows on, then by a hash order that all of them agree on.
    pub fn is_region_reader(&self, now: Duration, topology: &Topology, count: usize) -> bool {
        let is_near = |hall: &str| topology.distance(hall) != Distance::OtherRegion;
        let knows_region = !self.lists.unread().any(is_near);
        if !knows_region || !self.is_settled(now) || !self.is_coordinator(now) {
            return false;
        }
        let near = self.peers.iter().filter(|(_, peer)| is_near(&peer.hall));
        let readers = near.filter(|(name, peer)| self.is_potential_reader(name, peer, now));
        let own = (
            self.own.cores_milli,
            weight(READER_RANK_KEY, &self.own.name),
        );
        let rank_keys =
            readers.map(|(name, peer)| (peer.cores_milli, weight(READER_RANK_KEY, name)));
        rank_keys.filter(|rank_key| *rank_key > own).count() < count
    }

    /// Whether another coordinator of this gateway's hall is alive.
    pub fn has_live_own_coordinator(&self, now: Duration) -> bool {
        let mut own = self.peers.values().filter(|p| p.hall == self.own.hall);
        own.any(|peer| peer.is_coordinator(now))
    }

    /// Whether any other gateway is alive.
    pub fn has_live_peer(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| peer.is_alive(now))
    }

    /// Whether coordinators have had time to send a message since the list of this gateway's hall was read.
    pub fn has_waited_for_coordinators(&self, now: Duration) -> bool {
        let since = self.lists.own_read_at;
        since.is_none_or(|at| now >= at + COORDINATOR_TIMEOUT)
    }

    fn is_potential_reader(&self, name: &str, peer: &Peer, now: Duration) -> bool {
        match &peer.last_status {
            Some((status, at)) => {
                now < *at + READER_TIMEOUT && status.is_coordinator && status.reaches_store
            }
            None => {
                let first = || self.first_in_hall(&peer.hall, now, COORDINATORS_PER_HALL);
                now < peer.listed_at + FIRST_MESSAGE_TIMEOUT && first().contains(&name)
            }
        }
    }

    fn is_settled(&self, now: Duration) -> bool {
        let since = self.lists.own_read_at;
        since.is_some_and(|at| now >= at + SETTLE_TIME)
    }

    fn should_search_other_halls(&self, now: Duration) -> bool {
        let since = self.lists.own_read_at;
        let waited = since.is_some_and(|at| now >= at + COORDINATOR_TIMEOUT);
        let has_read = |at: Duration| now < at + SEARCH_PAUSE;
        let is_pausing = self.lists.other_read_at.is_some_and(has_read);
        waited && !is_pausing && !self.is_coordinator(now) && !self.has_live_own_coordinator(now)
    }
}
