//! This gateway's parts of the links between regions. Pure.

use std::collections::BTreeMap;

use limits::{link_part_bytes_per_s, Decider};
use topology::Topology;

use crate::peers::COORDINATORS_PER_HALL;

/// Bytes a second by other region, of links that carry `kbit` kilobits a second each way; none where that is not known:
/// then only the way itself is weighed. `gateways` are the most that were ever known: those that fell silent may be
/// alone as well.
pub fn link_parts(
    topology: &Topology,
    kbit: u64,
    decides: bool,
    gateways: usize,
) -> BTreeMap<String, f64> {
    if kbit == 0 {
        return BTreeMap::new();
    }
    let regions = topology.regions().into_iter();
    let others = regions.filter(|region| *region != topology.region());
    let part = |region: &str| {
        let decider = match decides {
            true => Decider::Coordinator(most_coordinators(topology, region)),
            false => Decider::Alone(gateways),
        };
        link_part_bytes_per_s(kbit, decider)
    };
    others
        .map(|region| (region.to_string(), part(region)))
        .collect()
}

// Coordinators of both regions if every hall has all of its own, heard or not: a number that does not fall while the
// regions do not hear each other.
fn most_coordinators(topology: &Topology, region: &str) -> usize {
    let halls = topology.halls_of(topology.region()).len() + topology.halls_of(region).len();
    halls * COORDINATORS_PER_HALL
}
