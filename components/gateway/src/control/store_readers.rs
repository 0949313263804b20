//! Determines whether the store is in this gateway's region, and which gateways read it for the others.

use std::time::Duration;

use routing::weight;

use crate::control::follow::STORE_READERS;
use crate::control::ControlState;

/// A store that answers a call within this time is in this gateway's region; a round trip between regions takes
/// longer. A store that is near but slow is treated as far, so only a few gateways read it.
const MAX_NEAR_STORE_TIME: Duration = Duration::from_millis(30);
/// Key of the hash that staggers the gateways.
const JITTER_KEY: u64 = 0x7370_7264;
/// Count of consecutive calls until another gateway has read a topic after its hall's list: the lists of the
/// region's other halls in parallel, the topic, and one retry of a page.
const CALLS_BEFORE_READ: u32 = 3;

impl ControlState {
    /// Whether this gateway keeps long polls open at the store, for all gateways or for those of its region.
    pub fn is_store_reader(&self, now: Duration) -> bool {
        match self.topology.has_several_halls() {
            true => self
                .peers
                .is_region_reader(now, &self.topology, STORE_READERS),
            false => self.peers.is_among_first_coordinators(now, STORE_READERS),
        }
    }

    /// Records how long a store call, or a sequence of calls, took.
    pub fn record_store_call(&mut self, time: Duration) {
        let shortest = self
            .min_store_call_time
            .map_or(time, |known| known.min(time));
        self.min_store_call_time = Some(shortest);
    }

    /// Earliest time at which other gateways of the region can have begun to read the store for this one. With
    /// a slow store this takes longer than a change may take; a read by a gateway without any data would slow
    /// it down further.
    pub fn readers_start(&self, now: Duration) -> Duration {
        match self.peers.own_hall_read_at() {
            Some(at) => at + self.min_store_call_time.unwrap_or_default() * CALLS_BEFORE_READ,
            None if self.list_refused => Duration::ZERO,
            None => now,
        }
    }

    /// Whether the store is, or may be, in another region.
    pub fn is_far_from_store(&self) -> bool {
        let is_near = self
            .min_store_call_time
            .is_some_and(|time| time < MAX_NEAR_STORE_TIME);
        self.topology.has_several_regions() && !is_near
    }
}

/// Fraction from 0 to 1 that staggers a gateway's actions which all gateways would otherwise take at the same
/// time.
pub(crate) fn jitter_of(gateway: &str) -> f64 {
    weight(JITTER_KEY, gateway) as f64 / u64::MAX as f64
}
