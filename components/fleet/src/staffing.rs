//! How many endpoints carry a load, and which mix of price classes does it at the least cost.

/// Endpoints when all that was ordered is there.
const ROOMY: Staffing = Staffing {
    spare: 4.4,
    utilization: 0.5,
};
/// Endpoints where no reclaimable ones are offered, or none are to be had: a state to stay in, not one to
/// get over.
const ALONE: Staffing = Staffing {
    spare: 1.1,
    utilization: 0.62,
};
/// Endpoints that are left when reclaimable ones of some halls vanish. Of 0.62, 0.75, 0.82 and 0.9 the first costs
/// more than it brings on each day, the last loses credit while all halls are closed (docs/design/hafnarfell-plan.md).
const SCARCE: Staffing = Staffing {
    spare: 0.5,
    utilization: 0.82,
};
/// On-demand endpoints that are held whatever happens, in parts of the load: halls can vanish faster than
/// on-demand endpoints boot. Tried at 0.9 with few reclaimable ones and at 0.4 with many spread ones: the latter
/// serves as well and is cheaper (docs/design/hafnarfell-plan.md); not swept by itself.
const FIRM_PART: f64 = 0.4;
/// Halls whose reclaimable endpoints may vanish before others can be ordered and have booted, of all that
/// hold some: two of four did so within seconds on days of the users' sheets.
const LOST_PART: f64 = 0.5;

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
    // The same for one of several regions that lend each other room: loads scatter apart from each other, so the
    // square root is that of the whole load, and each region holds its part of it. Two regions
    // of the same load hold 0.7 of what each would need alone.
    fn lent_between(self, regions: u32) -> Self {
        Staffing {
            spare: self.spare / f64::from(regions.max(1)).sqrt(),
            ..self
        }
    }

    fn endpoints(self, load: f64) -> u32 {
        let by_scatter = load + self.spare * load.sqrt();
        by_scatter.max(load / self.utilization).ceil().max(0.0) as u32
    }

    // The load that a fleet of this size is for.
    fn load(self, endpoints: u32) -> f64 {
        let endpoints = f64::from(endpoints);
        let root = ((self.spare * self.spare + 4.0 * endpoints).sqrt() - self.spare) / 2.0;
        (root * root).min(endpoints * self.utilization)
    }
}

/// The load that a fleet of this size in one of so many regions is taken to be for while none is known.
pub(crate) fn load_of_fleet(endpoints: u32, regions: u32) -> f64 {
    ROOMY.lent_between(regions).load(endpoints)
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
    pub alone: u32,
    // Whether other regions lend room.
    lent: bool,
}

impl Need {
    /// What a load of one of so many regions asks for, which is given in endpoints that would be busy all the time.
    /// What must be left after a loss is each region's own: the link to the others may be full or cut then.
    pub fn of(load: f64, regions: u32) -> Self {
        Need {
            all: ROOMY.lent_between(regions).endpoints(load),
            after_loss: SCARCE.endpoints(load),
            firm: ((load * FIRM_PART).ceil() as u32).max(1),
            alone: ALONE.endpoints(load),
            lent: regions > 1,
        }
    }

    /// On-demand endpoints needed beside these reclaimable ones, given by hall.
    pub fn firm_beside(self, reclaimable: &[u32]) -> u32 {
        let mut by_size = reclaimable.to_vec();
        by_size.sort_unstable();
        let holding = by_size.iter().filter(|count| **count > 0).count();
        let kept = by_size.len() as f64 - self.lost(holding);
        let left = sum_of_first(&by_size, kept);
        let all: u32 = by_size.iter().sum();
        let for_loss = self.after_loss.saturating_sub(left);
        let for_now = self.alone.saturating_sub(all);
        self.firm.max(for_loss).max(for_now)
    }

    // Halls that may vanish of those that hold some. Regions that lend each other room lose halves of all their halls
    // together: of two regions of three halls three of six, where two of three in both at once would be four.
    fn lost(self, holding: usize) -> f64 {
        let lost = holding as f64 * LOST_PART;
        match self.lent {
            true => lost,
            false => lost.ceil(),
        }
    }

    /// Reclaimable endpoints in each of `halls` halls, at most `most`, that make the whole cheapest.
    /// One costs `price` of an on-demand one.
    pub fn reclaimable_each(self, halls: usize, most: u32, price: f64) -> u32 {
        let firm = |each: u32| self.firm_beside(&vec![each; halls]);
        let sum = |each: u32| each * halls as u32;
        let cost = |each: u32| f64::from(firm(each)) + price * f64::from(sum(each));
        let best = (0..=most).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let enough = (0..most).find(|each| firm(*each) + sum(*each) >= self.all);
        best.unwrap_or(0).max(enough.unwrap_or(most))
    }
}

// Sum of the first so many counts, with a part of the last one.
fn sum_of_first(counts: &[u32], count: f64) -> u32 {
    let part = |i: usize| (count - i as f64).clamp(0.0, 1.0);
    let parts = counts.iter().enumerate();
    let sum: f64 = parts.map(|(i, count)| f64::from(*count) * part(i)).sum();
    sum as u32
}
