//! How many endpoints carry a load, and which mix of price classes does it at the least cost.

/// Endpoints when all that was ordered is there.
const FULL_FLEET: Sizing = Sizing {
    headroom_factor: 4.4,
    max_utilization: 0.5,
};
/// Endpoints where no reclaimable ones are offered, or none are to be had: a state to stay in, not one to
/// get over.
const ON_DEMAND_ONLY: Sizing = Sizing {
    headroom_factor: 1.1,
    max_utilization: 0.62,
};
/// Endpoints that are left when reclaimable ones of some halls vanish. Of 0.62, 0.75, 0.82 and 0.9 the first costs
/// more than it brings on each day, the last loses credit while all halls are closed (docs/design/hafnarfell-plan.md).
const AFTER_LOSS: Sizing = Sizing {
    headroom_factor: 0.5,
    max_utilization: 0.82,
};
/// On-demand endpoints that are held whatever happens, in parts of the load: halls can vanish faster than
/// on-demand endpoints boot. Tried at 0.9 with few reclaimable ones and at 0.4 with many spread ones: the latter
/// serves as well and is cheaper (docs/design/hafnarfell-plan.md); not swept by itself.
const FIRM_FRACTION: f64 = 0.4;
/// Halls whose reclaimable endpoints may vanish before others can be ordered and have booted, of all that
/// hold some: two of four did so within seconds on days of the users' sheets.
const LOST_HALL_FRACTION: f64 = 0.5;

/// How many endpoints carry a load.
#[derive(Clone, Copy, Debug)]
struct Sizing {
    // Endpoints beside the load, in square roots of it: the fewer endpoints share the load, the more
    // of them stand free for its scatter.
    headroom_factor: f64,
    // Most part of each endpoint's time that is used: requests wait at the endpoint they were sent
    // to, so a large fleet does not even the load out as one queue would.
    max_utilization: f64,
}

impl Sizing {
    // The same for one of several regions that lend each other room: loads scatter apart from each other, so the
    // square root is that of the whole load, and each region holds its part of it. Two regions
    // of the same load hold 0.7 of what each would need alone.
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

    // The load that a fleet of this size is for.
    fn load_for(self, endpoints: u32) -> f64 {
        let endpoints = f64::from(endpoints);
        let root = ((self.headroom_factor * self.headroom_factor + 4.0 * endpoints).sqrt()
            - self.headroom_factor)
            / 2.0;
        (root * root).min(endpoints * self.max_utilization)
    }
}

/// The load that a fleet of this size in one of so many regions is taken to be for while none is known.
pub(crate) fn load_for_fleet(endpoints: u32, regions: u32) -> f64 {
    FULL_FLEET.shared_between(regions).load_for(endpoints)
}

/// What a load asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Need {
    /// Endpoints in all.
    pub all: u32,
    /// Endpoints that must be left when the reclaimable ones of some halls vanish.
    pub after_loss: u32,
    /// On-demand endpoints beside reclaimable ones.
    pub firm: u32,
    /// Endpoints where no more are to be lost.
    pub without_loss: u32,
    // Whether other regions lend room.
    shares_headroom: bool,
}

impl Need {
    /// What a load of one of so many regions asks for, which is given in endpoints that would be busy all the time.
    /// What must be left after a loss is each region's own: the link to the others may be full or cut then.
    pub fn for_load(load: f64, regions: u32) -> Self {
        Need {
            all: FULL_FLEET.shared_between(regions).endpoints_for(load),
            after_loss: AFTER_LOSS.endpoints_for(load),
            firm: ((load * FIRM_FRACTION).ceil() as u32).max(1),
            without_loss: ON_DEMAND_ONLY.endpoints_for(load),
            shares_headroom: regions > 1,
        }
    }

    /// On-demand endpoints needed beside these reclaimable ones, given by hall.
    pub fn firm_required(self, reclaimable: &[u32]) -> u32 {
        let mut by_size = reclaimable.to_vec();
        by_size.sort_unstable();
        let occupied = by_size.iter().filter(|count| **count > 0).count();
        let kept_halls = by_size.len() as f64 - self.lost_halls(occupied);
        let left_after_loss = sum_of_first(&by_size, kept_halls);
        let all: u32 = by_size.iter().sum();
        let for_loss = self.after_loss.saturating_sub(left_after_loss);
        let for_no_loss = self.without_loss.saturating_sub(all);
        self.firm.max(for_loss).max(for_no_loss)
    }

    // Halls that may vanish of those that hold some. Regions that lend each other room lose halves of all their halls
    // together: of two regions of three halls three of six, where two of three in both at once would be four.
    fn lost_halls(self, occupied: usize) -> f64 {
        let lost = occupied as f64 * LOST_HALL_FRACTION;
        match self.shares_headroom {
            true => lost,
            false => lost.ceil(),
        }
    }

    /// Reclaimable endpoints in each of `halls` halls, at most `most`, that make the whole cheapest.
    /// One costs `price` of an on-demand one.
    pub fn reclaimable_per_hall(self, halls: usize, max_per_hall: u32, price: f64) -> u32 {
        let firm = |each: u32| self.firm_required(&vec![each; halls]);
        let sum = |each: u32| each * halls as u32;
        let cost = |each: u32| f64::from(firm(each)) + price * f64::from(sum(each));
        let best = (0..=max_per_hall).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let enough = (0..max_per_hall).find(|each| firm(*each) + sum(*each) >= self.all);
        best.unwrap_or(0).max(enough.unwrap_or(max_per_hall))
    }
}

// Sum of the first so many counts, with a part of the last one.
fn sum_of_first(counts: &[u32], count: f64) -> u32 {
    let part = |i: usize| (count - i as f64).clamp(0.0, 1.0);
    let parts = counts.iter().enumerate();
    let sum: f64 = parts.map(|(i, count)| f64::from(*count) * part(i)).sum();
    sum as u32
}
