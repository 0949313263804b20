//! Endpoint counts by hall and price class, with limits and prices.

use std::collections::BTreeMap;
use std::time::Duration;

/// Limits, boot time and prices of a service's endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of endpoints in a hall, both price classes together.
    pub min_per_hall: u32,
    /// Maximum number of endpoints in a hall, both price classes together.
    pub max_per_hall: u32,
    /// Time from an order until the endpoint serves.
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint relative to an on-demand one; `None` if reclaimable
    /// endpoints are not offered.
    pub relative_reclaimable_price: Option<f64>,
    /// Price of an on-demand endpoint per second, by hall.
    pub hall_prices: BTreeMap<String, f64>,
}

/// Serving endpoints by price class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// On-demand endpoints.
    pub firm: u32,
    /// Reclaimable endpoints.
    pub reclaimable: u32,
}

impl Held {
    pub(crate) fn count_mut(&mut self, reclaimable: bool) -> &mut u32 {
        match reclaimable {
            true => &mut self.reclaimable,
            false => &mut self.firm,
        }
    }

    pub(crate) fn count(self, reclaimable: bool) -> u32 {
        match reclaimable {
            true => self.reclaimable,
            false => self.firm,
        }
    }

    pub(crate) fn total(self) -> u32 {
        self.firm + self.reclaimable
    }
}

/// Endpoint counts by hall.
pub type Fleet = BTreeMap<String, Held>;

/// An order that sets the number of endpoints of one price class in one hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingOrder {
    /// Data hall.
    pub hall: String,
    /// Whether the order is for reclaimable endpoints.
    pub reclaimable: bool,
    /// Number of endpoints to hold.
    pub count: u32,
}

/// Number of on-demand endpoints in all halls.
pub(crate) fn total_on_demand(fleet: &Fleet) -> u32 {
    fleet.values().map(|h| h.firm).sum()
}

/// Number of endpoints in all halls.
pub(crate) fn total_endpoints(fleet: &Fleet) -> u32 {
    fleet.values().map(|held| held.total()).sum()
}

/// Number of reclaimable endpoints in each hall.
pub(crate) fn reclaimable_by_hall(fleet: &Fleet) -> Vec<u32> {
    fleet.values().map(|h| h.reclaimable).collect()
}

/// Adds on-demand endpoints until each hall has its minimum and there are `on_demand` in total.
/// Cheap halls are filled first.
pub(crate) fn add_on_demand(spec: &ScalingSpec, wanted: &mut Fleet, on_demand: u32) {
    for held in wanted.values_mut() {
        held.firm += spec.min_per_hall.saturating_sub(held.total());
    }
    while total_on_demand(wanted) < on_demand {
        let with_room = wanted
            .iter()
            .filter(|(_, held)| held.total() < spec.max_per_hall);
        let Some((hall, _)) =
            with_room.min_by_key(|(hall, held)| (price_micros(spec, hall), held.firm))
        else {
            return;
        };
        let hall = hall.clone();
        wanted.entry(hall).or_default().firm += 1;
    }
}

/// Removes on-demand endpoints, the most expensive first, until `on_demand` are left. No hall goes
/// below its minimum.
pub(crate) fn remove_on_demand(spec: &ScalingSpec, wanted: &mut Fleet, on_demand: u32) {
    while total_on_demand(wanted) > on_demand {
        let surplus = wanted
            .iter()
            .filter(|(_, held)| held.firm > 0 && held.total() > spec.min_per_hall);
        let Some((hall, _)) = surplus.max_by_key(|(hall, _)| price_micros(spec, hall)) else {
            return;
        };
        let hall = hall.clone();
        wanted.entry(hall).or_default().firm -= 1;
    }
}

fn price_micros(spec: &ScalingSpec, hall: &str) -> u64 {
    const MICROS_PER_UNIT: f64 = 1e6;
    let price = spec.hall_prices.get(hall).copied().unwrap_or_default();
    (price * MICROS_PER_UNIT) as u64
}
