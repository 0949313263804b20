//! Routing policies, including simple baselines for benchmarks.

use rand::{Rng, RngExt};

use crate::endpoint::EndpointState;

/// Policy by which an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Lowest score by prefix affinity, load, price and reclaim risk.
    #[default]
    Scored,
    /// A usable endpoint at random.
    Random,
    /// The endpoint with the fewest requests per slot.
    LeastLoad,
    /// The less loaded of two random endpoints.
    TwoChoices,
}

/// Picks one of `usable`, given as positions in `states`; `None` if it is empty.
pub(crate) fn pick(
    policy: Policy,
    usable: &[u32],
    states: &[EndpointState],
    rng: &mut impl Rng,
) -> Option<u32> {
    let random = |rng: &mut _| usable[RngExt::random_range(rng, 0..usable.len())];
    if usable.is_empty() {
        return None;
    }
    match policy {
        Policy::Scored | Policy::Random => Some(random(rng)),
        Policy::LeastLoad => usable
            .iter()
            .copied()
            .min_by_key(|i| load_per_slot_milli(&states[*i as usize])),
        Policy::TwoChoices => {
            let (a, b) = (random(rng), random(rng));
            Some(
                if load_per_slot_milli(&states[a as usize])
                    <= load_per_slot_milli(&states[b as usize])
                {
                    a
                } else {
                    b
                },
            )
        }
    }
}

fn load_per_slot_milli(state: &EndpointState) -> u64 {
    u64::from(state.load()) * 1000 / u64::from(state.spec.slots.max(1) as u32)
}
