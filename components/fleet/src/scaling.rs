//! How many endpoints of a service each zone holds, on demand and reclaimable.
//!
//! Reclaimable endpoints are cheap and may vanish a zone at a time, with none to be had for a while.
//! So a floor of on-demand ones carries most of the load alone, reclaimable ones stand beside them,
//! spread over the zones, and on-demand ones take the place of those that are missing once the load
//! of the rest is high. Between the bounds for more and for fewer nothing is ordered.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Load of the on-demand floor when no reclaimable one is left, in parts of itself.
const FLOOR_UTILIZATION: f64 = 0.9;
/// Endpoints wanted when reclaimable ones are to be had.
const ROOMY: Staffing = Staffing {
    spare: 4.4,
    utilization: 0.5,
};
/// With fewer, on-demand endpoints are added.
const SCARCE: Staffing = Staffing {
    spare: 1.1,
    utilization: 0.62,
};
/// With more, on-demand endpoints above the floor are given back.
const AMPLE: Staffing = Staffing {
    spare: 2.2,
    utilization: 0.55,
};
/// Time for which endpoints are watched before the first order: they record themselves one by one.
const WATCHING: Duration = Duration::from_secs(4);
/// On-demand part of the endpoints found at the start that is kept until the load is known.
const FIRM_PART_BEFORE_LOAD: f64 = 0.5;
/// How long the load must be known before anything is given back.
const LEARNING: Duration = Duration::from_secs(4);
/// The load counts as its highest value over this time.
const PEAK_SPAN: Duration = Duration::from_secs(5);
/// Pause after a refused order.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);
/// Time past its boot after which an order without effect is repeated.
const REPEAT_PAUSE: Duration = Duration::from_secs(2);

/// How many endpoints carry a load.
#[derive(Clone, Copy, Debug)]
struct Staffing {
    // Endpoints beside the load, in square roots of it: the fewer endpoints share the load, the more
    // of them stand free for its scatter.
    spare: f64,
    // Most part of each endpoint's time that is used: requests wait at the endpoint they were sent
    // to, so a large fleet does not even the load out as one queue would.
    utilization: f64,
}

impl Staffing {
    fn endpoints(self, load: f64) -> u32 {
        let by_scatter = load + self.spare * load.sqrt();
        ceil(by_scatter.max(load / self.utilization))
    }
}

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

    fn get(self, reclaimable: bool) -> u32 {
        match reclaimable {
            true => self.reclaimable,
            false => self.firm,
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
    watched_since: Option<Duration>,
    // Most on-demand endpoints that were ever held.
    found: u32,
    load_since: Option<Duration>,
    loads: VecDeque<(Duration, f64)>,
    // Orders given: how many, and when.
    orders: BTreeMap<(String, bool), (u32, Duration)>,
    refused_until: BTreeMap<(String, bool), Duration>,
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
        let watched = *self.watched_since.get_or_insert(now);
        let load = self.peak(now, load);
        if now < watched + WATCHING {
            return Vec::new();
        }
        let expected = self.expected(now, offer, held);
        self.found = self.found.max(firm_of(held));
        let may_lower = self.load_since.is_none() || self.has_learnt(now);
        let wanted = match self.load_since {
            None => before_load(offer, &expected, held, self.found),
            Some(_) => self.for_load(now, offer, &expected, held, load),
        };
        let mut orders = Vec::new();
        for (zone, want) in wanted {
            let have = expected.get(&zone).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (want, have) = (want.get(reclaimable), have.get(reclaimable));
                if want > have || (want < have && may_lower) {
                    orders.extend(self.order(now, &zone, reclaimable, want));
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
        let key = (order.zone.clone(), order.reclaimable);
        self.orders.remove(&key);
    }

    /// Forgets the orders given: another gateway gave some since.
    pub fn forget_orders(&mut self) {
        self.orders.clear();
    }

    fn peak(&mut self, now: Duration, load: f64) -> f64 {
        if load > 0.0 {
            self.load_since.get_or_insert(now);
        }
        self.loads.push_back((now, load));
        self.loads.retain(|(at, _)| now < *at + PEAK_SPAN);
        self.loads.iter().map(|(_, load)| *load).fold(0.0, f64::max)
    }

    fn has_learnt(&self, now: Duration) -> bool {
        self.load_since.is_some_and(|since| now >= since + LEARNING)
    }

    // What is held, or will be once the newest orders have had their effect.
    fn expected(
        &self,
        now: Duration,
        offer: &Offer,
        held: &BTreeMap<String, Held>,
    ) -> BTreeMap<String, Held> {
        let mut expected = held.clone();
        for zone in offer.zone_prices.keys() {
            expected.entry(zone.clone()).or_default();
        }
        for ((zone, reclaimable), (count, at)) in &self.orders {
            if now < *at + offer.boot + REPEAT_PAUSE {
                *expected.entry(zone.clone()).or_default().of(*reclaimable) = *count;
            }
        }
        expected
    }

    fn for_load(
        &self,
        now: Duration,
        offer: &Offer,
        expected: &BTreeMap<String, Held>,
        held: &BTreeMap<String, Held>,
        load: f64,
    ) -> BTreeMap<String, Held> {
        let floor = ceil(load / FLOOR_UTILIZATION).max(1);
        let mut wanted = self.firm(offer, expected, load, floor);
        if self.has_learnt(now) {
            lower_firm(offer, &mut wanted, held, AMPLE.endpoints(load), floor);
        }
        if offer.reclaimable {
            add_reclaimable(offer, &mut wanted, floor, ROOMY.endpoints(load));
        }
        wanted
    }

    // On-demand endpoints by zone: those expected, and more where the load asks for them.
    fn firm(
        &self,
        offer: &Offer,
        expected: &BTreeMap<String, Held>,
        load: f64,
        floor: u32,
    ) -> BTreeMap<String, Held> {
        let mut wanted = expected.clone();
        let scarce = SCARCE.endpoints(load);
        while let Some(zone) = lacking(offer, &wanted) {
            wanted.entry(zone).or_default().firm += 1;
        }
        while total_of(&wanted) < scarce || firm_of(&wanted) < floor {
            let Some(zone) = zone_to_add(offer, &wanted) else {
                break;
            };
            wanted.entry(zone).or_default().firm += 1;
        }
        wanted
    }

    fn order(
        &mut self,
        now: Duration,
        zone: &str,
        reclaimable: bool,
        count: u32,
    ) -> Option<ScalingOrder> {
        let key = (zone.to_string(), reclaimable);
        if self.refused_until.get(&key).is_some_and(|t| now < *t) {
            return None;
        }
        self.orders.insert(key, (count, now));
        Some(ScalingOrder {
            zone: zone.to_string(),
            reclaimable,
            count,
        })
    }
}

// As many endpoints as were found, reclaimable ones in place of on-demand ones as soon as they serve.
fn before_load(
    offer: &Offer,
    expected: &BTreeMap<String, Held>,
    held: &BTreeMap<String, Held>,
    found: u32,
) -> BTreeMap<String, Held> {
    let mut wanted = expected.clone();
    if offer.reclaimable && found > 0 {
        let floor = ceil(f64::from(found) * FIRM_PART_BEFORE_LOAD);
        lower_firm(offer, &mut wanted, held, found, floor);
        add_reclaimable(offer, &mut wanted, floor, found);
    }
    wanted
}

// Gives on-demand endpoints back down to a floor while more than `ample` serve.
fn lower_firm(
    offer: &Offer,
    wanted: &mut BTreeMap<String, Held>,
    held: &BTreeMap<String, Held>,
    ample: u32,
    floor: u32,
) {
    // Reclaimable ones that were ordered and do not serve yet replace nothing.
    let mut serving = wanted.clone();
    for (zone, have) in &mut serving {
        let ready = held.get(zone).map_or(0, |h| h.reclaimable);
        have.reclaimable = have.reclaimable.min(ready);
    }
    while total_of(&serving) > ample && firm_of(&serving) > floor {
        let Some(zone) = zone_to_lower(offer, &serving) else {
            return;
        };
        serving.entry(zone.clone()).or_default().firm -= 1;
        wanted.entry(zone).or_default().firm -= 1;
    }
}

fn total_of(held: &BTreeMap<String, Held>) -> u32 {
    held.values().map(|h| h.total()).sum()
}

fn firm_of(held: &BTreeMap<String, Held>) -> u32 {
    held.values().map(|h| h.firm).sum()
}

// A zone that holds fewer than it must.
fn lacking(offer: &Offer, wanted: &BTreeMap<String, Held>) -> Option<String> {
    let mut zones = wanted.iter();
    let zone = zones.find(|(_, held)| held.total() < offer.least)?;
    Some(zone.0.clone())
}

// The zone that holds the fewest, the cheapest of several.
fn zone_to_add(offer: &Offer, wanted: &BTreeMap<String, Held>) -> Option<String> {
    let free = wanted.iter().filter(|(_, held)| held.total() < offer.most);
    let key = |zone: &str, held: &Held| (held.total(), price_order(offer, zone));
    let zone = free.min_by_key(|(zone, held)| key(zone, held))?;
    Some(zone.0.clone())
}

// The dearest zone that keeps its least without one of its on-demand endpoints.
fn zone_to_lower(offer: &Offer, wanted: &BTreeMap<String, Held>) -> Option<String> {
    let held = wanted.iter();
    let spare = held.filter(|(_, held)| held.firm > 0 && held.total() > offer.least);
    let zone = spare.max_by_key(|(zone, held)| (held.firm > 1, price_order(offer, zone)))?;
    Some(zone.0.clone())
}

fn price_order(offer: &Offer, zone: &str) -> u64 {
    const MICRO: f64 = 1e6;
    let price = offer.zone_prices.get(zone).copied().unwrap_or_default();
    (price * MICRO) as u64
}

// Reclaimable endpoints beside the floor, to the zones that hold the fewest.
fn add_reclaimable(offer: &Offer, wanted: &mut BTreeMap<String, Held>, floor: u32, total: u32) {
    let firm: BTreeMap<String, u32> = wanted.iter().map(|(z, h)| (z.clone(), h.firm)).collect();
    wanted.values_mut().for_each(|held| held.reclaimable = 0);
    let zones = wanted.len() as u32;
    let count = total.saturating_sub(floor).max(zones.saturating_sub(floor));
    for _ in 0..count {
        let free = wanted.iter().filter(|(_, held)| held.total() < offer.most);
        // Where the floor stands a reclaimable one is needed less than elsewhere.
        let key =
            |zone: &String, held: &Held| (held.reclaimable, firm[zone], price_order(offer, zone));
        let Some((zone, _)) = free.min_by_key(|(zone, held)| key(zone, held)) else {
            return;
        };
        let zone = zone.clone();
        wanted.entry(zone).or_default().reclaimable += 1;
    }
}

fn ceil(value: f64) -> u32 {
    value.ceil().max(0.0) as u32
}
