//! The order in which a gateway asks coordinators of several halls and regions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gateway::{ListedGateway, Peers};
use topology::Topology;

const NOW: Duration = Duration::from_millis(100);

fn address(hall: usize, number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, hall as u8, number], 7600))
}

fn listed(halls: &[&str], hall: usize, number: u8) -> ListedGateway {
    ListedGateway {
        name: format!("{}-{number}", halls[hall]),
        address: address(hall, number),
        hall: halls[hall].to_string(),
        cores_milli: if number < 3 { 500 } else { 120 },
        decisions: Some(address(hall, number)),
    }
}

#[test]
fn a_gateway_asks_its_own_hall_then_its_region_then_other_regions() {
    let halls = ["a1", "a2", "a3", "b1", "b2"];
    let regions = halls.map(|hall| (hall.to_string(), hall[..1].to_string()));
    let mut orders = Vec::new();
    for own in 3..20 {
        let mut peers = Peers::new(listed(&halls, 0, own));
        peers.set_topology(Topology::new("a1", "a", &BTreeMap::from(regions.clone())));
        let all = (0..halls.len()).flat_map(|hall| (0..4).map(move |number| (hall, number)));
        let all = all.map(|(hall, number)| listed(&halls, hall, number));
        peers.apply_list(Duration::ZERO, all);
        let fleet = peers.fleet(NOW);
        assert!(!fleet.decides);
        let hall_of = |asked: &SocketAddr| {
            let hall = (0..halls.len()).find(|hall| (0..4).any(|n| address(*hall, n) == *asked));
            halls[hall.unwrap()]
        };
        let asked: Vec<&str> = fleet.fallback_deciders.iter().map(hall_of).collect();
        assert_eq!(
            asked[..3],
            ["a1"; 3],
            "listed without any message received yet: {asked:?}"
        );
        assert!(asked[3..5].iter().all(|hall| ["a2", "a3"].contains(hall)));
        assert!(asked[5..].iter().all(|hall| hall.starts_with('b')));
        assert_eq!(fleet.far_deciders, fleet.fallback_deciders[5..]);
        orders.push(asked);
    }
    orders.dedup();
    assert!(orders.len() > 1, "all gateways ask in the same order");
}
