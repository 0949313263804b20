//! What answers show of endpoints reaches whoever places requests.
//!
//! Gateways that ask coordinators see nearly all answers, and coordinators nearly none: without word from the former an
//! endpoint that is slow now gets as many requests as any other.

mod common;

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;

/// Half of them would go to an endpoint that is as good as the other.
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
fn requests_of_a_gateway_that_asks_go_past_an_endpoint_that_told_it_of_slow_work() {
    let slow = FakeEndpoint::start(|_, exchange| exchange.answer_with_slowdown(250));
    let well = FakeEndpoint::start(|_, exchange| exchange.answer_with_slowdown(100));
    let store = store(&slow, &well);
    let first = Setup::start(named("g1", 500, &[]), store.clone());
    let seeds = [first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", 500, &seeds), store.for_other_gateway());
    let third = Setup::start(named("g3", 500, &seeds), store.for_other_gateway());
    let coordinators = [first, second, third];
    for coordinator in &coordinators {
        wait_until("a coordinator's readiness", || coordinator.is_ready());
    }
    let asking = Setup::start(named("g4", 120, &seeds), store.for_other_gateway());
    wait_until("requests to reach the slow one", || {
        asking.call("/a/1", &[]);
        !slow.heads().is_empty()
    });
    let before = slow.heads().len();
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    let went_there = slow.heads().len() - before;
    assert!(went_there <= REQUESTS / 5, "{went_there} of {REQUESTS}");
}
