//! Number of endpoints for a load, and the cheapest mix of price classes.

/// Sizing with all ordered endpoints present.
const FULL_FLEET: Sizing = Sizing {
    headroom_factor: 4.4,
    max_utilization: 0.5,
};
/// Sizing without reclaimable endpoints, because none are offered or available. The fleet may stay
/// in this state, so it has more headroom than after a loss that is soon repaired.
const ON_DEMAND_ONLY: Sizing = Sizing {
    headroom_factor: 1.1,
    max_utilization: 0.62,
};
/// Sizing of what is left after some halls lost their reclaimable endpoints. Utilizations of 0.62,
/// 0.75, 0.82 and 0.9 were compared: 0.62 costs more than it gains on every day, 0.9 loses credit
/// while all halls are closed (docs/design/hafnarfell-plan.md).
const AFTER_LOSS: Sizing = Sizing {
    headroom_factor: 0.5,
    max_utilization: 0.82,
};
/// On-demand endpoints that are always held, as a fraction of the load: halls can vanish faster
/// than on-demand endpoints boot. Two settings were compared, 0.9 with few reclaimable endpoints
/// and 0.4 with many that are spread over the halls: the latter serves as well and costs less
/// (docs/design/hafnarfell-plan.md). The value was not varied on its own.
const ON_DEMAND_FRACTION: f64 = 0.4;
/// Fraction of the halls with reclaimable endpoints that may lose them before replacements can be
/// ordered and have booted: two of four did so within seconds in the users' recorded days.
const LOST_HALL_FRACTION: f64 = 0.5;

/// Parameters of the number of endpoints for a load.
#[derive(Clone, Copy, Debug)]
struct Sizing {
    // Headroom above the load, in square roots of the load: the random variation of a load is
    // relatively larger when fewer endpoints share it.
    headroom_factor: f64,
    // Maximum utilization of an endpoint. Requests queue at the endpoint that they were sent to, so
    // a large fleet does not balance the load as well as a single queue would.
    max_utilization: f64,
}

impl Sizing {
    // The sizing of one of several regions that share headroom. Their loads vary independently, so
    // the square root applies to the sum of the loads and each region holds its share: each of two
    // equal regions needs 0.7 times the headroom that it would need alone.
    fn shared_between(self, regions: u32) -> Self {
        Sizing {
            headroom_factor: self.headroom_factor / f64::from(regions.max(1)).sqrt(),
            ..self
        }
    }

    fn endpoints_for(self, load: f64) -> u32 {
        let with_headroom = load + self.headroom_factor * load.sqrt();
        with_headroom
            .max(load / self.max_utilization)
            .ceil()
            .max(0.0) as u32
    }

    // The load that a fleet of this size is meant for; the inverse of `endpoints_for`.
    fn load_for(self, endpoints: u32) -> f64 {
        let endpoints = f64::from(endpoints);
        let root = ((self.headroom_factor * self.headroom_factor + 4.0 * endpoints).sqrt()
            - self.headroom_factor)
            / 2.0;
        (root * root).min(endpoints * self.max_utilization)
    }
}

/// The load that a fleet of this size, in one of `regions` regions, is assumed to be meant for
/// while the load is not known.
pub(crate) fn load_for_fleet(endpoints: u32, regions: u32) -> f64 {
    FULL_FLEET.shared_between(regions).load_for(endpoints)
}

/// Number of endpoints required for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Need {
    /// All endpoints.
    pub all: u32,
    /// Endpoints that must be left after some halls lose their reclaimable ones.
    pub after_loss: u32,
    /// Minimum number of on-demand endpoints beside reclaimable ones.
    pub min_on_demand: u32,
    /// Endpoints required when no further loss is expected, as with on-demand ones only.
    pub without_loss: u32,
    // Whether other regions share their headroom.
    shares_headroom: bool,
}

impl Need {
    /// Requirement for a load in one of `regions` regions, given as the number of endpoints that it
    /// keeps fully busy. What must be left after a loss is not shared between regions, because the
    /// link to the others may be full or cut then.
    pub fn for_load(load: f64, regions: u32) -> Self {
        Need {
            all: FULL_FLEET.shared_between(regions).endpoints_for(load),
            after_loss: AFTER_LOSS.endpoints_for(load),
            min_on_demand: ((load * ON_DEMAND_FRACTION).ceil() as u32).max(1),
            without_loss: ON_DEMAND_ONLY.endpoints_for(load),
            shares_headroom: regions > 1,
        }
    }

    /// On-demand endpoints required beside the given reclaimable endpoints in each hall.
    pub fn on_demand_required(self, reclaimable: &[u32]) -> u32 {
        let mut by_size = reclaimable.to_vec();
        by_size.sort_unstable();
        let occupied = by_size.iter().filter(|count| **count > 0).count();
        let kept_halls = by_size.len() as f64 - self.lost_halls(occupied);
        let left_after_loss = sum_of_first(&by_size, kept_halls);
        let all: u32 = by_size.iter().sum();
        let for_loss = self.after_loss.saturating_sub(left_after_loss);
        let for_no_loss = self.without_loss.saturating_sub(all);
        self.min_on_demand.max(for_loss).max(for_no_loss)
    }

    // Number of halls that may vanish, out of those with reclaimable endpoints. Regions that share
    // headroom lose half of all their halls together: with two regions of three halls, that is
    // three of six, whereas rounding up in each region would make it four.
    fn lost_halls(self, occupied: usize) -> f64 {
        let lost = occupied as f64 * LOST_HALL_FRACTION;
        match self.shares_headroom {
            true => lost,
            false => lost.ceil(),
        }
    }

    /// Number of reclaimable endpoints for each of `halls` halls, at most `max_per_hall`, with the
    /// lowest total cost. `price` is the price of a reclaimable endpoint relative to an on-demand
    /// one.
    pub fn reclaimable_per_hall(self, halls: usize, max_per_hall: u32, price: f64) -> u32 {
        let on_demand = |each: u32| self.on_demand_required(&vec![each; halls]);
        let sum = |each: u32| each * halls as u32;
        let cost = |each: u32| f64::from(on_demand(each)) + price * f64::from(sum(each));
        let best = (0..=max_per_hall).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let enough = (0..max_per_hall).find(|each| on_demand(*each) + sum(*each) >= self.all);
        best.unwrap_or(0).max(enough.unwrap_or(max_per_hall))
    }
}

// Sum of the first `count` values; a fractional `count` includes a part of the last one.
fn sum_of_first(counts: &[u32], count: f64) -> u32 {
    let part = |i: usize| (count - i as f64).clamp(0.0, 1.0);
    let parts = counts.iter().enumerate();
    let sum: f64 = parts.map(|(i, count)| f64::from(*count) * part(i)).sum();
    sum as u32
}
