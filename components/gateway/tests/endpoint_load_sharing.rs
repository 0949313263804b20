//! Load that endpoints report in their answers reaches the coordinators that place requests.
//!
//! Gateways that ask coordinators receive nearly all answers, and coordinators nearly none. Unless the former pass on what
//! answers report, an endpoint that is slow at the moment gets as many requests as any other.

mod common;

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;

/// Half of them go to the slow endpoint if its slowdown is not known.
const REQUESTS: usize = 30;

fn store(first: &FakeEndpoint, second: &FakeEndpoint) -> FakeStore {
    let store = FakeStore::default();
    let routes = vec![route("/a/", Execution::Repeatable)];
    store.put_configuration(configuration(1, routes));
    store.put_endpoint(endpoint("e1", first.address));
    store.put_endpoint(endpoint("e2", second.address));
    store
}

fn named(name: &str, cores_milli: i32, seeds: &[String]) -> GatewaySettings {
    GatewaySettings {
        name: name.into(),
        cores_milli,
        seeds: seeds.to_vec(),
        ..settings()
    }
}

#[test]
fn coordinators_avoid_an_endpoint_that_reported_a_slowdown_to_the_asking_gateway() {
    let slow = FakeEndpoint::start(|_, exchange| exchange.answer_with_slowdown(250));
    let normal = FakeEndpoint::start(|_, exchange| exchange.answer_with_slowdown(100));
    let store = store(&slow, &normal);
    let first = Setup::start(named("g1", 500, &[]), store.clone());
    let seeds = [first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", 500, &seeds), store.for_other_gateway());
    let third = Setup::start(named("g3", 500, &seeds), store.for_other_gateway());
    let coordinators = [first, second, third];
    for coordinator in &coordinators {
        wait_until("a coordinator's readiness", || coordinator.is_ready());
    }
    let asking = Setup::start(named("g4", 120, &seeds), store.for_other_gateway());
    wait_until("a request to reach the slow endpoint", || {
        asking.call("/a/1", &[]);
        !slow.heads().is_empty()
    });
    let before = slow.heads().len();
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    let to_slow = slow.heads().len() - before;
    assert!(to_slow <= REQUESTS / 5, "{to_slow} of {REQUESTS}");
}
