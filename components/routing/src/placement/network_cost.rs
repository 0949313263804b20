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
const INITIAL_OTHER_HALL_MS: f64 = 2.0;
/// Time to another region and back until it was measured, in milliseconds: that over some 3,000 km of fibre.
const INITIAL_OTHER_REGION_MS: f64 = 60.0;
/// Newest measurements of a hall that are kept. Their median stands for the way: four of nine may be far off, as when
/// a processor was late, without any change, and five in a row change it.
const MAX_MEASUREMENTS: usize = 9;
/// Bytes that a connection carries before it waits for the first acknowledgement: ten segments, as all current
/// systems begin (RFC 6928); what is under way doubles with each time there and back.
const INITIAL_WINDOW_BYTES: f64 = 14_600.0;
/// A request leaves its region if it gains this many times the way. The wait at home is a guess as well, and one that
/// leaves takes the other region's callers' room; a trial with 1.5 times 60 ms (docs/design/regions.md) was measured.
const LEAVING_COST_FACTOR: f64 = 1.5;

/// Ways from the own hall to all others.
#[derive(Clone, Debug)]
pub struct NetworkCosts {
    topology: Topology,
    round_trips_ms: BTreeMap<String, VecDeque<f64>>,
    // Bytes that the link between two regions carries in a millisecond; `None` where that is not known.
    link_bytes_per_ms: Option<f64>,
}

impl NetworkCosts {
    /// Ways by distance, nothing measured yet.
    pub fn new(topology: Topology) -> Self {
        NetworkCosts {
            topology,
            round_trips_ms: BTreeMap::new(),
            link_bytes_per_ms: None,
        }
    }

    /// Takes what the link between two regions carries each way, in kilobits a second; 0 where that is not known.
    pub fn set_link_rate(&mut self, kbit: u64) {
        self.link_bytes_per_ms = (kbit > 0).then_some(kbit as f64 / 8.0);
    }

    /// The halls.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// A message went to a hall and back in this time.
    pub fn record_round_trip(&mut self, hall: &str, round_trip: Duration) {
        let times = self.round_trips_ms.entry(hall.to_string()).or_default();
        times.push_back(round_trip.as_secs_f64() * 1000.0);
        if times.len() > MAX_MEASUREMENTS {
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
            (Some(median), _) => (median - own).max(0.0),
            (None, Distance::OtherRegion) => INITIAL_OTHER_REGION_MS,
            (None, _) => INITIAL_OTHER_HALL_MS,
        }
    }

    /// What a request of so many bytes must gain in a hall to be sent there, in milliseconds.
    pub fn cost_ms(&self, hall: &str, bytes: u32) -> f64 {
        let round_trip_ms = self.round_trip_ms(hall);
        match self.topology.distance(hall) {
            Distance::OtherRegion => self.link_cost_ms(round_trip_ms, bytes),
            Distance::SameHall | Distance::SameRegion => round_trip_ms,
        }
    }

    /// The same for a request of a gateway in the region at this place, which nobody there decided. Ways between two
    /// other regions are not measured here.
    pub fn cost_from_region_ms(&self, home: usize, hall: &str, bytes: u32) -> f64 {
        let place = self.topology.place_of(hall);
        match home {
            OWN_REGION => self.cost_ms(hall, bytes),
            home if home == place => INITIAL_OTHER_HALL_MS,
            home if place == OWN_REGION => {
                self.link_cost_ms(self.shortest_round_trip_ms(home), bytes)
            }
            _ => self.link_cost_ms(INITIAL_OTHER_REGION_MS, bytes),
        }
    }

    /// Part of an answer's time that is the way to another region and back, in milliseconds: it says nothing of the
    /// endpoint there.
    pub fn region_round_trip_ms(&self, hall: &str) -> f64 {
        match self.topology.distance(hall) {
            Distance::OtherRegion => self.round_trip_ms(hall),
            Distance::SameHall | Distance::SameRegion => 0.0,
        }
    }
}

impl NetworkCosts {
    fn link_cost_ms(&self, round_trip_ms: f64, bytes: u32) -> f64 {
        let bytes = f64::from(bytes);
        let transfer_ms = self.link_bytes_per_ms.map_or(0.0, |rate| bytes / rate);
        (round_trip_ms * round_trip_count(bytes) + transfer_ms) * LEAVING_COST_FACTOR
    }

    fn shortest_round_trip_ms(&self, place: usize) -> f64 {
        let halls = self.topology.halls_of(self.topology.region_at(place));
        let times = halls.into_iter().map(|hall| self.round_trip_ms(hall));
        times.fold(f64::INFINITY, f64::min)
    }

    fn median_ms(&self, hall: &str) -> Option<f64> {
        let times = self.round_trips_ms.get(hall)?;
        let mut sorted: Vec<f64> = times.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }
}

// Times there and back until the last byte of a request has arrived and the answer begins to come.
fn round_trip_count(bytes: f64) -> f64 {
    (bytes / INITIAL_WINDOW_BYTES + 1.0).log2().ceil().max(1.0)
}
