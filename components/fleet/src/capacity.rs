//! Endpoints by hall and price class, and what they cost.

use std::collections::BTreeMap;
use std::time::Duration;

/// How endpoints are ordered and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Least endpoints in a hall, both classes together.
    pub min_per_hall: u32,
    /// Most endpoints in a hall, both classes together.
    pub max_per_hall: u32,
    /// Time until an ordered endpoint serves.
    pub boot_time: Duration,
    /// Price of a reclaimable one as a part of an on-demand one's, if there are any.
    pub relative_reclaimable_price: Option<f64>,
    /// Price of an on-demand endpoint a second, by hall.
    pub hall_prices: BTreeMap<String, f64>,
}

/// Endpoints that take work, by price class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// On demand.
    pub firm: u32,
    /// Reclaimable.
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

/// Endpoints by hall.
pub type Fleet = BTreeMap<String, Held>;

/// An order: so many endpoints of one class in one hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingOrder {
    /// Data hall.
    pub hall: String,
    /// Class.
    pub reclaimable: bool,
    /// Count to hold from now on.
    pub count: u32,
}

/// On-demand endpoints of all halls.
pub(crate) fn total_firm(fleet: &Fleet) -> u32 {
    fleet.values().map(|h| h.firm).sum()
}

/// Endpoints of all halls.
pub(crate) fn total_endpoints(fleet: &Fleet) -> u32 {
    fleet.values().map(|held| held.total()).sum()
}

/// Reclaimable endpoints by hall.
pub(crate) fn reclaimable_by_hall(fleet: &Fleet) -> Vec<u32> {
    fleet.values().map(|h| h.reclaimable).collect()
}

/// Adds on-demand endpoints until there are `firm` and each hall holds its least.
pub(crate) fn add_firm(spec: &ScalingSpec, wanted: &mut Fleet, firm: u32) {
    for held in wanted.values_mut() {
        held.firm += spec.min_per_hall.saturating_sub(held.total());
    }
    while total_firm(wanted) < firm {
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

/// Gives on-demand endpoints back, the dearest first, until there are `firm`.
pub(crate) fn remove_firm(spec: &ScalingSpec, wanted: &mut Fleet, firm: u32) {
    while total_firm(wanted) > firm {
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
