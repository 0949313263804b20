//! Which endpoints of a service to order in which hall.
//!
//! Reclaimable endpoints are cheap and may vanish a hall at a time, with none to be had there for a
//! while. So they are spread over all halls where they are to be had, in such a number that the rest
//! carries the load when some halls vanish; a few on-demand ones stand beside them, and more are ordered
//! as soon as halls are closed. What is lost is ordered again at once: the refusal shows that a hall is
//! closed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::capacity::{
    add_firm, reclaimable_by_hall, remove_firm, total_endpoints, total_firm, Fleet, ScalingOrder,
    ScalingSpec,
};
use crate::sizing::{load_for_fleet, Need};

/// On-demand endpoints are given back once no further one was recorded for this long: at the start they
/// record themselves within about a heartbeat (1.2 s at the users' sites).
const REGISTRATION_QUIET_PERIOD: Duration = Duration::from_millis(1300);
/// How long the load must be known before anything is given back.
const MIN_LOAD_HISTORY: Duration = Duration::from_secs(4);
/// Endpoints are added for the highest load over this time.
const SCALE_UP_WINDOW: Duration = Duration::from_secs(5);
/// Endpoints are given back for the highest load over so many boot times: one that is given back too early
/// is missing for one, and its price until then is small beside that.
const SCALE_DOWN_WINDOW_BOOTS: u32 = 4;
/// Loads are remembered for this long; no boot time that a deployment may name needs more.
const LOAD_RETENTION: Duration = Duration::from_secs(240);
/// Part of the endpoints that is kept when some are given back: the others take their load first, and what that does
/// to them is seen before more go.
const KEPT_FRACTION: f64 = 0.75;
/// Time after which the effect of giving some back is seen: they end their requests first, and requests run for two
/// to three seconds.
const SCALE_DOWN_COOLDOWN: Duration = Duration::from_secs(4);
/// Pause after a refused order, until it is given again.
const REFUSED_ORDER_DELAY: Duration = Duration::from_secs(3);
/// Time past its boot after which an order without effect is repeated.
const ORDER_REPEAT_DELAY: Duration = Duration::from_secs(2);

/// The highest load seen is believed to be off by this factor at most while its effect on fewer endpoints is not seen: what
/// is learnt of engines counts as known at a tenth, and the load may rise meanwhile.
const MAX_LOAD_ERROR_FACTOR: f64 = 2.0;
/// Standard deviations of the scatter of a load, beside that.
const LOAD_STD_DEVS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    count: u32,
    placed_at: Duration,
}

/// The planner of one service. Every gateway observes; only the holder of the lease plans, so a new one
/// knows as much as the last.
#[derive(Debug, Default)]
pub struct Scaler {
    // Regions of the service that lend each other room, this one included; 0 counts as one.
    regions: u32,
    held: Fleet,
    // Most on-demand endpoints that were held before there was a load, or all that were found beside one, and since
    // when.
    baseline: u32,
    baseline_at: Duration,
    // When what is held was confirmed last.
    as_of: Duration,
    load_since: Option<Duration>,
    // Whether there is a load that is not known.
    is_load_unknown: bool,
    // When endpoints were given back last under a load.
    scaled_down_at: Option<Duration>,
    loads: VecDeque<(Duration, f64)>,
    pending_orders: BTreeMap<(String, bool), PendingOrder>,
    refused_until: BTreeMap<(String, bool), Duration>,
    // Halls where the last order of reclaimable endpoints was refused.
    closed_halls: BTreeSet<String>,
}

impl Scaler {
    /// The planner of one of so many regions that lend each other room.
    pub fn for_regions(regions: usize) -> Self {
        Scaler {
            regions: regions as u32,
            ..Scaler::default()
        }
    }

    /// Takes what is held and asked for now. `load` is in endpoints that would be busy all the time.
    pub fn observe(&mut self, now: Duration, held: &Fleet, load: f64) {
        self.observe_as_of(now, now, held, load);
    }

    /// The same, where what is held was confirmed at `as_of` only: it may be more by now.
    pub fn observe_as_of(&mut self, now: Duration, as_of: Duration, held: &Fleet, load: f64) {
        self.drop_ineffective_orders(held);
        self.held = held.clone();
        self.as_of = as_of;
        let firm = total_firm(held);
        if firm > self.baseline && self.load_since.is_none() {
            self.baseline = firm;
            self.baseline_at = as_of;
        }
        self.is_load_unknown = false;
        if load > 0.0 {
            self.load_since.get_or_insert(now);
        }
        self.loads.push_back((now, load));
        self.loads.retain(|(at, _)| now < *at + LOAD_RETENTION);
    }

    /// The same, where there is a load and it is not known how much of it an endpoint can bear. Whoever starts beside
    /// a load takes what it finds for what is needed, so that what is lost meanwhile is ordered again.
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

    /// What was held at the last look.
    pub fn held(&self) -> &Fleet {
        &self.held
    }

    /// The load at the last look.
    pub fn latest_load(&self) -> f64 {
        self.loads.back().map_or(0.0, |(_, load)| *load)
    }

    /// The highest load that endpoints are given back against.
    pub fn peak_load(&self, now: Duration, spec: &ScalingSpec) -> f64 {
        self.max_load(now, spec.boot_time * SCALE_DOWN_WINDOW_BOOTS)
    }

    /// Why nothing may be given back now, if so.
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

    /// The orders to give now.
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

    /// An order was taken.
    pub fn accepted(&mut self, order: &ScalingOrder) {
        if order.reclaimable {
            self.closed_halls.remove(&order.hall);
        }
    }

    /// An order was refused: none are to be had there now. Returns whether the hall was taken for open.
    pub fn refused(&mut self, now: Duration, order: &ScalingOrder) -> bool {
        let key = (order.hall.clone(), order.reclaimable);
        self.pending_orders.remove(&key);
        self.refused_until.insert(key, now + REFUSED_ORDER_DELAY);
        order.reclaimable && self.closed_halls.insert(order.hall.clone())
    }

    /// An order got no answer; it is given again.
    pub fn unanswered(&mut self, order: &ScalingOrder) {
        let key = (order.hall.clone(), order.reclaimable);
        self.pending_orders.remove(&key);
    }

    /// Forgets the orders given: another gateway gave some since.
    pub fn forget_orders(&mut self) {
        self.pending_orders.clear();
    }

    // Endpoints that vanish although they were ordered are to be ordered again.
    fn drop_ineffective_orders(&mut self, held: &Fleet) {
        let before = &self.held;
        self.pending_orders.retain(|(hall, reclaimable), order| {
            let count = |fleet: &Fleet| fleet.get(hall).map_or(0, |h| h.count(*reclaimable));
            let now = count(held);
            now >= count(before) || now >= order.count
        });
    }

    // The highest load of some time; before there was any, the one that the fleet is for.
    fn max_load(&self, now: Duration, window: Duration) -> f64 {
        if self.load_since.is_none() {
            return load_for_fleet(self.baseline, self.regions);
        }
        let recent = self.loads.iter().filter(|(at, _)| now < *at + window);
        recent.map(|(_, load)| *load).fold(0.0, f64::max)
    }

    // Whether the endpoints found at the start are all known. An order names a count, so one for a hall whose
    // endpoints are not known yet would give them back.
    fn is_baseline_complete(&self) -> bool {
        self.as_of >= self.baseline_at + REGISTRATION_QUIET_PERIOD
    }

    // What is held, or will be once the newest orders have had their effect.
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
            // What is missing then cannot be had soon, also not for a load that only paused.
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
        let firm = scale_up.firm_required(&reclaimable_by_hall(&wanted));
        add_firm(spec, &mut wanted, firm);
        if can_scale_down {
            remove_firm(
                spec,
                &mut wanted,
                self.scale_down_firm(scale_down).max(firm),
            );
        }
        wanted
    }

    // The load that endpoints are kept for: one step gives only some of them back.
    fn scale_down_load(&self, now: Duration, spec: &ScalingSpec, expected: &Fleet) -> f64 {
        let highest = self.peak_load(now, spec);
        if self.load_since.is_none() {
            return highest;
        }
        let kept = f64::from(total_endpoints(expected)) * KEPT_FRACTION;
        let step = load_for_fleet(kept as u32, self.regions);
        highest.max(step.min(load_upper_bound(highest)))
    }

    // Reclaimable endpoints that were ordered and do not serve yet replace nothing.
    fn scale_down_firm(&self, need: Need) -> u32 {
        let serving = reclaimable_by_hall(&self.held);
        let for_all = need.all.saturating_sub(serving.iter().sum());
        need.firm_required(&serving).max(for_all)
    }

    fn need(&self, load: f64) -> Need {
        Need::for_load(load, self.regions)
    }

    // As many reclaimable endpoints in each open hall as make the whole cheapest.
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

    // Orders that show whether closed halls are open again; nothing is planned upon them.
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

// What a load may be at most, if so much was seen of it. A fleet that could carry several times that shows nothing by a step
// of a quarter; it is lowered to what carries this at once, and in steps from there.
fn load_upper_bound(load: f64) -> f64 {
    MAX_LOAD_ERROR_FACTOR * (load + LOAD_STD_DEVS * load.sqrt())
}
