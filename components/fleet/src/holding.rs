//! How many VMs of which price class to hold in which data hall.
//!
//! The firm part of a pool must survive the loss of any one data hall; the rest is bought where it
//! is cheapest. Changes wait for a margin, so that prices do not make the fleet thrash.

use std::collections::BTreeMap;
use std::time::Duration;

/// Saving, in thousandths of the price, below which a VM is not exchanged for a cheaper one.
const MIN_SAVING_MILLI: u64 = 150;
/// First pause after a refused start; it doubles with each one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Longest pause after a refused start.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// How long more VMs than needed must be held before one is given back.
const SURPLUS_DELAY: Duration = Duration::from_secs(120);

/// What a data hall offers for a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallOffer {
    /// Data hall.
    pub hall: String,
    /// Price of a reclaimable VM, in thousandths of the currency unit an hour.
    pub reclaimable_milli: u64,
    /// Price of a VM on demand.
    pub on_demand_milli: u64,
    /// Reclaims seen per VM in a thousand hours.
    pub reclaims_milli: u64,
}

/// What a pool needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolNeed {
    /// VMs needed for the firm classes.
    pub firm: u64,
    /// VMs needed for everything.
    pub all: u64,
    /// Extra cost of one reclaim, in thousandths of the currency unit: work computed again.
    pub reclaim_cost_milli: u64,
}

/// VMs of one class in one hall.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VmClass {
    /// Data hall.
    pub hall: String,
    /// Whether on demand.
    pub on_demand: bool,
}

/// VMs held, by hall and class.
pub type Holding = BTreeMap<VmClass, u64>;

/// One change to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldingChange {
    /// Buy one VM.
    Buy(VmClass),
    /// Give one VM back.
    GiveBack(VmClass),
}

/// The cheapest holding that keeps `firm` VMs after the loss of any one hall, and `all` without
/// a loss. Reclaimable VMs of a hall go together, so a hall counts as lost whole.
pub fn plan_holding(need: PoolNeed, offers: &[HallOffer]) -> Holding {
    let mut ordered: Vec<&HallOffer> = offers.iter().collect();
    ordered.sort_by_key(|o| (reclaimable_cost(o, need), o.hall.clone()));
    let best = (1..=ordered.len())
        .map(|halls| spread_evenly(need, &ordered[..halls]))
        .min_by_key(|holding| total_cost(holding, offers, need));
    best.unwrap_or_default()
}

// An equal spread over the cheapest halls: losing one of h halls leaves (h - 1) / h of it.
fn spread_evenly(need: PoolNeed, halls: &[&HallOffer]) -> Holding {
    let count = halls.len() as u64;
    let total_for_loss = match count {
        0 | 1 => 0,
        count => (need.firm * count).div_ceil(count - 1),
    };
    let total = need.all.max(total_for_loss);
    let mut holding = Holding::new();
    for (i, offer) in halls.iter().enumerate() {
        let share = total / count + u64::from((i as u64) < total % count);
        let class = VmClass {
            hall: offer.hall.clone(),
            on_demand: false,
        };
        holding.insert(class, share);
    }
    if count == 1 {
        // One hall alone: the firm part must not be reclaimable.
        let class = |on_demand| VmClass {
            hall: halls[0].hall.clone(),
            on_demand,
        };
        holding.insert(class(true), need.firm);
        holding.insert(class(false), need.all.saturating_sub(need.firm));
    }
    holding.retain(|_, vms| *vms > 0);
    holding
}

fn reclaimable_cost(offer: &HallOffer, need: PoolNeed) -> u64 {
    offer.reclaimable_milli + offer.reclaims_milli * need.reclaim_cost_milli / 1000
}

fn total_cost(holding: &Holding, offers: &[HallOffer], need: PoolNeed) -> u64 {
    let cost_per_vm = |class: &VmClass| {
        let offer = offers.iter().find(|o| o.hall == class.hall);
        offer.map_or(u64::MAX / 1_000_000, |o| match class.on_demand {
            true => o.on_demand_milli,
            false => reclaimable_cost(o, need),
        })
    };
    holding
        .iter()
        .map(|(class, vms)| cost_per_vm(class) * vms)
        .sum()
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

/// Turns the difference between wanted and held VMs into changes, with pauses and margins.
#[derive(Debug, Default)]
pub struct HoldingPlanner {
    backoffs: BTreeMap<VmClass, Backoff>,
    surplus_since: Option<Duration>,
}

impl HoldingPlanner {
    /// Notes that a start was refused.
    pub fn refused(&mut self, now: Duration, class: &VmClass) {
        let delay = self
            .backoffs
            .get(class)
            .map_or(INITIAL_BACKOFF, |r| (r.delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        self.backoffs
            .insert(class.clone(), Backoff { until, delay });
    }

    /// Notes that a start succeeded.
    pub fn started(&mut self, class: &VmClass) {
        self.backoffs.remove(class);
    }

    /// The changes to make now: starts first, and a VM is given back only once the rest stands.
    pub fn changes(
        &mut self,
        now: Duration,
        need: PoolNeed,
        offers: &[HallOffer],
        held: &Holding,
    ) -> Vec<HoldingChange> {
        let open: Vec<HallOffer> = offers
            .iter()
            .filter(|o| self.is_open(now, o))
            .cloned()
            .collect();
        let wanted = plan_holding(need, &open);
        let buys = shortfall(&wanted, held);
        let total: u64 = held.values().sum();
        let is_enough_held = total >= wanted.values().sum();
        if !is_enough_held {
            self.surplus_since = None;
            return buys.into_iter().map(HoldingChange::Buy).collect();
        }
        self.rebalance(now, need, offers, held, &wanted)
    }

    fn is_open(&self, now: Duration, offer: &HallOffer) -> bool {
        let class = VmClass {
            hall: offer.hall.clone(),
            on_demand: false,
        };
        self.backoffs.get(&class).is_none_or(|r| now >= r.until)
    }

    // Enough is held, perhaps not in the wanted places.
    fn rebalance(
        &mut self,
        now: Duration,
        need: PoolNeed,
        offers: &[HallOffer],
        held: &Holding,
        wanted: &Holding,
    ) -> Vec<HoldingChange> {
        let surplus = shortfall(held, wanted);
        let buys = shortfall(wanted, held);
        let (current_cost, planned_cost) = (
            total_cost(held, offers, need),
            total_cost(wanted, offers, need),
        );
        let is_saving = current_cost * (1000 - MIN_SAVING_MILLI) > planned_cost * 1000;
        let restores_redundancy = survivors(held) < need.firm && survivors(wanted) >= need.firm;
        if surplus.is_empty() || !(is_saving || restores_redundancy) {
            self.surplus_since = None;
            return Vec::new();
        }
        if restores_redundancy && !buys.is_empty() {
            return buys.into_iter().map(HoldingChange::Buy).collect();
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < SURPLUS_DELAY {
            return Vec::new();
        }
        match buys.first() {
            Some(class) => vec![HoldingChange::Buy(class.clone())],
            None => surplus
                .first()
                .cloned()
                .map(HoldingChange::GiveBack)
                .into_iter()
                .collect(),
        }
    }
}

// VMs left when the hall with the most reclaimable ones is lost.
fn survivors(holding: &Holding) -> u64 {
    let total: u64 = holding.values().sum();
    let mut by_hall: BTreeMap<&str, u64> = BTreeMap::new();
    for (class, vms) in holding.iter().filter(|(class, _)| !class.on_demand) {
        *by_hall.entry(&class.hall).or_default() += vms;
    }
    total - by_hall.values().max().copied().unwrap_or(0)
}

// One bid for each VM that `wanted` has more than `held`.
fn shortfall(wanted: &Holding, held: &Holding) -> Vec<VmClass> {
    let lacking_vms = |(class, vms): (&VmClass, &u64)| {
        let lacking = vms.saturating_sub(held.get(class).copied().unwrap_or(0));
        vec![class.clone(); lacking as usize]
    };
    wanted.iter().flat_map(lacking_vms).collect()
}
