//! Which endpoints of a service to order in which hall.
//!
//! Reclaimable endpoints are cheap and may vanish a hall at a time, with none to be had there for a
//! while. So they are spread over all halls where they are to be had, in such a number that the rest
//! carries the load when some halls vanish; a few on-demand ones stand beside them, and more are ordered
//! as soon as halls are closed. What is lost is ordered again at once: the refusal shows that a hall is
//! closed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::offer::{
    firm_of, lower_firm, raise_firm, reclaimable_of, total_of, Fleet, Offer, ScalingOrder,
};
use crate::staffing::{load_of_fleet, Need};

/// On-demand endpoints are given back once no further one was recorded for this long: at the start they
/// record themselves within about a heartbeat (1.2 s at the users' sites).
const SETTLED: Duration = Duration::from_millis(1300);
/// How long the load must be known before anything is given back.
const LEARNING: Duration = Duration::from_secs(4);
/// Endpoints are added for the highest load over this time.
const RAISE_SPAN: Duration = Duration::from_secs(5);
/// Endpoints are given back for the highest load over so many boot times: one that is given back too early
/// is missing for one, and its price until then is small beside that.
const LOWER_BOOTS: u32 = 4;
/// Loads are remembered for this long; no boot time that a deployment may name needs more.
const REMEMBERED: Duration = Duration::from_secs(240);
/// Part of the endpoints that is kept when some are given back: the others take their load first, and what that does
/// to them is seen before more go.
const KEPT_PART: f64 = 0.75;
/// Time after which the effect of giving some back is seen: they end their requests first, and requests run for two
/// to three seconds.
const EFFECT_SPAN: Duration = Duration::from_secs(4);
/// Pause after a refused order, until it is given again.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);
/// Time past its boot after which an order without effect is repeated.
const REPEAT_PAUSE: Duration = Duration::from_secs(2);

/// The highest load seen is believed to be off by this factor at most while its effect on fewer endpoints is not seen: what
/// is learnt of engines counts as known at a tenth, and the load may rise meanwhile.
const LOAD_ERROR: f64 = 2.0;
/// Standard deviations of the scatter of a load, beside that.
const SCATTER: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: Duration,
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
    found: u32,
    found_at: Duration,
    // When what is held was confirmed last.
    as_of: Duration,
    load_since: Option<Duration>,
    // Whether there is a load that is not known.
    is_unknown: bool,
    // When endpoints were given back last under a load.
    lowered_at: Option<Duration>,
    loads: VecDeque<(Duration, f64)>,
    orders: BTreeMap<(String, bool), Ordered>,
    refused_until: BTreeMap<(String, bool), Duration>,
    // Halls where the last order of reclaimable endpoints was refused.
    closed: BTreeSet<String>,
}

impl Scaler {
    /// The planner of one of so many regions that lend each other room.
    pub fn among(regions: usize) -> Self {
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
        self.forget_undone(held);
        self.held = held.clone();
        self.as_of = as_of;
        let found = firm_of(held);
        if found > self.found && self.load_since.is_none() {
            self.found = found;
            self.found_at = as_of;
        }
        self.is_unknown = false;
        if load > 0.0 {
            self.load_since.get_or_insert(now);
        }
        self.loads.push_back((now, load));
        self.loads.retain(|(at, _)| now < *at + REMEMBERED);
    }

    /// The same, where there is a load and it is not known how much of it an endpoint can bear. Whoever starts beside
    /// a load takes what it finds for what is needed, so that what is lost meanwhile is ordered again.
    pub fn observe_unknown(&mut self, as_of: Duration, held: &Fleet) {
        self.forget_undone(held);
        self.held = held.clone();
        self.as_of = as_of;
        self.is_unknown = true;
        if self.found == 0 {
            self.found = total_of(held);
            self.found_at = as_of;
        }
    }

    /// What was held at the last look.
    pub fn held(&self) -> &Fleet {
        &self.held
    }

    /// The load at the last look.
    pub fn newest_load(&self) -> f64 {
        self.loads.back().map_or(0.0, |(_, load)| *load)
    }

    /// The highest load that endpoints are given back against.
    pub fn highest_load(&self, now: Duration, offer: &Offer) -> f64 {
        self.load(now, offer.boot * LOWER_BOOTS)
    }

    /// Why nothing may be given back now, if so.
    pub fn keeps(&self, now: Duration) -> Option<&'static str> {
        if self.is_unknown {
            return Some("what an endpoint bears is not known");
        }
        if !self.closed.is_empty() {
            return Some("a hall is closed");
        }
        if self.lowered_at.is_some_and(|at| now < at + EFFECT_SPAN) {
            return Some("the last step has not shown its effect");
        }
        match self.load_since {
            Some(since) if now < since + LEARNING => Some("the load is not known for long enough"),
            None if !self.is_listed() => Some("endpoints still record themselves"),
            _ => None,
        }
    }

    /// The orders to give now.
    pub fn plan(&mut self, now: Duration, offer: &Offer) -> Vec<ScalingOrder> {
        let expected = self.expected(now, offer);
        let wanted = self.wanted(now, offer, &expected);
        if self.load_since.is_some() && total_of(&wanted) < total_of(&expected) {
            self.lowered_at = Some(now);
        }
        let mut orders = Vec::new();
        for (hall, want) in wanted {
            let have = expected.get(&hall).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (want, have) = (want.get(reclaimable), have.get(reclaimable));
                if want != have && (reclaimable || self.is_listed()) {
                    orders.extend(self.order(now, &hall, reclaimable, want));
                }
            }
        }
        orders.extend(self.look_whether_open(now, offer));
        orders
    }

    /// Whether an order asks for fewer endpoints than are held.
    pub fn gives_back(&self, order: &ScalingOrder) -> bool {
        let held = self.held.get(&order.hall).copied().unwrap_or_default();
        order.count < held.get(order.reclaimable)
    }

    /// An order was taken.
    pub fn accepted(&mut self, order: &ScalingOrder) {
        if order.reclaimable {
            self.closed.remove(&order.hall);
        }
    }

    /// An order was refused: none are to be had there now. Returns whether the hall was taken for open.
    pub fn refused(&mut self, now: Duration, order: &ScalingOrder) -> bool {
        let key = (order.hall.clone(), order.reclaimable);
        self.orders.remove(&key);
        self.refused_until.insert(key, now + REFUSED_PAUSE);
        order.reclaimable && self.closed.insert(order.hall.clone())
    }

    /// An order got no answer; it is given again.
    pub fn unanswered(&mut self, order: &ScalingOrder) {
        let key = (order.hall.clone(), order.reclaimable);
        self.orders.remove(&key);
    }

    /// Forgets the orders given: another gateway gave some since.
    pub fn forget_orders(&mut self) {
        self.orders.clear();
    }

    // Endpoints that vanish although they were ordered are to be ordered again.
    fn forget_undone(&mut self, held: &Fleet) {
        let before = &self.held;
        self.orders.retain(|(hall, reclaimable), ordered| {
            let count = |fleet: &Fleet| fleet.get(hall).map_or(0, |h| h.get(*reclaimable));
            let now = count(held);
            now >= count(before) || now >= ordered.count
        });
    }

    // The highest load of some time; before there was any, the one that the fleet is for.
    fn load(&self, now: Duration, span: Duration) -> f64 {
        if self.load_since.is_none() {
            return load_of_fleet(self.found, self.regions);
        }
        let recent = self.loads.iter().filter(|(at, _)| now < *at + span);
        recent.map(|(_, load)| *load).fold(0.0, f64::max)
    }

    // Whether the endpoints found at the start are all known. An order names a count, so one for a hall whose
    // endpoints are not known yet would give them back.
    fn is_listed(&self) -> bool {
        self.as_of >= self.found_at + SETTLED
    }

    // What is held, or will be once the newest orders have had their effect.
    fn expected(&self, now: Duration, offer: &Offer) -> Fleet {
        let mut expected = self.held.clone();
        for hall in offer.hall_prices.keys() {
            expected.entry(hall.clone()).or_default();
        }
        for ((hall, reclaimable), ordered) in &self.orders {
            if now < ordered.at + offer.boot + REPEAT_PAUSE {
                *expected.entry(hall.clone()).or_default().of(*reclaimable) = ordered.count;
            }
        }
        expected
    }

    fn wanted(&self, now: Duration, offer: &Offer, expected: &Fleet) -> Fleet {
        let lower = self.need(self.load_to_keep(now, offer, expected));
        let raise = match self.closed.is_empty() {
            true => self.need(self.load(now, RAISE_SPAN)),
            // What is missing then cannot be had soon, also not for a load that only paused.
            false => self.need(self.highest_load(now, offer)),
        };
        let may_lower = self.keeps(now).is_none();
        let mut wanted = expected.clone();
        self.spread_reclaimable(offer, &mut wanted, raise, may_lower.then_some(lower));
        let firm = raise.firm_beside(&reclaimable_of(&wanted));
        raise_firm(offer, &mut wanted, firm);
        if may_lower {
            lower_firm(offer, &mut wanted, self.firm_to_keep(lower).max(firm));
        }
        wanted
    }

    // The load that endpoints are kept for: one step gives only some of them back.
    fn load_to_keep(&self, now: Duration, offer: &Offer, expected: &Fleet) -> f64 {
        let highest = self.highest_load(now, offer);
        if self.load_since.is_none() {
            return highest;
        }
        let kept = f64::from(total_of(expected)) * KEPT_PART;
        let step = load_of_fleet(kept as u32, self.regions);
        highest.max(step.min(likely_at_most(highest)))
    }

    // Reclaimable endpoints that were ordered and do not serve yet replace nothing.
    fn firm_to_keep(&self, need: Need) -> u32 {
        let serving = reclaimable_of(&self.held);
        let for_all = need.all.saturating_sub(serving.iter().sum());
        need.firm_beside(&serving).max(for_all)
    }

    fn need(&self, load: f64) -> Need {
        Need::of(load, self.regions)
    }

    // As many reclaimable endpoints in each open hall as make the whole cheapest.
    fn spread_reclaimable(
        &self,
        offer: &Offer,
        wanted: &mut Fleet,
        raise: Need,
        lower: Option<Need>,
    ) {
        let Some(price) = offer.reclaimable_price else {
            return;
        };
        let open = wanted.len().saturating_sub(self.closed.len());
        let least = raise.reclaimable_each(open, offer.most, price);
        let most = lower.map(|lower| lower.reclaimable_each(open, offer.most, price));
        for (hall, held) in wanted {
            if self.closed.contains(hall) {
                continue;
            }
            let most = most.unwrap_or(held.reclaimable).max(least);
            held.reclaimable = held.reclaimable.clamp(least, most);
        }
    }

    // Orders that show whether closed halls are open again; nothing is planned upon them.
    fn look_whether_open(&mut self, now: Duration, offer: &Offer) -> Vec<ScalingOrder> {
        let Some(price) = offer.reclaimable_price else {
            return Vec::new();
        };
        let need = self.need(self.load(now, RAISE_SPAN));
        let count = need.reclaimable_each(offer.hall_prices.len(), offer.most, price);
        let closed: Vec<String> = self.closed.iter().cloned().collect();
        let looks = closed.iter();
        looks
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
        self.orders.insert(key, Ordered { count, at: now });
        Some(ScalingOrder {
            hall: hall.to_string(),
            reclaimable,
            count,
        })
    }
}

// What a load may be at most, if so much was seen of it. A fleet that could carry several times that shows nothing by a step
// of a quarter; it is lowered to what carries this at once, and in steps from there.
fn likely_at_most(load: f64) -> f64 {
    LOAD_ERROR * (load + SCATTER * load.sqrt())
}
