//! Decides how many endpoints of a service to order in each hall.
//!
//! Reclaimable endpoints are cheap, but a whole hall of them may vanish at once, and no new ones
//! are available there for a while. They are therefore spread over all halls where they are
//! available, in such a number that the remaining ones carry the load when some halls vanish. A few
//! on-demand endpoints are held beside them, and more are ordered as soon as halls are closed, that
//! is, refuse orders of reclaimable endpoints. Lost endpoints are ordered again at once, because a
//! refusal shows that the hall is closed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::capacity::{
    add_on_demand, reclaimable_by_hall, remove_on_demand, total_endpoints, total_on_demand, Fleet,
    ScalingOrder, ScalingSpec,
};
use crate::sizing::{load_for_fleet, Need};

/// On-demand endpoints are given back only when no further one has registered for this long. After
/// a start, endpoints register within about one heartbeat (1.2 s at the users' sites).
const REGISTRATION_QUIET_PERIOD: Duration = Duration::from_millis(1300);
/// How long the load must have been known before endpoints are given back.
const MIN_LOAD_HISTORY: Duration = Duration::from_secs(4);
/// Endpoints are added for the peak load in this window.
const SCALE_UP_WINDOW: Duration = Duration::from_secs(5);
/// Endpoints are given back for the peak load in a window of this many boot times. An endpoint
/// given back too early is missing for one boot time, and the price of keeping it until then is
/// small compared with that.
const SCALE_DOWN_WINDOW_BOOTS: u32 = 4;
/// How long load samples are kept. No boot time that the settings allow needs a longer window.
const LOAD_RETENTION: Duration = Duration::from_secs(240);
/// Fraction of the endpoints that one scale-down step keeps. The remaining endpoints take over the
/// load, and the effect is observed before more are given back.
const KEPT_FRACTION: f64 = 0.75;
/// Minimum time between scale-down steps under load. Endpoints finish their requests first, which
/// takes two to three seconds.
const SCALE_DOWN_COOLDOWN: Duration = Duration::from_secs(4);
/// Delay before a refused order is repeated.
const REFUSED_ORDER_DELAY: Duration = Duration::from_secs(3);
/// An order without effect is repeated this long after the boot time of its endpoints has passed.
const ORDER_REPEAT_DELAY: Duration = Duration::from_secs(2);

/// Assumed upper limit on the factor by which the peak load is underestimated before the effect of
/// having fewer endpoints is observed. The estimate of the engines' step times counts as confident
/// at a relative standard deviation of a tenth, and the load may grow meanwhile.
const MAX_LOAD_ERROR_FACTOR: f64 = 2.0;
/// Number of standard deviations, each the square root of the load, that are added to the peak load
/// before the error factor is applied.
const LOAD_STD_DEVS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    count: u32,
    placed_at: Duration,
}

/// Autoscaler of one service in one region. Every gateway observes, but only the lease holder
/// plans, so that a new holder starts with the same data.
#[derive(Debug, Default)]
pub struct Scaler {
    // Number of regions of the service that share headroom, this one included; 0 counts as 1.
    regions: u32,
    held: Fleet,
    // Size of the fleet found at the start: the maximum number of on-demand endpoints observed
    // before the first load, or, if the load is unknown, all endpoints at that moment.
    // `baseline_at` is the time of the observation.
    baseline: u32,
    baseline_at: Duration,
    // Time at which `held` was last confirmed.
    as_of: Duration,
    load_since: Option<Duration>,
    // Whether there is a load whose size is not known.
    is_load_unknown: bool,
    // Time of the last scale-down step under load.
    scaled_down_at: Option<Duration>,
    loads: VecDeque<(Duration, f64)>,
    pending_orders: BTreeMap<(String, bool), PendingOrder>,
    refused_until: BTreeMap<(String, bool), Duration>,
    // Halls that refused the last order of reclaimable endpoints.
    closed_halls: BTreeSet<String>,
}

impl Scaler {
    /// Creates the autoscaler of one of `regions` regions that share headroom.
    pub fn for_regions(regions: usize) -> Self {
        Scaler {
            regions: regions as u32,
            ..Scaler::default()
        }
    }

    /// Records the held endpoints and the load. `load` is the number of endpoints that it keeps
    /// fully busy.
    pub fn observe(&mut self, now: Duration, held: &Fleet, load: f64) {
        self.observe_as_of(now, now, held, load);
    }

    /// Like [`Scaler::observe`], for endpoints that were last confirmed at `as_of`: more may exist
    /// by now.
    pub fn observe_as_of(&mut self, now: Duration, as_of: Duration, held: &Fleet, load: f64) {
        self.drop_ineffective_orders(held);
        self.held = held.clone();
        self.as_of = as_of;
        let on_demand = total_on_demand(held);
        if on_demand > self.baseline && self.load_since.is_none() {
            self.baseline = on_demand;
            self.baseline_at = as_of;
        }
        self.is_load_unknown = false;
        if load > 0.0 {
            self.load_since.get_or_insert(now);
        }
        self.loads.push_back((now, load));
        self.loads.retain(|(at, _)| now < *at + LOAD_RETENTION);
    }

    /// Like [`Scaler::observe_as_of`], for a load whose size is not known because the capacity of
    /// an endpoint is not. If no fleet size is on record, the endpoints found now are taken as
    /// required, so that lost ones are ordered again.
    pub fn observe_unknown_load(&mut self, as_of: Duration, held: &Fleet) {
        self.drop_ineffective_orders(held);
        self.held = held.clone();
        self.as_of = as_of;
        self.is_load_unknown = true;
        if self.baseline == 0 {
            self.baseline = total_endpoints(held);
            self.baseline_at = as_of;
        }
    }

    /// Endpoints in the last observation.
    pub fn held(&self) -> &Fleet {
        &self.held
    }

    /// Load in the last observation.
    pub fn latest_load(&self) -> f64 {
        self.loads.back().map_or(0.0, |(_, load)| *load)
    }

    /// Peak load that scale-down decisions use.
    pub fn peak_load(&self, now: Duration, spec: &ScalingSpec) -> f64 {
        self.max_load(now, spec.boot_time * SCALE_DOWN_WINDOW_BOOTS)
    }

    /// Why no endpoints may be given back now; `None` if they may.
    pub fn scale_down_block_reason(&self, now: Duration) -> Option<&'static str> {
        if self.is_load_unknown {
            return Some("the capacity of an endpoint is not known");
        }
        if !self.closed_halls.is_empty() {
            return Some("a hall is closed");
        }
        if self
            .scaled_down_at
            .is_some_and(|at| now < at + SCALE_DOWN_COOLDOWN)
        {
            return Some("the cooldown of the last scale-down step has not passed");
        }
        match self.load_since {
            Some(since) if now < since + MIN_LOAD_HISTORY => {
                Some("the load has not been known for long enough")
            }
            None if !self.is_baseline_complete() => Some("endpoints still register"),
            _ => None,
        }
    }

    /// Returns the orders to place now.
    pub fn plan(&mut self, now: Duration, spec: &ScalingSpec) -> Vec<ScalingOrder> {
        let expected = self.expected(now, spec);
        let wanted = self.wanted(now, spec, &expected);
        if self.load_since.is_some() && total_endpoints(&wanted) < total_endpoints(&expected) {
            self.scaled_down_at = Some(now);
        }
        let mut orders = Vec::new();
        for (hall, want) in wanted {
            let have = expected.get(&hall).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (want, have) = (want.count(reclaimable), have.count(reclaimable));
                if want != have && (reclaimable || self.is_baseline_complete()) {
                    orders.extend(self.order(now, &hall, reclaimable, want));
                }
            }
        }
        orders.extend(self.probe_closed_halls(now, spec));
        orders
    }

    /// Whether an order asks for fewer endpoints than are held.
    pub fn is_scale_down(&self, order: &ScalingOrder) -> bool {
        let held = self.held.get(&order.hall).copied().unwrap_or_default();
        order.count < held.count(order.reclaimable)
    }

    /// Records an accepted order.
    pub fn accepted(&mut self, order: &ScalingOrder) {
        if order.reclaimable {
            self.closed_halls.remove(&order.hall);
        }
    }

    /// Records a refused order: no endpoints of its class are available in the hall. Returns
    /// whether the hall counted as open until now.
    pub fn refused(&mut self, now: Duration, order: &ScalingOrder) -> bool {
        let key = (order.hall.clone(), order.reclaimable);
        self.pending_orders.remove(&key);
        self.refused_until.insert(key, now + REFUSED_ORDER_DELAY);
        order.reclaimable && self.closed_halls.insert(order.hall.clone())
    }

    /// Records an order without a reply; it is placed again.
    pub fn unanswered(&mut self, order: &ScalingOrder) {
        let key = (order.hall.clone(), order.reclaimable);
        self.pending_orders.remove(&key);
    }

    /// Drops all pending orders, because another gateway has placed some since.
    pub fn forget_orders(&mut self) {
        self.pending_orders.clear();
    }

    // Drops orders whose endpoints vanished, so that they are ordered again.
    fn drop_ineffective_orders(&mut self, held: &Fleet) {
        let before = &self.held;
        self.pending_orders.retain(|(hall, reclaimable), order| {
            let count = |fleet: &Fleet| fleet.get(hall).map_or(0, |h| h.count(*reclaimable));
            let now = count(held);
            now >= count(before) || now >= order.count
        });
    }

    // Peak load within `window`; before the first load, the load that the fleet is assumed to be
    // meant for.
    fn max_load(&self, now: Duration, window: Duration) -> f64 {
        if self.load_since.is_none() {
            return load_for_fleet(self.baseline, self.regions);
        }
        let recent = self.loads.iter().filter(|(at, _)| now < *at + window);
        recent.map(|(_, load)| *load).fold(0.0, f64::max)
    }

    // Whether all endpoints that existed at the start are known. An order sets a count, so an order
    // for a hall whose endpoints are not all known would give the unknown ones back.
    fn is_baseline_complete(&self) -> bool {
        self.as_of >= self.baseline_at + REGISTRATION_QUIET_PERIOD
    }

    // Endpoints held once all pending orders have taken effect.
    fn expected(&self, now: Duration, spec: &ScalingSpec) -> Fleet {
        let mut expected = self.held.clone();
        for hall in spec.hall_prices.keys() {
            expected.entry(hall.clone()).or_default();
        }
        for ((hall, reclaimable), order) in &self.pending_orders {
            if now < order.placed_at + spec.boot_time + ORDER_REPEAT_DELAY {
                *expected
                    .entry(hall.clone())
                    .or_default()
                    .count_mut(*reclaimable) = order.count;
            }
        }
        expected
    }

    fn wanted(&self, now: Duration, spec: &ScalingSpec, expected: &Fleet) -> Fleet {
        let scale_down = self.need(self.scale_down_load(now, spec, expected));
        let scale_up = match self.closed_halls.is_empty() {
            true => self.need(self.max_load(now, SCALE_UP_WINDOW)),
            // In a closed hall, capacity cannot be replaced soon, even for a load that only pauses.
            false => self.need(self.peak_load(now, spec)),
        };
        let can_scale_down = self.scale_down_block_reason(now).is_none();
        let mut wanted = expected.clone();
        self.spread_reclaimable(
            spec,
            &mut wanted,
            scale_up,
            can_scale_down.then_some(scale_down),
        );
        let on_demand = scale_up.on_demand_required(&reclaimable_by_hall(&wanted));
        add_on_demand(spec, &mut wanted, on_demand);
        if can_scale_down {
            remove_on_demand(
                spec,
                &mut wanted,
                self.scale_down_on_demand(scale_down).max(on_demand),
            );
        }
        wanted
    }

    // Load that endpoints are kept for. It limits how many endpoints one scale-down step gives
    // back.
    fn scale_down_load(&self, now: Duration, spec: &ScalingSpec, expected: &Fleet) -> f64 {
        let highest = self.peak_load(now, spec);
        if self.load_since.is_none() {
            return highest;
        }
        let kept = f64::from(total_endpoints(expected)) * KEPT_FRACTION;
        let step = load_for_fleet(kept as u32, self.regions);
        highest.max(step.min(load_upper_bound(highest)))
    }

    // Reclaimable endpoints that are ordered but do not serve yet replace no on-demand ones.
    fn scale_down_on_demand(&self, need: Need) -> u32 {
        let serving = reclaimable_by_hall(&self.held);
        let for_all = need.all.saturating_sub(serving.iter().sum());
        need.on_demand_required(&serving).max(for_all)
    }

    fn need(&self, load: f64) -> Need {
        Need::for_load(load, self.regions)
    }

    // Sets the cheapest number of reclaimable endpoints in each open hall.
    fn spread_reclaimable(
        &self,
        spec: &ScalingSpec,
        wanted: &mut Fleet,
        scale_up: Need,
        scale_down: Option<Need>,
    ) {
        let Some(price) = spec.relative_reclaimable_price else {
            return;
        };
        let open = wanted.len().saturating_sub(self.closed_halls.len());
        let min_count = scale_up.reclaimable_per_hall(open, spec.max_per_hall, price);
        let max_count =
            scale_down.map(|need| need.reclaimable_per_hall(open, spec.max_per_hall, price));
        for (hall, held) in wanted {
            if self.closed_halls.contains(hall) {
                continue;
            }
            let max_count = max_count.unwrap_or(held.reclaimable).max(min_count);
            held.reclaimable = held.reclaimable.clamp(min_count, max_count);
        }
    }

    // Orders that test whether closed halls are open again. The plan does not rely on them.
    fn probe_closed_halls(&mut self, now: Duration, spec: &ScalingSpec) -> Vec<ScalingOrder> {
        let Some(price) = spec.relative_reclaimable_price else {
            return Vec::new();
        };
        let need = self.need(self.max_load(now, SCALE_UP_WINDOW));
        let count = need.reclaimable_per_hall(spec.hall_prices.len(), spec.max_per_hall, price);
        let closed: Vec<String> = self.closed_halls.iter().cloned().collect();
        let halls = closed.iter();
        halls
            .filter_map(|hall| self.order(now, hall, true, count))
            .collect()
    }

    fn order(
        &mut self,
        now: Duration,
        hall: &str,
        reclaimable: bool,
        count: u32,
    ) -> Option<ScalingOrder> {
        let key = (hall.to_string(), reclaimable);
        if self.refused_until.get(&key).is_some_and(|t| now < *t) {
            return None;
        }
        self.pending_orders.insert(
            key,
            PendingOrder {
                count,
                placed_at: now,
            },
        );
        Some(ScalingOrder {
            hall: hall.to_string(),
            reclaimable,
            count,
        })
    }
}

// Upper confidence bound of the load, given the observed peak. A fleet that could carry several
// times the load shows no effect of giving back a quarter, so it is reduced to what carries this
// bound at once, and in steps after that.
fn load_upper_bound(load: f64) -> f64 {
    MAX_LOAD_ERROR_FACTOR * (load + LOAD_STD_DEVS * load.sqrt())
}
