//! This gateway's parts of the links between regions. No I/O.

use std::collections::BTreeMap;

use limits::{link_part_bytes_per_s, Decider};
use topology::Topology;

use crate::peers::COORDINATORS_PER_HALL;

/// Bytes per second by other region, for links of `kbit` kilobits per second in each direction; empty if that
/// is 0 (not known), and then only the round trip counts as cost. `gateways` is the largest number ever known:
/// gateways that are no longer received may also be deciding alone.
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

// Number of coordinators of both regions if each hall has its full number, whether they are received or not.
// The number does not fall while the regions are disconnected.
fn most_coordinators(topology: &Topology, region: &str) -> usize {
    let halls = topology.halls_of(topology.region()).len() + topology.halls_of(region).len();
    halls * COORDINATORS_PER_HALL
}
