//! Endpoints that name a rate for all gateways together, as they are placed on and planned with.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use limits::SendRate;
use notices::LimitNotice;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{endpoint_hash, Balancer, Versions, Work};

const S: &str = "s";

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
                service: S.into(),
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
    balancer.notices_mut().note_limit(&LimitNotice {
        start: endpoint_hash(id),
        service: S.into(),
        rate: SendRate::from_per_s(per_s),
        asked_at: ms(1),
    });
}

fn choose(balancer: &mut Balancer, at: Duration, seed: u64) -> Option<String> {
    let work = Work {
        service: S.into(),
        ..Work::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let placed = balancer.choose(at, &work, &[], Versions::Any, &mut rng);
    placed.map(|placement| placement.endpoint)
}

// Guards against scarce sends that go to requests which another endpoint serves as well.
#[test]
fn an_endpoint_with_a_limit_is_left_to_what_no_other_takes() {
    let mut balancer = balancer();
    limit(&mut balancer, "e1", 4.0);
    for seed in 0..50 {
        assert_eq!(choose(&mut balancer, ms(10), seed).as_deref(), Some("e2"));
    }
    balancer.remove("e2");
    assert_eq!(choose(&mut balancer, ms(10), 0).as_deref(), Some("e1"));
}

#[test]
fn an_endpoint_whose_limit_is_used_up_is_passed_over_until_a_send_is_free() {
    let mut balancer = balancer();
    balancer.remove("e2");
    limit(&mut balancer, "e1", 4.0);
    balancer
        .notices_mut()
        .note_spent(ms(10), endpoint_hash("e1"), ms(250));
    assert_eq!(choose(&mut balancer, ms(100), 0), None);
    assert_eq!(balancer.time_until_open(ms(100), S), Some(ms(160)));
    assert_eq!(choose(&mut balancer, ms(260), 0).as_deref(), Some("e1"));
}

#[test]
fn the_planner_hears_what_limits_take_away_of_endpoints() {
    let mut balancer = balancer();
    assert_eq!(balancer.occupancy(ms(10), S)["z"].limited_milli, 0);
    limit(&mut balancer, "e1", 0.0);
    assert_eq!(balancer.occupancy(ms(10), S)["z"].limited_milli, 1000);
    limit(&mut balancer, "e2", 1e9);
    assert_eq!(balancer.occupancy(ms(10), S)["z"].limited_milli, 1000);
}
