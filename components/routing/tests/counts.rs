//! Requests that endpoints count themselves, beside what is expected there.
//!
//! Guesses of how long answers go are off by half and more, and gateways that ask report no ends: without the endpoints' own
//! counts full engines were taken for free ones, and free ones for full.

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

fn count(balancer: &mut Balancer, at: Duration, requests: u32) -> bool {
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
fn answers_that_were_shorter_than_guessed_leave_their_slots_free() {
    let mut balancer = balancer("s");
    for _ in 0..10 {
        balancer.peer_sent(ms(0), dispatch(ms(0), ms(10_000)));
    }
    assert_eq!(expected(&mut balancer, "s", ms(500)), 10);
    assert!(count(&mut balancer, ms(500), 3));
    assert_eq!(expected(&mut balancer, "s", ms(500)), 3);
}

#[test]
fn answers_that_go_on_for_longer_than_guessed_keep_their_slots() {
    let mut balancer = balancer("s");
    for _ in 0..10 {
        balancer.peer_sent(ms(0), dispatch(ms(0), ms(100)));
    }
    assert!(count(&mut balancer, ms(500), 10));
    assert_eq!(expected(&mut balancer, "s", ms(501)), 10);
    // Nothing is said of them again: they end some time.
    assert_eq!(expected(&mut balancer, "s", ms(10_000)), 0);
}

#[test]
fn requests_that_had_not_reached_the_endpoint_are_not_taken_to_have_ended() {
    let mut balancer = balancer("s");
    balancer.peer_sent(ms(0), dispatch(ms(0), ms(1_000)));
    balancer.peer_sent(ms(500), dispatch(ms(498), ms(1_000)));
    assert!(!count(&mut balancer, ms(500), 1));
    assert_eq!(expected(&mut balancer, "s", ms(501)), 2);
}

#[test]
fn a_count_as_expected_is_no_news_to_others() {
    let mut balancer = balancer("s");
    for _ in 0..10 {
        balancer.peer_sent(ms(0), dispatch(ms(0), ms(10_000)));
    }
    assert!(!count(&mut balancer, ms(500), 9));
    assert!(!count(&mut balancer, ms(510), 10));
}

#[test]
fn what_was_sent_to_a_plain_endpoint_since_its_count_comes_on_top() {
    let mut balancer = balancer("plain");
    balancer.peer_sent(ms(0), dispatch(ms(0), ms(1_000)));
    balancer.peer_sent(ms(120), dispatch(ms(120), ms(1_000)));
    // Told late: the second one was sent after it.
    count(&mut balancer, ms(100), 4);
    assert_eq!(expected(&mut balancer, "plain", ms(130)), 5);
    // Older word changes nothing.
    count(&mut balancer, ms(90), 9);
    assert_eq!(expected(&mut balancer, "plain", ms(130)), 5);
}

#[test]
fn a_count_that_no_endpoint_can_have_is_cut_to_what_one_may() {
    let mut balancer = balancer("s");
    count(&mut balancer, ms(100), u32::MAX);
    let engine = expected(&mut balancer, "s", ms(101));
    let mut balancer = self::balancer("plain");
    count(&mut balancer, ms(100), u32::MAX);
    let plain = expected(&mut balancer, "plain", ms(101));
    assert!(
        engine <= 8 * SLOTS && plain <= 8 * SLOTS,
        "{engine} {plain}"
    );
}
