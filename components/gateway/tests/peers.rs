//! What a gateway knows of the other gateways.

use std::net::SocketAddr;
use std::time::Duration;

use gateway::{has_started_recently, ListedGateway, PeerStatus, Peers, Receipt};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn greeting(name: &str, incarnation: i64, sequence: i64) -> PeerStatus {
    PeerStatus {
        name: name.into(),
        address: address(2),
        hall: format!("hall of {name}"),
        cores_milli: 250,
        incarnation,
        sequence,
        reaches_store: true,
        is_coordinator: true,
        decisions: None,
        hall_count: None,
        gateways: None,
        preferred_coordinator: None,
        keeps_accounts: true,
        has_lost_paths: false,
        relays: Vec::new(),
    }
}

fn listed(port: u16) -> ListedGateway {
    ListedGateway {
        name: format!("g{port}"),
        address: address(port),
        hall: format!("hall of g{port}"),
        cores_milli: 250,
        decisions: None,
    }
}

fn peers() -> Peers {
    Peers::new(listed(1))
}

fn peers_of(name: &str) -> Peers {
    Peers::new(ListedGateway {
        name: name.into(),
        hall: format!("hall of {name}"),
        ..listed(1)
    })
}

#[test]
fn a_gateway_without_known_peers_assumes_a_live_part_of_at_most_one_percent() {
    assert!(peers().count(ms(0)).live_part() <= 0.01);
}

// Guards against a part of a shared limit that follows from an assumed number of gateways.
#[test]
fn an_assumed_count_of_gateways_is_not_reported_as_counted() {
    let mut peers = peers();
    assert!(!peers.fleet(ms(0)).is_counted);
    peers.set_halls(["hall of g1", "hall of g2"].into());
    peers.apply_hall_list(ms(100), "hall of g1", std::iter::empty());
    assert!(!peers.fleet(ms(200)).is_counted);
    peers.apply_hall_list(ms(300), "hall of g2", [listed(2)].into_iter());
    assert!(peers.fleet(ms(400)).is_counted);
    // The list was read, so what was counted stays known when the other gateway falls silent.
    assert!(peers.fleet(ms(30_000)).is_counted);
}

// Guards against a gateway that is counted twice, by its name and by an address that it was reached at before.
#[test]
fn a_count_with_addresses_of_unknown_gateways_is_not_reported_as_counted() {
    let mut peers = peers();
    peers.add_address(ms(0), address(9));
    assert_eq!(
        peers.receive(ms(0), greeting("g2", 1, 1)),
        Receipt::Accepted
    );
    assert!(!peers.fleet(ms(100)).is_counted);
    peers.apply_list(ms(200), [listed(2)].into_iter());
    assert!(peers.fleet(ms(300)).is_counted);
}

#[test]
fn listed_gateways_without_a_message_yet_count_as_possibly_running() {
    let mut peers = peers();
    peers.apply_list(ms(0), (1..=8).map(listed));
    assert_eq!(peers.count(ms(0)).live_part(), 1.0 / 8.0);
    peers.receive(ms(1), greeting("b", 1, 1));
    assert_eq!(peers.count(ms(1)).live_part(), 2.0 / 8.0);
}

#[test]
fn an_address_without_a_known_gateway_counts_only_until_the_list_of_the_store_is_read() {
    let mut peers = peers();
    peers.add_address(ms(0), address(9));
    peers.receive(ms(1), greeting("b", 1, 1));
    assert_eq!(peers.count(ms(1)).silent, 1);
    peers.apply_list(ms(2), [listed(1), listed(2)].into_iter());
    assert_eq!(peers.count(ms(2)).silent, 0);
}

#[test]
fn the_address_of_a_known_live_gateway_does_not_count_as_another_gateway() {
    let mut peers = peers();
    peers.receive(ms(0), greeting("b", 1, 1));
    peers.add_address(ms(1), address(2));
    assert_eq!(peers.count(ms(1)).live_part(), 1.0);
}

#[test]
fn the_only_listed_gateway_has_the_whole_live_part() {
    let mut peers = peers();
    peers.apply_list(ms(0), [listed(1)].into_iter());
    assert_eq!(peers.count(ms(0)).live_part(), 1.0);
}

#[test]
fn a_lower_incarnation_is_accepted_once_the_higher_one_is_silent() {
    let mut peers = peers();
    peers.receive(ms(0), greeting("b", 2_400_000, 9));
    assert_eq!(peers.receive(ms(100), greeting("b", 5, 1)), Receipt::Stale);
    assert_eq!(
        peers.receive(ms(2000), greeting("b", 5, 2)),
        Receipt::Accepted
    );
    assert_eq!(peers.receive(ms(2001), greeting("b", 5, 2)), Receipt::Stale);
    assert_eq!(
        peers.receive(ms(2100), greeting("b", 5, 3)),
        Receipt::Accepted
    );
}

#[test]
fn reports_of_a_process_of_similar_uptime_are_recent_and_of_a_much_older_one_are_not() {
    assert!(has_started_recently(ms(500), ms(900)));
    assert!(!has_started_recently(ms(500), ms(60_000)));
}

#[test]
fn all_gateways_agree_on_which_of_those_that_reach_the_store_poll_it() {
    let names = ["a", "b", "c", "d"];
    let polls = |own: &str, unreachable: Option<&str>| {
        let mut peers = peers_of(own);
        for name in names.iter().filter(|name| **name != own) {
            let reaches_store = unreachable != Some(name);
            let greeting = greeting(name, 1, 1);
            peers.receive(
                ms(0),
                PeerStatus {
                    reaches_store,
                    ..greeting
                },
            );
        }
        peers.is_among_first_coordinators(ms(1), 2)
    };
    let first: Vec<&str> = names.into_iter().filter(|n| polls(n, None)).collect();
    assert_eq!(first.len(), 2);
    let lost = first[0];
    let others = names.into_iter().filter(|name| *name != lost);
    let after: Vec<&str> = others.filter(|name| polls(name, Some(lost))).collect();
    assert_eq!(after.len(), 2);
}

#[test]
fn a_holder_that_gave_up_the_lease_does_not_count_as_alive_and_the_next_one_does() {
    let at = Duration::from_secs;
    let long = Duration::from_secs(10);
    let mut peers = peers();
    peers.receive_lease(at(1), 7, address(2));
    assert!(peers.is_holder_alive(at(2), long));
    peers.receive_give_up(at(2), 7);
    assert!(!peers.is_holder_alive(at(2), long));
    assert!(peers.was_given_up_within(at(3), at(2)));
    // Old gossip about the same holder changes nothing.
    peers.receive_lease(at(3), 7, address(2));
    assert!(!peers.is_holder_alive(at(3), long));
    peers.receive_lease(at(4), 8, address(2));
    peers.receive_give_up(at(4), 7);
    assert!(peers.is_holder_alive(at(4), long));
}
