//! Placement of requests among several regions.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{
    endpoint_hash, Balancer, Exclusion, HealthSignal, NetworkCosts, PeerDispatch, Placement,
    PromptPart, Versions, Work,
};
use topology::Topology;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn topology() -> Topology {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let regions = regions.map(|(hall, region)| (hall.to_string(), region.to_string()));
    Topology::new("a1", "a", &BTreeMap::from(regions))
}

fn endpoint(id: &str, hall: &str) -> Endpoint {
    Endpoint {
        born_ms: None,
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: hall.into(),
        slots: 16,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

/// A balancer of a gateway in hall a1, with endpoints given as (id, hall).
fn balancer(endpoints: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::with_topology(topology());
    common::configure(&mut balancer, 16);
    for (id, hall) in endpoints {
        balancer.insert(ms(0), endpoint(id, hall));
    }
    balancer
}

fn prompt(own: u64, tokens: u32, body_bytes: u32) -> Work {
    let part = |id, tokens| PromptPart { id, tokens };
    Work {
        service: "s".into(),
        parts: vec![part(1, tokens / 2), part(own, tokens / 2)],
        prompt_tokens: tokens,
        answer_tokens: 50,
        body_bytes,
    }
}

/// Queues prompts of other gateways at an endpoint for about `wait_ms`, at the initial reading
/// rate.
fn queue_prompts(balancer: &mut Balancer, id: &str, wait_ms: u32) {
    let dispatch = PeerDispatch {
        endpoint: endpoint_hash(id),
        unread_tokens: wait_ms * 30,
        shared_prompt: 0,
        sent_at: ms(0),
        hold: ms(60_000),
    };
    balancer.peer_sent(ms(0), dispatch);
}

fn choose(balancer: &mut Balancer, now: Duration, work: &Work) -> Option<Placement> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    balancer.choose(now, work, &[], Versions::Any, &mut rng)
}

/// A rate in bytes per second for the link to region b.
fn link_rates(rate: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("b".to_string(), rate)])
}

#[test]
fn a_request_stays_in_its_region_while_that_has_room() {
    let mut balancer = balancer(&[("a", "a2"), ("b", "b1")]);
    for own in 2..200 {
        let work = prompt(own, 300, 1_000);
        let placed = choose(&mut balancer, ms(own * 1000), &work).unwrap();
        assert_eq!((placed.endpoint.as_str(), placed.link_bytes), ("a", 0));
    }
}

#[test]
fn a_request_leaves_its_region_when_the_wait_there_exceeds_the_network_cost() {
    for (wait, expected) in [(70, "a"), (200, "b")] {
        let mut balancer = balancer(&[("a", "a2"), ("b", "b1")]);
        queue_prompts(&mut balancer, "a", wait);
        let placed = choose(&mut balancer, ms(0), &prompt(2, 300, 1_000)).unwrap();
        assert_eq!(placed.endpoint, expected, "{wait} ms");
        assert_eq!(placed.home_ms.is_some(), expected == "b");
        assert_eq!(placed.link_bytes > 0, expected == "b");
    }
}

#[test]
fn a_busy_endpoint_in_another_region_gets_no_requests() {
    let mut balancer = balancer(&[("a", "a2"), ("b", "b1")]);
    queue_prompts(&mut balancer, "a", 200);
    queue_prompts(&mut balancer, "b", 200);
    let placed = choose(&mut balancer, ms(0), &prompt(2, 300, 1_000)).unwrap();
    assert_eq!(placed.endpoint, "a");
}

#[test]
fn large_requests_are_the_last_to_leave_their_region() {
    let leaves = |bytes, requests_on_link: usize| {
        let mut balancer = balancer(&[("a", "a2"), ("b", "b1")]);
        balancer.network_costs_mut().set_link_rate(60_000);
        balancer.set_link_rates(ms(0), &link_rates(150_000.0));
        queue_prompts(&mut balancer, "a", 1700);
        let now = ms(1000);
        for own in 0..requests_on_link {
            let small = prompt(100 + own as u64, 300, 10_000);
            choose(&mut balancer, now, &small).unwrap();
        }
        let placed = choose(&mut balancer, now, &prompt(2, 300, bytes)).unwrap();
        assert_eq!(placed.is_link_limited, placed.endpoint == "a");
        placed.endpoint == "b"
    };
    assert!(leaves(1_000, 0) && leaves(72_000, 0));
    assert!(leaves(1_000, 7) && !leaves(72_000, 7));
}

#[test]
fn with_a_full_link_a_request_stays_in_its_region_whatever_the_wait() {
    let mut balancer = balancer(&[("a", "a2"), ("b", "b1")]);
    balancer.set_link_rates(ms(0), &link_rates(10.0));
    queue_prompts(&mut balancer, "a", 4000);
    let work = prompt(2, 300, 1_000);
    let placed = choose(&mut balancer, ms(0), &work).unwrap();
    assert!(placed.endpoint == "a" && placed.is_link_limited);
    assert_eq!(balancer.link_wait(ms(0), &work), None);
}

#[test]
fn a_region_without_endpoints_is_served_by_the_other_within_its_share_of_the_link() {
    let mut balancer = balancer(&[("b", "b1")]);
    balancer.set_link_rates(ms(0), &link_rates(100_000.0));
    let mut bytes = 0;
    for at in 1..=10_000 {
        let work = prompt(at, 300, 5_000);
        match choose(&mut balancer, ms(at), &work) {
            Some(placed) => {
                assert_eq!(placed.home_ms, None);
                assert_eq!(balancer.link_wait(ms(at), &work), None);
                bytes += placed.link_bytes;
            }
            None => {
                let wait = balancer
                    .link_wait(ms(at), &work)
                    .expect("the link has no room");
                assert!(wait <= ms(100), "{wait:?}");
                let later = ms(at + 1) + wait;
                if at == 5_000 {
                    assert!(
                        choose(&mut balancer, later, &work).is_some(),
                        "room after {wait:?}"
                    );
                    return assert!((400_000..=600_000).contains(&bytes), "{bytes}");
                }
            }
        }
    }
    panic!("the link never refused a request");
}

#[test]
fn without_any_endpoint_there_is_no_link_wait() {
    let mut balancer = balancer(&[]);
    balancer.set_link_rates(ms(0), &link_rates(10.0));
    let work = prompt(2, 300, 1_000);
    assert_eq!(choose(&mut balancer, ms(0), &work), None);
    assert_eq!(balancer.link_wait(ms(0), &work), None);
}

#[test]
fn a_shared_prompt_has_a_home_in_each_region() {
    let halls = ["a1", "a2", "b1", "b2"];
    let names: Vec<String> = (0..40).map(|i| format!("e{i}")).collect();
    let named = names.iter().zip(halls.iter().cycle());
    let named: Vec<(&str, &str)> = named.map(|(id, hall)| (id.as_str(), *hall)).collect();
    let mut balancer = balancer(&named);
    let first = choose(&mut balancer, ms(0), &prompt(2, 12_000, 1_000)).unwrap();
    assert_eq!(topology().region_of(&first.hall), "a");
    assert!(
        first.unread_tokens < 12_000,
        "half of the shared part is expected at its home"
    );
}

#[test]
fn the_round_trip_follows_measurements_but_no_single_outlier() {
    let mut costs = NetworkCosts::new(topology());
    assert_eq!(costs.round_trip_ms("a1"), 0.0);
    assert_eq!(costs.round_trip_ms("a2"), 2.0);
    assert_eq!(costs.round_trip_ms("b1"), 60.0);
    for _ in 0..9 {
        costs.record_round_trip("b1", ms(20));
    }
    assert_eq!(costs.round_trip_ms("b1"), 20.0);
    for _ in 0..4 {
        costs.record_round_trip("b1", ms(900));
        assert_eq!(costs.round_trip_ms("b1"), 20.0);
    }
    costs.record_round_trip("b1", ms(900));
    assert_eq!(costs.round_trip_ms("b1"), 900.0, "five in a row");
    assert_eq!(costs.round_trip_ms("b2"), 60.0, "another hall");
}

#[test]
fn processing_time_is_not_counted_as_network_time() {
    let mut costs = NetworkCosts::new(topology());
    costs.record_round_trip("a1", ms(8));
    costs.record_round_trip("a2", ms(9));
    costs.record_round_trip("b1", ms(5));
    assert_eq!(costs.round_trip_ms("a2"), 1.0);
    assert_eq!(costs.round_trip_ms("b1"), 0.0);
}

#[test]
fn a_nearby_region_is_used_after_a_shorter_wait() {
    let mut balancer = balancer(&[("a", "a2"), ("b", "b1")]);
    for _ in 0..9 {
        balancer.network_costs_mut().record_round_trip("b1", ms(4));
    }
    queue_prompts(&mut balancer, "a", 70);
    let placed = choose(&mut balancer, ms(0), &prompt(2, 300, 1_000)).unwrap();
    assert_eq!(placed.endpoint, "b");
}

#[test]
fn the_network_cost_grows_with_the_size_of_the_request() {
    let mut costs = NetworkCosts::new(topology());
    let (small, large) = (costs.cost_ms("b1", 1_000), costs.cost_ms("b1", 72_000));
    assert_eq!((small, large), (90.0, 270.0));
    costs.set_link_rate(60_000);
    assert!(costs.cost_ms("b1", 72_000) > large + 9.0);
    assert_eq!(costs.cost_ms("a2", 72_000), 2.0);
}

#[test]
fn the_round_trip_to_an_endpoint_does_not_lower_its_measured_rate() {
    const RATE: u64 = 150;
    let mut balancer = balancer(&[("b", "b1")]);
    for own in 0..200 {
        let tokens = if own % 2 == 0 { 300 } else { 9000 };
        let work = prompt(1000 + own, tokens, 0);
        let at = ms(own * 2000);
        let placed = choose(&mut balancer, at, &work).unwrap();
        let mut ticket = balancer.sent(at, &work, &placed);
        let took = 60 + u64::from(placed.unread_tokens) / RATE;
        balancer.first_token(at + ms(took), &mut ticket);
        balancer.ended(at + ms(took + 100), &ticket, HealthSignal::Healthy);
    }
    let rate = balancer.known_rate("s").unwrap();
    assert!((130.0..=170.0).contains(&rate), "{rate}");
}

#[test]
fn a_request_of_a_gateway_in_another_region_is_placed_in_that_region() {
    let mut balancer = balancer(&[("a", "a1"), ("b", "b1")]);
    balancer.set_link_rates(ms(0), &link_rates(100_000.0));
    let region_b = topology().region_index_of("b2");
    let work = prompt(2, 300, 1_000);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut placed = |balancer: &mut Balancer| {
        let now = ms(1000);
        let placed = balancer.choose_from(
            region_b,
            now,
            &work,
            Exclusion::default(),
            Versions::Any,
            &mut rng,
        );
        placed.unwrap()
    };
    let there = placed(&mut balancer);
    assert_eq!((there.endpoint.as_str(), there.link_bytes), ("b", 0));
    queue_prompts(&mut balancer, "b", 2000);
    let here = placed(&mut balancer);
    assert_eq!(here.endpoint, "a");
    assert!(here.link_bytes > 0, "it still crosses the link");
}

#[test]
fn unresponsive_endpoints_at_home_are_used_only_when_the_link_has_no_room() {
    let mut balancer = balancer(&[("a", "a1"), ("b", "b1")]);
    let work = prompt(2, 300, 1_000);
    let first = choose(&mut balancer, ms(0), &work).unwrap();
    assert_eq!(first.endpoint, "a");
    let ticket = balancer.sent(ms(0), &work, &first);
    balancer.ended(ms(10), &ticket, HealthSignal::Unresponsive);
    assert_eq!(choose(&mut balancer, ms(20), &work).unwrap().endpoint, "b");
    balancer.set_link_rates(ms(20), &link_rates(10.0));
    let placed = choose(&mut balancer, ms(20), &work).unwrap();
    assert!(placed.endpoint == "a" && placed.is_link_limited);
}
