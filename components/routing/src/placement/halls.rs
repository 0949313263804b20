//! What the board knows of halls, regions and the links between these.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::placement::balancer::Balancer;
use crate::placement::departure::link_bytes;
use crate::placement::network_cost::NetworkCosts;
use crate::placement::Work;

impl Balancer {
    /// Ways to other halls.
    pub fn network_costs(&self) -> &NetworkCosts {
        &self.network_costs
    }

    /// Ways to other halls, to take what was measured.
    pub fn network_costs_mut(&mut self) -> &mut NetworkCosts {
        &mut self.network_costs
    }

    /// Sets this gateway's part of the link to each other region, in bytes a second; a region that is not named is
    /// not bounded.
    pub fn set_link_parts(&mut self, now: Duration, parts: &BTreeMap<String, f64>) {
        self.links.set_parts(now, parts);
    }

    /// Time until the link has room for the request that was chosen for last and for which there was none; `None` if
    /// it was not the link that held it back.
    pub fn link_wait(&mut self, now: Duration, work: &Work) -> Option<Duration> {
        self.links.wait(now, link_bytes(work))
    }

    /// Place of a hall on the board.
    pub(super) fn place_of_hall(&mut self, hall: &str) -> usize {
        if let Some(place) = self.halls.iter().position(|known| known == hall) {
            return place;
        }
        self.halls.push(hall.to_string());
        self.halls.len() - 1
    }

    /// What a request from a region must gain in each hall, by the hall's place.
    pub(super) fn hall_costs(&self, home_region: usize, bytes: u32) -> Vec<f64> {
        let halls = self.halls.iter();
        halls
            .map(|hall| {
                self.network_costs
                    .cost_from_region_ms(home_region, hall, bytes)
            })
            .collect()
    }
}
