//! What a gateway concludes from its connects and answers.

use std::net::SocketAddr;
use std::time::Duration;

use reachability::{Paths, PlacedEndpoints, Relays};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + number))
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_failed_connect_casts_doubt_on_one_path_until_its_next_handshake() {
    let mut paths = Paths::default();
    paths.record_failed(ms(100), "a", address(1));
    assert!(paths.is_doubted(ms(200), address(1)));
    assert!(!paths.is_doubted(ms(200), address(2)));
    paths.record_connected(ms(300), "a", address(1));
    assert!(!paths.is_doubted(ms(300), address(1)));
}

#[test]
fn all_paths_are_lost_only_when_several_endpoints_failed_since_the_last_proof() {
    let mut paths = Paths::default();
    paths.record_received(ms(0), "a");
    paths.record_failed(ms(100), "a", address(1));
    paths.record_failed(ms(110), "a", address(1));
    paths.record_failed(ms(120), "a", address(2));
    assert!(!paths.are_all_lost(ms(150)));
    paths.record_failed(ms(160), "a", address(3));
    assert!(paths.are_all_lost(ms(170)));
    // An endpoint of another hall answers: the others have faults of their own.
    paths.record_received(ms(180), "b");
    assert!(!paths.are_all_lost(ms(190)));
}

// Guards against writing a request on a connection that looks open on a dead path.
#[test]
fn an_idle_connection_is_reused_only_while_its_path_is_proven() {
    let mut paths = Paths::default();
    paths.record_connected(ms(0), "a", address(1));
    assert!(paths.can_reuse(ms(900), "a", address(1), ms(900)));
    assert!(!paths.can_reuse(ms(1100), "a", address(1), ms(1100)));
    paths.record_received(ms(1000), "a");
    assert!(paths.can_reuse(ms(1100), "a", address(1), ms(1100)));
    assert!(!paths.can_reuse(ms(1100), "b", address(9), ms(1100)));
    paths.record_failed(ms(1100), "a", address(1));
    assert!(!paths.can_reuse(ms(1100), "a", address(1), ms(1100)));
}

#[test]
fn relays_that_failed_lately_are_tried_last() {
    let mut relays = Relays::default();
    relays.set_candidates(ms(0), vec![address(1), address(2), address(3)]);
    relays.record_failed(ms(10), address(1));
    relays.record_failed(ms(20), address(2));
    let order = relays.order(ms(30));
    assert_eq!(order, [address(3), address(1), address(2)]);
    assert_eq!(relays.order(ms(1500))[0], address(1));
    relays.record_opened(address(2));
    assert_eq!(relays.order(ms(30)), [address(2), address(3), address(1)]);
}

// Guards against using another gateway for as long as connections through it stay open, after the own path is back.
#[test]
fn a_doubted_path_is_probed_each_second_while_requests_go_another_way() {
    let mut paths = Paths::default();
    paths.record_failed(ms(0), "a", address(1));
    assert_eq!(paths.next_probe(ms(1500)), None);
    paths.record_relayed(ms(1500), address(1));
    assert_eq!(paths.next_probe(ms(1500)), Some(("a".into(), address(1))));
    assert_eq!(paths.next_probe(ms(2000)), None);
    paths.record_failed(ms(2000), "a", address(1));
    assert_eq!(paths.next_probe(ms(2900)), None);
    assert!(paths.next_probe(ms(3000)).is_some());
    paths.record_connected(ms(3100), "a", address(1));
    assert_eq!(paths.next_probe(ms(4200)), None);
}

#[test]
fn an_endpoint_is_known_for_a_minute_after_a_request_was_placed_there() {
    let mut placed = PlacedEndpoints::default();
    placed.record(ms(0), "a", address(1));
    placed.record(ms(30_000), "a", address(1));
    assert_eq!(placed.hall_at(ms(89_999), address(1)), Some("a"));
    assert_eq!(placed.hall_at(ms(90_000), address(1)), None);
    assert_eq!(placed.hall_at(ms(0), address(2)), None);
}

// Guards against closing the connections through a relay each time that a coordinator names others.
#[test]
fn connections_through_a_relay_are_used_until_it_was_no_candidate_for_three_seconds() {
    let mut relays = Relays::default();
    relays.set_candidates(ms(0), vec![address(1)]);
    relays.set_candidates(ms(500), vec![address(2)]);
    assert!(relays.can_reuse(ms(3499), address(1)));
    assert!(!relays.can_reuse(ms(3500), address(1)));
    assert!(relays.can_reuse(ms(9000), address(2)));
    relays.set_candidates(ms(9000), vec![address(1)]);
    relays.set_candidates(ms(9500), vec![address(1), address(2)]);
    assert!(relays.can_reuse(ms(60_000), address(1)));
    assert_eq!(relays.order(ms(9500)), [address(1), address(2)]);
}

#[test]
fn a_gateway_that_hears_no_other_keeps_its_relays() {
    let mut relays = Relays::default();
    relays.set_candidates(ms(0), vec![address(1)]);
    relays.set_candidates(ms(9000), Vec::new());
    assert_eq!(relays.order(ms(9000)), [address(1)]);
}
