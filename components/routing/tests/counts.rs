//! Request counts reported by endpoints, against the counts that the balancer expects.
//!
//! Estimated answer lengths are off by half and more, and gateways that ask others for decisions
//! report no ends. Without the endpoints' own counts, full engines were taken for free ones and
//! free ones for full ones.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use routing::placement::{endpoint_hash, Balancer, PeerDispatch, Sight};

const SLOTS: u32 = 12;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn balancer(service: &str) -> Balancer {
    let mut balancer = Balancer::new("z");
    common::configure(&mut balancer, SLOTS);
    let endpoint = Endpoint {
        born_ms: None,
        id: "e1".into(),
        service: service.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    };
    balancer.insert(ms(0), endpoint);
    balancer
}

fn dispatch(sent_at: Duration, hold: Duration) -> PeerDispatch {
    PeerDispatch {
        endpoint: endpoint_hash("e1"),
        unread_tokens: 10,
        shared_prompt: 0,
        sent_at,
        hold,
    }
}

fn report_count(balancer: &mut Balancer, at: Duration, requests: u32) -> bool {
    balancer.observe(Sight {
        endpoint: endpoint_hash("e1"),
        at,
        requests: Some(requests),
        slowdown: None,
    })
}

fn expected(balancer: &mut Balancer, service: &str, at: Duration) -> u32 {
    balancer.occupancy(at, service)["z"].requests
}

#[test]
fn a_lower_count_frees_the_slots_of_answers_shorter_than_estimated() {
    let mut balancer = balancer("s");
    for _ in 0..10 {
        balancer.peer_sent(ms(0), dispatch(ms(0), ms(10_000)));
    }
    assert_eq!(expected(&mut balancer, "s", ms(500)), 10);
    assert!(report_count(&mut balancer, ms(500), 3));
    assert_eq!(expected(&mut balancer, "s", ms(500)), 3);
}

#[test]
fn a_higher_count_keeps_the_slots_of_answers_longer_than_estimated() {
    let mut balancer = balancer("s");
    for _ in 0..10 {
        balancer.peer_sent(ms(0), dispatch(ms(0), ms(100)));
    }
    assert!(report_count(&mut balancer, ms(500), 10));
    assert_eq!(expected(&mut balancer, "s", ms(501)), 10);
    // Without further reports they are assumed to end.
    assert_eq!(expected(&mut balancer, "s", ms(10_000)), 0);
}

#[test]
fn requests_in_transit_are_not_taken_as_ended() {
    let mut balancer = balancer("s");
    balancer.peer_sent(ms(0), dispatch(ms(0), ms(1_000)));
    balancer.peer_sent(ms(500), dispatch(ms(498), ms(1_000)));
    assert!(!report_count(&mut balancer, ms(500), 1));
    assert_eq!(expected(&mut balancer, "s", ms(501)), 2);
}

#[test]
fn a_count_close_to_the_expected_one_is_not_passed_on() {
    let mut balancer = balancer("s");
    for _ in 0..10 {
        balancer.peer_sent(ms(0), dispatch(ms(0), ms(10_000)));
    }
    assert!(!report_count(&mut balancer, ms(500), 9));
    assert!(!report_count(&mut balancer, ms(510), 10));
}

#[test]
fn requests_sent_to_a_plain_endpoint_after_its_count_are_added() {
    let mut balancer = balancer("plain");
    balancer.peer_sent(ms(0), dispatch(ms(0), ms(1_000)));
    balancer.peer_sent(ms(120), dispatch(ms(120), ms(1_000)));
    // This count arrives late: the second request was sent after it.
    report_count(&mut balancer, ms(100), 4);
    assert_eq!(expected(&mut balancer, "plain", ms(130)), 5);
    // An older count changes nothing.
    report_count(&mut balancer, ms(90), 9);
    assert_eq!(expected(&mut balancer, "plain", ms(130)), 5);
}

#[test]
fn an_impossible_count_is_capped() {
    let mut balancer = balancer("s");
    report_count(&mut balancer, ms(100), u32::MAX);
    let engine = expected(&mut balancer, "s", ms(101));
    let mut balancer = self::balancer("plain");
    report_count(&mut balancer, ms(100), u32::MAX);
    let plain = expected(&mut balancer, "plain", ms(101));
    assert!(
        engine <= 8 * SLOTS && plain <= 8 * SLOTS,
        "{engine} {plain}"
    );
}
