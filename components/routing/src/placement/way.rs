//! What leaving a data hall or a region costs a request.
//!
//! The time to each hall and back is learnt from what messages between gateways show. Until something was
//! measured, it is a first guess by distance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use topology::{Distance, Topology};

/// Place of the own region among all.
pub(crate) const OWN_REGION: usize = 0;
/// Time to another hall of the region and back until it was measured, in milliseconds: several times the 0.4 to
/// 1 ms between halls of one site, so that a request stays in its hall where nothing speaks against it.
const FIRST_OTHER_HALL_MS: f64 = 2.0;
/// Time to another region and back until it was measured, in milliseconds: that over some 3,000 km of fibre.
const FIRST_OTHER_REGION_MS: f64 = 60.0;
/// Newest measurements of a hall that are kept. Their median stands for the way: four of nine may be far off, as when
/// a processor was late, without any change, and five in a row change it.
const MEASUREMENTS: usize = 9;
/// Bytes that a connection carries before it waits for the first acknowledgement: ten segments, as all current
/// systems begin (RFC 6928); what is under way doubles with each time there and back.
const FIRST_WINDOW_BYTES: f64 = 14_600.0;
/// A request leaves its region if it gains this many times the way. The wait at home is a guess as well, and one that
/// leaves takes the other region's callers' room; a trial with 1.5 times 60 ms (docs/design/regions.md) was measured.
const WORTH_LEAVING: f64 = 1.5;

/// Ways from the own hall to all others.
#[derive(Clone, Debug)]
pub struct Ways {
    topology: Topology,
    measured: BTreeMap<String, VecDeque<f64>>,
    // Bytes that the link between two regions carries in a millisecond; `None` where that is not known.
    link_bytes_ms: Option<f64>,
}

impl Ways {
    /// Ways by distance, nothing measured yet.
    pub fn new(topology: Topology) -> Self {
        Ways {
            topology,
            measured: BTreeMap::new(),
            link_bytes_ms: None,
        }
    }

    /// Takes what the link between two regions carries each way, in kilobits a second; 0 where that is not known.
    pub fn set_link(&mut self, kbit: u64) {
        self.link_bytes_ms = (kbit > 0).then_some(kbit as f64 / 8.0);
    }

    /// The halls.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// A message went to a hall and back in this time.
    pub fn measured(&mut self, hall: &str, round_trip: Duration) {
        let times = self.measured.entry(hall.to_string()).or_default();
        times.push_back(round_trip.as_secs_f64() * 1000.0);
        if times.len() > MEASUREMENTS {
            times.pop_front();
        }
    }

    /// Time to a hall and back, in milliseconds.
    pub fn round_trip_ms(&self, hall: &str) -> f64 {
        let distance = self.topology.distance(hall);
        if distance == Distance::SameHall {
            return 0.0;
        }
        // What messages within the own hall take is time of processors, which requests spend as well.
        let own = self.median_ms(self.topology.hall()).unwrap_or(0.0);
        match (self.median_ms(hall), distance) {
            (Some(measured), _) => (measured - own).max(0.0),
            (None, Distance::OtherRegion) => FIRST_OTHER_REGION_MS,
            (None, _) => FIRST_OTHER_HALL_MS,
        }
    }

    /// What a request of so many bytes must gain in a hall to be sent there, in milliseconds.
    pub fn cost_ms(&self, hall: &str, bytes: u32) -> f64 {
        let once = self.round_trip_ms(hall);
        match self.topology.distance(hall) {
            Distance::OtherRegion => self.across_ms(once, bytes),
            Distance::SameHall | Distance::SameRegion => once,
        }
    }

    /// The same for a request of a gateway in the region at this place, which nobody there decided. Ways between two
    /// other regions are not measured here.
    pub fn cost_from_ms(&self, home: usize, hall: &str, bytes: u32) -> f64 {
        let place = self.topology.region_index_of(hall);
        match home {
            OWN_REGION => self.cost_ms(hall, bytes),
            home if home == place => FIRST_OTHER_HALL_MS,
            home if place == OWN_REGION => self.across_ms(self.region_ms(home), bytes),
            _ => self.across_ms(FIRST_OTHER_REGION_MS, bytes),
        }
    }

    /// Part of an answer's time that is the way to another region and back, in milliseconds: it says nothing of the
    /// endpoint there.
    pub fn beyond_region_ms(&self, hall: &str) -> f64 {
        match self.topology.distance(hall) {
            Distance::OtherRegion => self.round_trip_ms(hall),
            Distance::SameHall | Distance::SameRegion => 0.0,
        }
    }
}

impl Ways {
    fn across_ms(&self, once: f64, bytes: u32) -> f64 {
        let bytes = f64::from(bytes);
        let carried = self.link_bytes_ms.map_or(0.0, |rate| bytes / rate);
        (once * round_trips(bytes) + carried) * WORTH_LEAVING
    }

    fn region_ms(&self, place: usize) -> f64 {
        let halls = self.topology.halls_of(self.topology.region_by_index(place));
        let times = halls.into_iter().map(|hall| self.round_trip_ms(hall));
        times.fold(f64::INFINITY, f64::min)
    }

    fn median_ms(&self, hall: &str) -> Option<f64> {
        let times = self.measured.get(hall)?;
        let mut sorted: Vec<f64> = times.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }
}

// Times there and back until the last byte of a request has arrived and the answer begins to come.
fn round_trips(bytes: f64) -> f64 {
    (bytes / FIRST_WINDOW_BYTES + 1.0).log2().ceil().max(1.0)
}
