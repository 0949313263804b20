//! How many endpoints of a service each zone holds, on demand and reclaimable.
//!
//! Enough on-demand endpoints to carry the load when every reclaimable one is gone, in the cheapest
//! zones; reclaimable ones beside them, spread over the zones, so that the load leaves room for its
//! bursts and a reclaim of one zone takes a small part.

use std::collections::BTreeMap;
use std::time::Duration;

/// Load an on-demand endpoint carries when no reclaimable one is left, in parts of itself.
const FIRM_UTILIZATION: f64 = 0.9;
/// Load of an endpoint when all that are wanted serve, in parts of itself.
const WANTED_UTILIZATION: f64 = 0.4;
/// Above this load of those that serve, on-demand endpoints are ordered in place of missing ones.
const SCARCE_UTILIZATION: f64 = 0.7;
/// How long the load must be known before anything is given back.
const LEARNING: Duration = Duration::from_secs(3);
/// How long a higher wish is kept after the load has fallen.
const KEEP: Duration = Duration::from_secs(10);
/// Pause after a refused order.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);
/// Time past its boot after which an order without effect is repeated.
const REPEAT_PAUSE: Duration = Duration::from_secs(2);

/// How endpoints are ordered and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Least endpoints in a zone, both classes together.
    pub least: u32,
    /// Most endpoints in a zone, both classes together.
    pub most: u32,
    /// Time until an ordered endpoint serves.
    pub boot: Duration,
    /// Whether reclaimable ones are offered.
    pub reclaimable: bool,
    /// Price of an on-demand endpoint a second, by zone.
    pub zone_prices: BTreeMap<String, f64>,
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
    fn of(&mut self, reclaimable: bool) -> &mut u32 {
        match reclaimable {
            true => &mut self.reclaimable,
            false => &mut self.firm,
        }
    }

    fn total(self) -> u32 {
        self.firm + self.reclaimable
    }
}

/// An order: so many endpoints of one class in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingOrder {
    /// Zone.
    pub zone: String,
    /// Class.
    pub reclaimable: bool,
    /// Count to hold from now on.
    pub count: u32,
}

/// The planner of one service.
#[derive(Debug, Default)]
pub struct Scaler {
    load_since: Option<Duration>,
    // Greatest recent wish for firm and for all endpoints, and when it was last met.
    firm: Peak,
    total: Peak,
    orders: BTreeMap<(String, bool), (u32, Duration)>,
    refused_until: BTreeMap<(String, bool), Duration>,
}

#[derive(Debug, Default)]
struct Peak {
    value: u32,
    at: Duration,
}

impl Peak {
    fn take(&mut self, now: Duration, value: u32) -> u32 {
        if value >= self.value {
            self.value = value;
            self.at = now;
        } else if now >= self.at + KEEP {
            self.value -= 1;
            self.at = now;
        }
        self.value
    }
}

impl Scaler {
    /// The orders to give now. `load` is in endpoints that would be busy all the time.
    pub fn plan(
        &mut self,
        now: Duration,
        offer: &Offer,
        held: &BTreeMap<String, Held>,
        load: f64,
    ) -> Vec<ScalingOrder> {
        if load > 0.0 {
            self.load_since.get_or_insert(now);
        }
        let learnt = self.load_since.is_some_and(|since| now >= since + LEARNING);
        let wanted = self.wanted(now, offer, held, load);
        let replaced = offer.zone_prices.keys().all(|zone| {
            let have = held.get(zone).copied().unwrap_or_default();
            have.reclaimable >= wanted[zone].reclaimable
        });
        let mut orders = Vec::new();
        for (zone, want) in &wanted {
            let have = held.get(zone).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (mut want, mut have) = (*want, have);
                let (want, have) = (*want.of(reclaimable), *have.of(reclaimable));
                let may_lower = learnt && (reclaimable || replaced);
                if want > have || (want < have && may_lower) {
                    orders.extend(self.order(now, offer, zone, reclaimable, want));
                }
            }
        }
        orders
    }

    /// An order was refused: none are to be had there now.
    pub fn refused(&mut self, now: Duration, order: &ScalingOrder) {
        let key = (order.zone.clone(), order.reclaimable);
        self.orders.remove(&key);
        self.refused_until.insert(key, now + REFUSED_PAUSE);
    }

    /// An order got no answer; it is given again.
    pub fn unanswered(&mut self, order: &ScalingOrder) {
        self.orders.remove(&(order.zone.clone(), order.reclaimable));
    }

    /// Forgets the orders given: another gateway gave some since.
    pub fn forget_orders(&mut self) {
        self.orders.clear();
    }

    fn order(
        &mut self,
        now: Duration,
        offer: &Offer,
        zone: &str,
        reclaimable: bool,
        count: u32,
    ) -> Option<ScalingOrder> {
        let key = (zone.to_string(), reclaimable);
        if self.refused_until.get(&key).is_some_and(|t| now < *t) {
            return None;
        }
        let waits = offer.boot + REPEAT_PAUSE;
        let given = self.orders.get(&key);
        if given.is_some_and(|(given, at)| *given == count && now < *at + waits) {
            return None;
        }
        self.orders.insert(key, (count, now));
        Some(ScalingOrder {
            zone: zone.to_string(),
            reclaimable,
            count,
        })
    }

    fn wanted(
        &mut self,
        now: Duration,
        offer: &Offer,
        held: &BTreeMap<String, Held>,
        load: f64,
    ) -> BTreeMap<String, Held> {
        let zones = by_price(offer);
        let reclaimable_held: u32 = held.values().map(|h| h.reclaimable).sum();
        let serving: u32 = held.values().map(|h| h.total()).sum();
        let mut firm = ceil(load / FIRM_UTILIZATION).max(1);
        if f64::from(serving) * SCARCE_UTILIZATION < load || !offer.reclaimable {
            let needed = ceil(load / SCARCE_UTILIZATION);
            firm = firm.max(needed.saturating_sub(reclaimable_held));
        }
        let firm = self.firm.take(now, firm);
        let total = self.total.take(now, ceil(load / WANTED_UTILIZATION));
        let mut wanted: BTreeMap<String, Held> =
            zones.iter().map(|z| (z.clone(), Held::default())).collect();
        spread(&mut wanted, &zones, offer.most, firm, false);
        let beside = total.saturating_sub(firm);
        if offer.reclaimable {
            fill_least(&mut wanted, &zones, offer.least, true);
            let filled: u32 = wanted.values().map(|h| h.reclaimable).sum();
            let more = beside.saturating_sub(filled);
            spread(&mut wanted, &zones, offer.most, more, true);
        } else {
            fill_least(&mut wanted, &zones, offer.least, false);
            let filled: u32 = wanted.values().map(|h| h.firm).sum();
            let more = (firm + beside).saturating_sub(filled);
            spread(&mut wanted, &zones, offer.most, more, false);
        }
        wanted
    }
}

fn by_price(offer: &Offer) -> Vec<String> {
    let mut zones: Vec<(&String, &f64)> = offer.zone_prices.iter().collect();
    zones.sort_by(|a, b| a.1.total_cmp(b.1));
    zones.into_iter().map(|(zone, _)| zone.clone()).collect()
}

// One at a time to the zone that holds the fewest, the cheapest first.
fn spread(
    wanted: &mut BTreeMap<String, Held>,
    zones: &[String],
    most: u32,
    count: u32,
    reclaimable: bool,
) {
    for _ in 0..count {
        let free = zones.iter().filter(|z| wanted[*z].total() < most);
        let Some(zone) = free.min_by_key(|z| wanted[*z].total()).cloned() else {
            return;
        };
        if let Some(held) = wanted.get_mut(&zone) {
            *held.of(reclaimable) += 1;
        }
    }
}

fn fill_least(
    wanted: &mut BTreeMap<String, Held>,
    zones: &[String],
    least: u32,
    reclaimable: bool,
) {
    for zone in zones {
        if let Some(held) = wanted.get_mut(zone) {
            let lacking = least.saturating_sub(held.total());
            *held.of(reclaimable) += lacking;
        }
    }
}

fn ceil(value: f64) -> u32 {
    value.ceil().max(0.0) as u32
}
