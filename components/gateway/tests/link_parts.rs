//! Parts of the bandwidth between regions that each gateway may use.

use std::collections::BTreeMap;

use gateway::link_parts;
use quickcheck::quickcheck;
use topology::Topology;

/// Coordinators of each hall.
const COORDINATORS: usize = 3;

fn topology(own: usize, halls: &[usize]) -> Topology {
    let regions = halls.iter().enumerate();
    let names = regions.flat_map(|(region, count)| {
        (0..*count).map(move |hall| (format!("{region}-{hall}"), format!("r{region}")))
    });
    let names: BTreeMap<String, String> = names.collect();
    Topology::new(&format!("{own}-0"), &format!("r{own}"), &names)
}

quickcheck! {
    // The worst case: all coordinators of every hall and every other gateway deciding alone at the same time.
    fn parts_of_all_gateways_of_two_regions_sum_to_at_most_half_of_their_link(
        halls: (u8, u8, u8), others_per_hall: u8, kbit: u32
    ) -> bool {
        let halls = [halls.0, halls.1, halls.2].map(|count| usize::from(count % 11) + 1);
        let kbit = u64::from(kbit) + 1;
        let gateways = (halls[0] + halls[1]) * (usize::from(others_per_hall) + COORDINATORS);
        let parts_sum = |own: usize, other: usize| {
            let topology = topology(own, &halls);
            let part = |decides| {
                link_parts(&topology, kbit, decides, gateways)[&format!("r{other}")]
            };
            let coordinators = (halls[own] * COORDINATORS) as f64;
            let alone = (halls[own] * usize::from(others_per_hall)) as f64;
            part(true) * coordinators + part(false) * alone
        };
        let link_bytes_per_s = kbit as f64 * 125.0;
        parts_sum(0, 1) + parts_sum(1, 0) <= link_bytes_per_s / 2.0 * (1.0 + 1e-9)
    }
}

#[test]
fn the_part_of_a_coordinator_does_not_depend_on_the_known_gateways() {
    let topology = topology(0, &[3, 3]);
    let parts = |gateways| link_parts(&topology, 60_000, true, gateways);
    assert_eq!(parts(70), parts(1));
}

#[test]
fn there_are_no_parts_without_a_link_rate_or_another_region() {
    assert!(link_parts(&topology(0, &[3, 3]), 0, true, 70).is_empty());
    assert!(link_parts(&topology(0, &[3]), 60_000, true, 70).is_empty());
}
