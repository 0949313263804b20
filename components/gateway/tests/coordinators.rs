//! Gateways of one data hall, three of which decide for the fourth.

mod common;

use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Execution, Quota};
use gateway::ports::Topic;
use schema::messages::GatewayRow;
use schema::settings::GatewaySettings;

/// Requests a second and at once that the team's limit lets pass over all four gateways.
const LIMIT: f64 = 8.0;

fn named(name: &str, cores_milli: i32, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        name: name.into(),
        cores_milli,
        seeds,
        // Only what is reported makes a gateway ask the store.
        change_due_ms: 60_000,
        ..settings()
    }
}

fn limited_store(fake: &FakeEndpoint) -> FakeStore {
    let store = FakeStore::default();
    let mut configuration = configuration(1, vec![route("/a/", Execution::Repeatable)]);
    let mut team = tenant("t", "k");
    team.quota = Some(Quota {
        rate: LIMIT,
        burst: LIMIT,
        plain_cost: None,
    });
    configuration.tenants = vec![team];
    store.put_configuration(configuration);
    store.put_endpoint(endpoint("e1", fake.address));
    store
}

/// Three coordinators and one gateway that asks them.
fn four(store: &FakeStore) -> (Vec<Setup>, Setup) {
    let first = Setup::start(named("g1", 500, Vec::new()), store.clone());
    let seeds = || vec![first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", 500, seeds()), store.for_other_gateway());
    let third = Setup::start(named("g3", 500, seeds()), store.for_other_gateway());
    let asking = Setup::start(named("g4", 120, seeds()), store.for_other_gateway());
    wait_until("readiness", || asking.is_ready());
    (vec![first, second, third], asking)
}

/// Puts a configuration with this route only and waits until the gateway serves it.
fn change(gateway: &Setup, version: u64, prefix: &str) {
    let mut changed = configuration(version, vec![route(prefix, Execution::Repeatable)]);
    changed.tenants = vec![tenant("t", "k")];
    gateway.store.put_configuration(changed);
    let path = format!("{prefix}1");
    wait_until("the new route", || {
        gateway.call(&path, &["x-key: k"]).status == 200
    });
}

fn served_in_a_second(gateway: &Setup) -> usize {
    let started = Instant::now();
    let mut served = 0;
    while started.elapsed() < Duration::from_secs(1) {
        if gateway.call("/a/1", &["x-key: k"]).status == 200 {
            served += 1;
        }
    }
    served
}

#[test]
fn a_gateway_that_asks_may_use_the_whole_limit_that_all_share() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (_coordinators, asking) = four(&store);
    // Its own part is a quarter: two a second.
    wait_until("the whole limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
}

#[test]
fn without_any_coordinator_a_gateway_decides_itself() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (coordinators, asking) = four(&store);
    wait_until("the whole limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
    for coordinator in coordinators {
        coordinator.stop();
    }
    wait_until("an answer", || {
        asking.call("/a/1", &["x-key: k"]).status == 200
    });
}

#[test]
fn a_small_change_of_the_configuration_is_taken_from_a_coordinator() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (_coordinators, asking) = four(&store);
    wait_until("the whole limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
    // The first change ends a call that was held at the store before the coordinators were found.
    change(&asking, 2, "/second/");
    let asks_before = asking.store.call_count(Topic::Configuration);
    change(&asking, 3, "/third/");
    assert_eq!(asking.store.call_count(Topic::Configuration), asks_before);
}

#[test]
fn a_gateway_whose_turn_it_is_to_hold_calls_at_the_store_does_so_at_once() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (coordinators, asking) = four(&store);
    wait_until("the whole limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
    // Ends a call that was held from before the coordinators were found; from now on it rests for 39 s.
    change(&asking, 2, "/second/");
    for coordinator in coordinators {
        coordinator.stop();
    }
    change(&asking, 3, "/third/");
}

#[test]
fn a_gateway_that_asks_does_not_read_the_endpoints() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let seeds = || Vec::new();
    let coordinators = ["g1", "g2", "g3"].map(|name| {
        let setup = Setup::start(named(name, 500, seeds()), store.for_other_gateway());
        wait_until("a coordinator's readiness", || setup.is_ready());
        setup
    });
    let asking = Setup::start(named("g4", 120, seeds()), store.for_other_gateway());
    wait_until("an answer", || {
        asking.call("/a/1", &["x-key: k"]).status == 200
    });
    assert_eq!(asking.store.call_count(Topic::Endpoints), 0);
    for coordinator in &coordinators {
        assert!(coordinator.store.call_count(Topic::Endpoints) > 0);
    }
}

#[test]
fn a_gateway_whose_hall_has_no_coordinator_asks_one_of_another_hall() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let elsewhere = GatewaySettings {
        zone: "z2".into(),
        ..named("g1", 500, Vec::new())
    };
    let elsewhere = Setup::start(elsewhere, store.for_other_gateway());
    wait_until("readiness", || elsewhere.is_ready());
    // Three larger gateways of its hall are listed and do not run.
    for (i, name) in ["g2", "g3", "g4"].into_iter().enumerate() {
        let row = GatewayRow {
            address: format!("127.0.0.1:{}", 9 + i),
            incarnation: 1,
            hall: Some("z1".into()),
            cores_milli: Some(500),
            decisions_port: Some(9),
        };
        store.put_gateway(name, &row);
    }
    let asking = Setup::start(named("g5", 120, Vec::new()), store.for_other_gateway());
    wait_until("an answer", || {
        asking.call("/a/1", &["x-key: k"]).status == 200
    });
    assert_eq!(asking.store.call_count(Topic::Endpoints), 0);
}
