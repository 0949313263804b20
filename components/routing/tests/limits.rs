//! Endpoints with a rate limit for all gateways together: how requests are placed there and how
//! much of their capacity counts.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use limits::SendRate;
use notices::LimitNotice;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{endpoint_hash, Balancer, Versions, Work};

const SERVICE: &str = "s";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new("z");
    common::configure(&mut balancer, 8);
    for id in ["e1", "e2"] {
        balancer.insert(
            ms(0),
            Endpoint {
                born_ms: None,
                id: id.into(),
                service: SERVICE.into(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "z".into(),
                slots: 8,
                state: EndpointState::Ready,
                reclaimable: false,
                cold: Duration::ZERO,
                version: "v1".into(),
            },
        );
    }
    balancer
}

fn limit(balancer: &mut Balancer, id: &str, per_s: f64) {
    balancer.notices_mut().record_limit(&LimitNotice {
        start: endpoint_hash(id),
        service: SERVICE.into(),
        rate: SendRate::from_per_s(per_s),
        asked_at: ms(1),
    });
}

fn choose(balancer: &mut Balancer, at: Duration, seed: u64) -> Option<String> {
    let work = Work {
        service: SERVICE.into(),
        ..Work::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let placed = balancer.choose(at, &work, &[], Versions::Any, &mut rng);
    placed.map(|placement| placement.endpoint)
}

// Guards against spending the few permitted requests of a limited endpoint on requests that another
// endpoint can serve as well.
#[test]
fn an_endpoint_with_a_limit_is_used_only_if_no_other_is_usable() {
    let mut balancer = balancer();
    limit(&mut balancer, "e1", 4.0);
    for seed in 0..50 {
        assert_eq!(choose(&mut balancer, ms(10), seed).as_deref(), Some("e2"));
    }
    balancer.remove("e2");
    assert_eq!(choose(&mut balancer, ms(10), 0).as_deref(), Some("e1"));
}

#[test]
fn an_endpoint_with_an_exhausted_limit_is_skipped_until_it_permits_a_request() {
    let mut balancer = balancer();
    balancer.remove("e2");
    limit(&mut balancer, "e1", 4.0);
    balancer
        .notices_mut()
        .record_limit_exhausted(ms(10), endpoint_hash("e1"), ms(250));
    assert_eq!(choose(&mut balancer, ms(100), 0), None);
    assert_eq!(balancer.time_until_open(ms(100), SERVICE), Some(ms(160)));
    assert_eq!(choose(&mut balancer, ms(260), 0).as_deref(), Some("e1"));
}

#[test]
fn occupancy_includes_the_capacity_lost_to_limits() {
    let mut balancer = balancer();
    assert_eq!(balancer.occupancy(ms(10), SERVICE)["z"].limited_milli, 0);
    limit(&mut balancer, "e1", 0.0);
    assert_eq!(balancer.occupancy(ms(10), SERVICE)["z"].limited_milli, 1000);
    limit(&mut balancer, "e2", 1e9);
    assert_eq!(balancer.occupancy(ms(10), SERVICE)["z"].limited_milli, 1000);
}

// Guards against an endpoint that fails because it has to turn away what a gateway knows it has no room for.
#[test]
fn a_fragile_endpoint_gets_no_more_requests_than_it_has_slots() {
    let mut balancer = balancer();
    let fill = |balancer: &mut Balancer| {
        let mut sent = 0;
        let work = Work {
            service: SERVICE.into(),
            ..Work::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        while sent < 40 {
            let placed = balancer.choose(ms(1), &work, &[], Versions::Any, &mut rng);
            let Some(placement) = placed else {
                return sent;
            };
            balancer.sent(ms(1), &work, &placement);
            sent += 1;
        }
        sent
    };
    let notices = balancer.notices_mut();
    notices.record_fragility(ms(0), SERVICE, Some(3));
    assert_eq!(fill(&mut balancer), 16);
    let notices = balancer.notices_mut();
    notices.record_fragility(ms(0), SERVICE, None);
    assert_eq!(fill(&mut balancer), 40);
}

// Guards against gateways that each fill an endpoint's slots at the same moment, so that it turns most of that away.
#[test]
fn several_gateways_together_place_no_more_than_a_fragile_endpoint_runs_and_turns_away() {
    const DECIDERS: usize = 4;
    const MAX_REFUSALS: u32 = 3;
    let placed = (0..DECIDERS).map(|seed| {
        let mut balancer = balancer();
        balancer.set_deciders(DECIDERS);
        let notices = balancer.notices_mut();
        notices.record_fragility(ms(0), SERVICE, Some(MAX_REFUSALS));
        let work = Work {
            service: SERVICE.into(),
            ..Work::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        let mut sent = 0;
        while let Some(placement) = balancer.choose(ms(1), &work, &[], Versions::Any, &mut rng) {
            // Every other request is placed for another gateway.
            match sent % 2 {
                0 => drop(balancer.sent(ms(1), &work, &placement)),
                _ => balancer.placed_for_peer(ms(1), &work, &placement),
            }
            sent += 1;
        }
        sent
    });
    let endpoints = 2;
    let allowed = endpoints * (8 + MAX_REFUSALS);
    let placed: u32 = placed.sum();
    assert!((16..=allowed).contains(&placed), "{placed}");
}
