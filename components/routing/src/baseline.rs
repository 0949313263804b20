//! Policies to compare with, kept for measurement.

use rand::{Rng, RngExt};

use crate::endpoint::EndpointState;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Prefix affinity, load, price and reclaim risk.
    #[default]
    Scored,
    /// Any usable endpoint.
    Random,
    /// The endpoint with the fewest requests for its slots.
    LeastLoad,
    /// The less loaded of two random ones.
    TwoChoices,
}

/// Picks among `usable` by a baseline policy; `None` if there is nothing to pick.
pub(crate) fn pick(
    policy: Policy,
    usable: &[u32],
    states: &[EndpointState],
    rng: &mut impl Rng,
) -> Option<u32> {
    let any = |rng: &mut _| usable[RngExt::random_range(rng, 0..usable.len())];
    if usable.is_empty() {
        return None;
    }
    match policy {
        Policy::Scored | Policy::Random => Some(any(rng)),
        Policy::LeastLoad => usable
            .iter()
            .copied()
            .min_by_key(|i| fill(&states[*i as usize])),
        Policy::TwoChoices => {
            let (a, b) = (any(rng), any(rng));
            Some(if fill(&states[a as usize]) <= fill(&states[b as usize]) {
                a
            } else {
                b
            })
        }
    }
}

fn fill(state: &EndpointState) -> u64 {
    u64::from(state.load()) * 1000 / u64::from(state.spec.slots.max(1) as u32)
}
