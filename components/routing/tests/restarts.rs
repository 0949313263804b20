//! An endpoint that restarts under the same id is a new process: requests, cache and health of the
//! old process must not be attributed to it.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{
    incarnation, Balancer, HealthSignal, PeerDispatch, Placement, PromptPart, Sight, Versions, Work,
};

const NOW: Duration = Duration::from_secs(10);
const TOKENS: u32 = 4000;

fn endpoint(id: &str, born_ms: Option<u64>) -> Endpoint {
    Endpoint {
        id: id.into(),
        born_ms,
        service: "s".into(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 16,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new("z");
    common::configure(&mut balancer, 16);
    balancer.insert(NOW, endpoint("a", Some(1)));
    balancer
}

fn prompt() -> Work {
    Work {
        service: "s".into(),
        parts: vec![PromptPart {
            id: 7,
            tokens: TOKENS,
        }],
        prompt_tokens: TOKENS,
        answer_tokens: 50,
        body_bytes: 0,
    }
}

fn choose(balancer: &mut Balancer) -> Placement {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = balancer.choose(NOW, &prompt(), &[], Versions::Any, &mut rng);
    chosen.expect("an endpoint")
}

#[test]
fn requests_and_cache_are_dropped_when_the_process_restarts() {
    let mut balancer = balancer();
    let first = choose(&mut balancer);
    balancer.sent(NOW, &prompt(), &first);
    assert_eq!(choose(&mut balancer).unread_tokens, 0, "cached");
    let queued_ms = choose(&mut balancer).expected_ms;
    balancer.insert(NOW, endpoint("a", Some(2)));
    let restarted = choose(&mut balancer);
    assert_eq!(restarted.unread_tokens, TOKENS);
    assert!(restarted.expected_ms > 0.0 && queued_ms > 0.0);
    assert_eq!(balancer.occupancy(NOW, "s")["z"].requests, 0);
}

#[test]
fn the_end_of_a_request_at_the_old_process_does_not_change_the_new_one() {
    let mut balancer = balancer();
    let first = choose(&mut balancer);
    let mut old_ticket = balancer.sent(NOW, &prompt(), &first);
    balancer.insert(NOW, endpoint("a", Some(2)));
    let second = choose(&mut balancer);
    balancer.sent(NOW, &prompt(), &second);
    balancer.first_token(NOW, &mut old_ticket);
    balancer.ended(NOW, &old_ticket, HealthSignal::Unresponsive);
    assert_eq!(balancer.occupancy(NOW, "s")["z"].requests, 1);
    // If the end of the old request counted, the endpoint would be suspected.
    assert_eq!(choose(&mut balancer).endpoint, "a");
}

#[test]
fn requests_of_other_gateways_to_the_old_process_are_not_counted() {
    let mut balancer = balancer();
    balancer.insert(NOW, endpoint("a", Some(2)));
    let mut report_dispatch = |born| {
        balancer.peer_sent(
            NOW,
            PeerDispatch {
                endpoint: incarnation("a", Some(born)),
                unread_tokens: TOKENS,
                shared_prompt: 0,
                sent_at: NOW,
                hold: Duration::from_secs(1),
            },
        );
        balancer.occupancy(NOW, "s")["z"].requests
    };
    assert_eq!(report_dispatch(1), 0);
    assert_eq!(report_dispatch(2), 1);
}

#[test]
fn a_start_time_that_goes_back_or_is_missing_still_marks_a_restart() {
    for (before, after) in [(Some(5), Some(4)), (Some(5), None), (None, Some(5))] {
        let mut balancer = balancer();
        balancer.insert(NOW, endpoint("a", before));
        let placed = choose(&mut balancer);
        assert!(!balancer.has_restarted_since(&placed));
        balancer.insert(NOW, endpoint("a", after));
        assert!(
            balancer.has_restarted_since(&placed),
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn a_new_record_of_the_same_process_keeps_its_state() {
    let mut balancer = balancer();
    let placed = choose(&mut balancer);
    balancer.sent(NOW, &prompt(), &placed);
    balancer.insert(
        NOW,
        Endpoint {
            slots: 8,
            ..endpoint("a", Some(1))
        },
    );
    assert!(!balancer.has_restarted_since(&placed));
    assert_eq!(choose(&mut balancer).unread_tokens, 0);
}

#[test]
fn a_load_reported_by_the_old_process_is_ignored() {
    let mut balancer = Balancer::new("z");
    balancer.insert(NOW, endpoint("a", Some(1)));
    let plain = Work {
        service: "s".into(),
        ..Work::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let placed = balancer.choose(NOW, &plain, &[], Versions::Any, &mut rng);
    let placed = placed.expect("an endpoint");
    let sight = Sight {
        endpoint: placed.incarnation,
        at: NOW,
        requests: Some(5),
        slowdown: None,
    };
    balancer.insert(NOW, endpoint("a", Some(2)));
    balancer.observe(sight);
    assert_eq!(balancer.occupancy(NOW, "s")["z"].requests, 0);
}
