//! Network cost of sending a request to another data hall or region.
//!
//! Round-trip times are measured by the messages between gateways. Until a hall is measured, an
//! initial value by distance is used.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use topology::{Distance, Topology};

/// Index of the own region in the topology.
pub(crate) const OWN_REGION: usize = 0;
/// Round trip to another hall of the region before it is measured, in milliseconds. It is several
/// times the 0.4 to 1 ms between halls of one site, so that a request stays in its hall unless that
/// is worse by more.
const INITIAL_OTHER_HALL_MS: f64 = 2.0;
/// Round trip to another region before it is measured, in milliseconds: that over some 3,000 km of
/// fibre.
const INITIAL_OTHER_REGION_MS: f64 = 60.0;
/// Number of recent measurements kept per hall. Their median is used: four outliers of nine, such
/// as from a delayed thread, do not change it, and five in a row do.
const MAX_MEASUREMENTS: usize = 9;
/// Bytes that a TCP connection sends before it waits for the first acknowledgement: ten segments,
/// the initial window of all current systems (RFC 6928). The window doubles with each round trip.
const INITIAL_WINDOW_BYTES: f64 = 14_600.0;
/// A request leaves its region only if it gains more than the network cost times this factor. The
/// expected wait at home is an estimate too, and the request takes capacity from the other region's
/// callers. Measured in a trial with 1.5 times 60 ms (docs/design/regions.md).
const LEAVING_COST_FACTOR: f64 = 1.5;

/// Network costs from the own hall to all halls.
#[derive(Clone, Debug)]
pub struct NetworkCosts {
    topology: Topology,
    round_trips_ms: BTreeMap<String, VecDeque<f64>>,
    // Bytes per millisecond that the link between two regions carries; `None` if unknown.
    link_bytes_per_ms: Option<f64>,
}

impl NetworkCosts {
    /// Creates network costs by distance, without measurements.
    pub fn new(topology: Topology) -> Self {
        NetworkCosts {
            topology,
            round_trips_ms: BTreeMap::new(),
            link_bytes_per_ms: None,
        }
    }

    /// Sets the rate of the link between two regions in each direction, in kilobits per second; 0
    /// means unknown.
    pub fn set_link_rate(&mut self, kbit: u64) {
        self.link_bytes_per_ms = (kbit > 0).then_some(kbit as f64 / 8.0);
    }

    /// The topology of halls and regions.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Records a measured round trip to a hall.
    pub fn record_round_trip(&mut self, hall: &str, round_trip: Duration) {
        let times = self.round_trips_ms.entry(hall.to_string()).or_default();
        times.push_back(round_trip.as_secs_f64() * 1000.0);
        if times.len() > MAX_MEASUREMENTS {
            times.pop_front();
        }
    }

    /// Returns the round trip to a hall, in milliseconds.
    pub fn round_trip_ms(&self, hall: &str) -> f64 {
        let distance = self.topology.distance(hall);
        if distance == Distance::SameHall {
            return 0.0;
        }
        // The measured time within the own hall is processing time, which requests also spend, so
        // it is subtracted.
        let own_ms = self.median_ms(self.topology.hall()).unwrap_or(0.0);
        match (self.median_ms(hall), distance) {
            (Some(median), _) => (median - own_ms).max(0.0),
            (None, Distance::OtherRegion) => INITIAL_OTHER_REGION_MS,
            (None, _) => INITIAL_OTHER_HALL_MS,
        }
    }

    /// Returns the cost of sending a request of this size to a hall, in milliseconds. It goes there
    /// only if it gains more than this.
    pub fn cost_ms(&self, hall: &str, bytes: u32) -> f64 {
        let round_trip_ms = self.round_trip_ms(hall);
        match self.topology.distance(hall) {
            Distance::OtherRegion => self.link_cost_ms(round_trip_ms, bytes),
            Distance::SameHall | Distance::SameRegion => round_trip_ms,
        }
    }

    /// Returns the same cost for a request from a gateway in the region with index `home`, when no
    /// gateway there decided. Round trips between two other regions are not measured here.
    pub fn cost_from_region_ms(&self, home: usize, hall: &str, bytes: u32) -> f64 {
        let region = self.topology.region_index_of(hall);
        match home {
            OWN_REGION => self.cost_ms(hall, bytes),
            home if home == region => INITIAL_OTHER_HALL_MS,
            home if region == OWN_REGION => {
                self.link_cost_ms(self.shortest_round_trip_ms(home), bytes)
            }
            _ => self.link_cost_ms(INITIAL_OTHER_REGION_MS, bytes),
        }
    }

    /// Returns the round trip to the hall's region if that is another one, else 0, in milliseconds.
    /// This part of an answer's time does not depend on the endpoint.
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

    fn shortest_round_trip_ms(&self, region: usize) -> f64 {
        let halls = self
            .topology
            .halls_of(self.topology.region_by_index(region));
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

// Returns the number of round trips until the last byte of a request has arrived and the answer
// begins.
fn round_trip_count(bytes: f64) -> f64 {
    (bytes / INITIAL_WINDOW_BYTES + 1.0).log2().ceil().max(1.0)
}
