//! Decides how many VMs of each price class to hold in each data hall.
//!
//! Enough VMs of a pool must be left after the loss of any one data hall; the others are bought
//! where they are cheapest. VMs are exchanged only for a minimum saving, so that price movements do
//! not cause constant changes.

use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum saving, in thousandths of the current cost, for which VMs are exchanged for cheaper
/// ones.
const MIN_SAVING_MILLI: u64 = 150;
/// Backoff after the first refused start; it doubles with each further refusal.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum backoff after a refused start.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// How long an exchange or surplus must persist before VMs are exchanged or given back.
const SURPLUS_DELAY: Duration = Duration::from_secs(120);

/// Prices and reclaim rate of a data hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallOffer {
    /// Data hall.
    pub hall: String,
    /// Price of a reclaimable VM, in thousandths of the currency unit per hour.
    pub reclaimable_milli: u64,
    /// Price of an on-demand VM, in the same unit.
    pub on_demand_milli: u64,
    /// Observed reclaims per VM in 1,000 hours.
    pub reclaims_milli: u64,
}

/// Number of VMs that a pool needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolNeed {
    /// VMs that must be left after the loss of any one hall.
    pub after_loss: u64,
    /// VMs needed for all work.
    pub all: u64,
    /// Cost of the work recomputed after one reclaim, in thousandths of the currency unit.
    pub reclaim_cost_milli: u64,
}

/// Data hall and price class of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VmClass {
    /// Data hall.
    pub hall: String,
    /// Whether the VM is on demand rather than reclaimable.
    pub on_demand: bool,
}

/// Number of VMs held of each class.
pub type Holding = BTreeMap<VmClass, u64>;

/// A change of the holding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldingChange {
    /// Buy one VM.
    Buy(VmClass),
    /// Give one VM back.
    GiveBack(VmClass),
}

/// Returns the cheapest holding that keeps `after_loss` VMs after the loss of any one hall and
/// `all` VMs without a loss. The reclaimable VMs of a hall are reclaimed together, so a hall counts
/// as lost as a whole.
pub fn plan_holding(need: PoolNeed, offers: &[HallOffer]) -> Holding {
    let mut ordered: Vec<&HallOffer> = offers.iter().collect();
    ordered.sort_by_key(|o| (reclaimable_cost(o, need), o.hall.clone()));
    let best = (1..=ordered.len())
        .map(|halls| spread_evenly(need, &ordered[..halls]))
        .min_by_key(|holding| total_cost(holding, offers, need));
    best.unwrap_or_default()
}

// Spreads VMs evenly over the given halls: with n halls, (n - 1) / n of them survive the loss of
// one.
fn spread_evenly(need: PoolNeed, halls: &[&HallOffer]) -> Holding {
    let count = halls.len() as u64;
    let total_for_loss = match count {
        0 | 1 => 0,
        count => (need.after_loss * count).div_ceil(count - 1),
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
        // With a single hall, the VMs that must be left after a loss are on demand.
        let class = |on_demand| VmClass {
            hall: halls[0].hall.clone(),
            on_demand,
        };
        holding.insert(class(true), need.after_loss);
        holding.insert(class(false), need.all.saturating_sub(need.after_loss));
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

/// Turns the difference between the planned and the held VMs into changes. Refused starts are
/// retried with exponential backoff, and VMs are exchanged only for a minimum saving.
#[derive(Debug, Default)]
pub struct HoldingPlanner {
    backoffs: BTreeMap<VmClass, Backoff>,
    surplus_since: Option<Duration>,
}

impl HoldingPlanner {
    /// Records a refused start.
    pub fn refused(&mut self, now: Duration, class: &VmClass) {
        let delay = self
            .backoffs
            .get(class)
            .map_or(INITIAL_BACKOFF, |r| (r.delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        self.backoffs
            .insert(class.clone(), Backoff { until, delay });
    }

    /// Records a successful start and resets the backoff.
    pub fn started(&mut self, class: &VmClass) {
        self.backoffs.remove(class);
    }

    /// Returns the changes to make now. VMs are bought first and given back only when enough are
    /// held.
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

    // Enough VMs are held, but possibly not where the plan wants them.
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
        let restores_redundancy =
            survivors(held) < need.after_loss && survivors(wanted) >= need.after_loss;
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

// VMs left after the loss of the hall with the most reclaimable ones.
fn survivors(holding: &Holding) -> u64 {
    let total: u64 = holding.values().sum();
    let mut by_hall: BTreeMap<&str, u64> = BTreeMap::new();
    for (class, vms) in holding.iter().filter(|(class, _)| !class.on_demand) {
        *by_hall.entry(&class.hall).or_default() += vms;
    }
    total - by_hall.values().max().copied().unwrap_or(0)
}

// One entry for each VM that `wanted` has in excess of `held`.
fn shortfall(wanted: &Holding, held: &Holding) -> Vec<VmClass> {
    let lacking_vms = |(class, vms): (&VmClass, &u64)| {
        let lacking = vms.saturating_sub(held.get(class).copied().unwrap_or(0));
        vec![class.clone(); lacking as usize]
    };
    wanted.iter().flat_map(lacking_vms).collect()
}
