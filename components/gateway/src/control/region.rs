//! Whether the store lies in this gateway's region, and who reads it for the others.

use std::time::Duration;

use routing::weight;

use crate::control::follow::WATCHERS;
use crate::control::Known;

/// A store that answers a call within this time stands in the own region. The way between regions takes longer there
/// and back, and a store that is near and slow is asked as if it were far: by few.
const NEAR_STORE: Duration = Duration::from_millis(30);
/// Key of the points at which gateways do what they would else do all at once.
const SPREAD_KEY: u64 = 0x7370_7264;
/// Calls one after the other until another gateway has read a topic after its hall's list: the lists of the region's other
/// halls at the same time, the topic itself, and as much for a page that is asked for again.
const CALLS_OF_A_START: u32 = 3;

impl Known {
    /// Whether this gateway holds calls at the store, for all others or for those of its region.
    pub fn watches_store(&self, now: Duration) -> bool {
        match self.topology.has_several_halls() {
            true => self.peers.reads_for_region(now, &self.topology, WATCHERS),
            false => self.peers.is_among_first(now, WATCHERS),
        }
    }

    /// A call of the store, or several, took so long.
    pub fn note_store_call(&mut self, time: Duration) {
        let shortest = self.store_time.map_or(time, |known| known.min(time));
        self.store_time = Some(shortest);
    }

    /// When others of the region can have begun to read the store for this gateway. Where the store is slow that takes
    /// them longer than the time within which a change is due: whoever knows nothing yet would only make it slower.
    pub fn others_begin(&self, now: Duration) -> Duration {
        match self.peers.own_hall_read_at() {
            Some(at) => at + self.store_time.unwrap_or_default() * CALLS_OF_A_START,
            None if self.list_refused => Duration::ZERO,
            None => now,
        }
    }

    /// Whether the store lies behind the link to another region, or may.
    pub fn is_far_from_store(&self) -> bool {
        let is_near = self.store_time.is_some_and(|time| time < NEAR_STORE);
        self.topology.has_several_regions() && !is_near
    }
}

/// Point of a gateway, 0 to 1, where all would do the same at once.
pub(crate) fn spread_of(gateway: &str) -> f64 {
    weight(SPREAD_KEY, gateway) as f64 / u64::MAX as f64
}
