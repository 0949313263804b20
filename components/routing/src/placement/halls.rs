//! Halls, regions and links of the balancer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::placement::balancer::Balancer;
use crate::placement::network_cost::NetworkCosts;
use crate::placement::region_link::link_bytes;
use crate::placement::Work;

impl Balancer {
    /// Network costs to other halls.
    pub fn network_costs(&self) -> &NetworkCosts {
        &self.network_costs
    }

    /// Mutable access to the network costs, to record measurements.
    pub fn network_costs_mut(&mut self) -> &mut NetworkCosts {
        &mut self.network_costs
    }

    /// Sets this gateway's share of the link to each other region, in bytes per second. Links to
    /// regions that are not in the map are not limited.
    pub fn set_link_rates(&mut self, now: Duration, rates: &BTreeMap<String, f64>) {
        self.region_links.set_rates(now, rates);
    }

    /// Returns the time until the link has room for the request of the last choice, if no endpoint
    /// was chosen because of the link; `None` if the link was not the reason.
    pub fn link_wait(&mut self, now: Duration, work: &Work) -> Option<Duration> {
        self.region_links.wait(now, link_bytes(work))
    }

    /// Returns the index of a hall, which is added if it is new.
    pub(super) fn hall_index(&mut self, hall: &str) -> usize {
        if let Some(index) = self.halls.iter().position(|known| known == hall) {
            return index;
        }
        self.halls.push(hall.to_string());
        self.halls.len() - 1
    }

    /// Returns the network cost of a request from a region to each hall, by hall index.
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
