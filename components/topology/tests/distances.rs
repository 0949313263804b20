//! Tests the distances between halls and regions.

use std::collections::BTreeMap;

use topology::{Distance, Topology};

fn two_regions() -> Topology {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions: BTreeMap<String, String> = regions
        .into_iter()
        .map(|(hall, region)| (hall.to_string(), region.to_string()))
        .collect();
    Topology::new("a1", "a", &regions)
}

#[test]
fn the_distance_of_a_hall_follows_from_its_region() {
    let topology = two_regions();
    assert_eq!(topology.distance("a1"), Distance::SameHall);
    assert_eq!(topology.distance("a2"), Distance::SameRegion);
    assert_eq!(topology.distance("b1"), Distance::OtherRegion);
    assert!(topology.has_several_regions());
    assert_eq!(
        topology.halls_of("b").into_iter().collect::<Vec<_>>(),
        ["b1"]
    );
}

#[test]
fn a_hall_missing_from_the_settings_counts_as_part_of_the_own_region() {
    assert_eq!(two_regions().distance("new"), Distance::SameRegion);
}

#[test]
fn without_a_list_of_halls_there_is_one_region() {
    let topology = Topology::new("a1", "", &BTreeMap::new());
    assert_eq!(topology.distance("b1"), Distance::SameRegion);
    assert!(!topology.has_several_regions());
}
