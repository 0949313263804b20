//! Parts of the links between regions that gateways take by their settings.

use std::collections::BTreeMap;

use gateway::link_parts;
use quickcheck::quickcheck;
use topology::Topology;

/// Gateways of a hall that decide for the others.
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
    // Every hall with all its coordinators, and every other gateway deciding alone at the same time.
    fn all_gateways_of_two_regions_take_no_more_than_half_of_their_link(
        halls: (u8, u8, u8), in_each: u8, kbit: u32
    ) -> bool {
        let halls = [halls.0, halls.1, halls.2].map(|count| usize::from(count % 11) + 1);
        let kbit = u64::from(kbit) + 1;
        let gateways = (halls[0] + halls[1]) * (usize::from(in_each) + COORDINATORS);
        let taken = |own: usize, other: usize| {
            let topology = topology(own, &halls);
            let part = |decides| {
                link_parts(&topology, kbit, decides, gateways)[&format!("r{other}")]
            };
            let coordinators = (halls[own] * COORDINATORS) as f64;
            let alone = (halls[own] * usize::from(in_each)) as f64;
            part(true) * coordinators + part(false) * alone
        };
        let carried = kbit as f64 * 125.0;
        taken(0, 1) + taken(1, 0) <= carried / 2.0 * (1.0 + 1e-9)
    }
}

#[test]
fn hearing_nobody_makes_no_coordinators_part_larger() {
    let topology = topology(0, &[3, 3]);
    let parts = |gateways| link_parts(&topology, 60_000, true, gateways);
    assert_eq!(parts(70), parts(1));
}

#[test]
fn without_a_known_rate_or_another_region_nothing_is_bounded() {
    assert!(link_parts(&topology(0, &[3, 3]), 0, true, 70).is_empty());
    assert!(link_parts(&topology(0, &[3]), 60_000, true, 70).is_empty());
}
