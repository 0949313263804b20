//! How many VMs of which price class to hold in which data hall.
//!
//! The firm part of a pool must survive the loss of any one data hall; the rest is bought where it
//! is cheapest. Changes wait for a margin, so that prices do not make the fleet thrash.

use std::collections::BTreeMap;
use std::time::Duration;

/// Saving, in thousandths of the price, below which a VM is not exchanged for a cheaper one.
const EXCHANGE_FROM_MILLI: u64 = 150;
/// First pause after a refused start; it doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause after a refused start.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// How long more VMs than needed must be held before one is given back.
const SURPLUS_FOR: Duration = Duration::from_secs(120);

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
pub struct Bid {
    /// Data hall.
    pub hall: String,
    /// Whether on demand.
    pub on_demand: bool,
}

/// VMs held, by hall and class.
pub type Holding = BTreeMap<Bid, u64>;

/// One change to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Buy one VM.
    Buy(Bid),
    /// Give one VM back.
    GiveBack(Bid),
}

/// The cheapest holding that keeps `firm` VMs after the loss of any one hall, and `all` without
/// a loss. Reclaimable VMs of a hall go together, so a hall counts as lost whole.
pub fn plan_holding(need: PoolNeed, offers: &[HallOffer]) -> Holding {
    let mut ordered: Vec<&HallOffer> = offers.iter().collect();
    ordered.sort_by_key(|o| (cost(o, need), o.hall.clone()));
    let best = (1..=ordered.len())
        .map(|halls| spread(need, &ordered[..halls]))
        .min_by_key(|holding| price(holding, offers, need));
    best.unwrap_or_default()
}

// An equal spread over the cheapest halls: losing one of h halls leaves (h - 1) / h of it.
fn spread(need: PoolNeed, halls: &[&HallOffer]) -> Holding {
    let count = halls.len() as u64;
    let for_loss = match count {
        0 | 1 => 0,
        count => (need.firm * count).div_ceil(count - 1),
    };
    let total = need.all.max(for_loss);
    let mut holding = Holding::new();
    for (i, offer) in halls.iter().enumerate() {
        let share = total / count + u64::from((i as u64) < total % count);
        let bid = Bid {
            hall: offer.hall.clone(),
            on_demand: false,
        };
        holding.insert(bid, share);
    }
    if count == 1 {
        // One hall alone: the firm part must not be reclaimable.
        let bid = |on_demand| Bid {
            hall: halls[0].hall.clone(),
            on_demand,
        };
        holding.insert(bid(true), need.firm);
        holding.insert(bid(false), need.all.saturating_sub(need.firm));
    }
    holding.retain(|_, vms| *vms > 0);
    holding
}

fn cost(offer: &HallOffer, need: PoolNeed) -> u64 {
    offer.reclaimable_milli + offer.reclaims_milli * need.reclaim_cost_milli / 1000
}

fn price(holding: &Holding, offers: &[HallOffer], need: PoolNeed) -> u64 {
    let each = |bid: &Bid| {
        let offer = offers.iter().find(|o| o.hall == bid.hall);
        offer.map_or(u64::MAX / 1_000_000, |o| match bid.on_demand {
            true => o.on_demand_milli,
            false => cost(o, need),
        })
    };
    holding.iter().map(|(bid, vms)| each(bid) * vms).sum()
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Duration,
    pause: Duration,
}

/// Turns the difference between wanted and held VMs into changes, with pauses and margins.
#[derive(Debug, Default)]
pub struct HoldingPlanner {
    refused: BTreeMap<Bid, Refusal>,
    surplus_since: Option<Duration>,
}

impl HoldingPlanner {
    /// Notes that a start was refused.
    pub fn refused(&mut self, now: Duration, bid: &Bid) {
        let pause = self
            .refused
            .get(bid)
            .map_or(FIRST_PAUSE, |r| (r.pause * 2).min(MAX_PAUSE));
        let until = now + pause;
        self.refused.insert(bid.clone(), Refusal { until, pause });
    }

    /// Notes that a start succeeded.
    pub fn started(&mut self, bid: &Bid) {
        self.refused.remove(bid);
    }

    /// The changes to make now: starts first, and a VM is given back only once the rest stands.
    pub fn changes(
        &mut self,
        now: Duration,
        need: PoolNeed,
        offers: &[HallOffer],
        held: &Holding,
    ) -> Vec<Change> {
        let open: Vec<HallOffer> = offers
            .iter()
            .filter(|o| self.is_open(now, o))
            .cloned()
            .collect();
        let wanted = plan_holding(need, &open);
        let buys = missing(&wanted, held);
        let total: u64 = held.values().sum();
        let enough = total >= wanted.values().sum();
        if !enough {
            self.surplus_since = None;
            return buys.into_iter().map(Change::Buy).collect();
        }
        self.settle(now, need, offers, held, &wanted)
    }

    fn is_open(&self, now: Duration, offer: &HallOffer) -> bool {
        let bid = Bid {
            hall: offer.hall.clone(),
            on_demand: false,
        };
        self.refused.get(&bid).is_none_or(|r| now >= r.until)
    }

    // Enough is held, perhaps not in the wanted places.
    fn settle(
        &mut self,
        now: Duration,
        need: PoolNeed,
        offers: &[HallOffer],
        held: &Holding,
        wanted: &Holding,
    ) -> Vec<Change> {
        let extra = missing(held, wanted);
        let buys = missing(wanted, held);
        let (now_price, then_price) = (price(held, offers, need), price(wanted, offers, need));
        let saves = now_price * (1000 - EXCHANGE_FROM_MILLI) > then_price * 1000;
        let exposed = survivors(held) < need.firm && survivors(wanted) >= need.firm;
        if extra.is_empty() || !(saves || exposed) {
            self.surplus_since = None;
            return Vec::new();
        }
        if exposed && !buys.is_empty() {
            return buys.into_iter().map(Change::Buy).collect();
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < SURPLUS_FOR {
            return Vec::new();
        }
        match buys.first() {
            Some(bid) => vec![Change::Buy(bid.clone())],
            None => extra
                .first()
                .cloned()
                .map(Change::GiveBack)
                .into_iter()
                .collect(),
        }
    }
}

// VMs left when the hall with the most reclaimable ones is lost.
fn survivors(holding: &Holding) -> u64 {
    let total: u64 = holding.values().sum();
    let mut by_hall: BTreeMap<&str, u64> = BTreeMap::new();
    for (bid, vms) in holding.iter().filter(|(bid, _)| !bid.on_demand) {
        *by_hall.entry(&bid.hall).or_default() += vms;
    }
    total - by_hall.values().max().copied().unwrap_or(0)
}

// One bid for each VM that `wanted` has more than `held`.
fn missing(wanted: &Holding, held: &Holding) -> Vec<Bid> {
    let lack = |(bid, vms): (&Bid, &u64)| {
        let lacking = vms.saturating_sub(held.get(bid).copied().unwrap_or(0));
        vec![bid.clone(); lacking as usize]
    };
    wanted.iter().flat_map(lack).collect()
}
