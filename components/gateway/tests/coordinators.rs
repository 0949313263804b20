//! Four gateways of one data hall: three coordinators decide for the fourth.

mod common;

use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Execution, Quota};
use gateway::ports::Topic;
use schema::messages::GatewayRow;
use schema::settings::GatewaySettings;

/// Rate in requests a second, and burst, of the team over all four gateways.
const LIMIT: f64 = 8.0;

fn named(name: &str, cores_milli: i32, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        name: name.into(),
        cores_milli,
        seeds,
        // Long, so that gateways read the store only for changes that they were told of.
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
        default_token_cost: None,
    });
    configuration.tenants = vec![team];
    store.put_configuration(configuration);
    store.put_endpoint(endpoint("e1", fake.address));
    store
}

/// Starts three coordinators and one gateway that asks them.
fn start_four(store: &FakeStore) -> (Vec<Setup>, Setup) {
    let first = Setup::start(named("g1", 500, Vec::new()), store.clone());
    let seeds = || vec![first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", 500, seeds()), store.for_other_gateway());
    let third = Setup::start(named("g3", 500, seeds()), store.for_other_gateway());
    let asking = Setup::start(named("g4", 120, seeds()), store.for_other_gateway());
    wait_until("readiness", || asking.is_ready());
    (vec![first, second, third], asking)
}

/// Writes a configuration with only this route and waits until the gateway serves it.
fn replace_route(gateway: &Setup, version: u64, prefix: &str) {
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
fn a_gateway_that_asks_coordinators_can_use_most_of_the_shared_team_limit() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (_coordinators, asking) = start_four(&store);
    // Its own part of the limit is a quarter, two requests a second.
    wait_until("most of the shared limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
}

#[test]
fn a_gateway_decides_itself_after_all_coordinators_stop() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (coordinators, asking) = start_four(&store);
    wait_until("most of the shared limit", || {
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
fn a_small_change_of_the_configuration_comes_from_a_coordinator_and_not_from_the_store() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (_coordinators, asking) = start_four(&store);
    wait_until("most of the shared limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
    // The first change ends a long poll at the store that was started before the coordinators were found.
    replace_route(&asking, 2, "/second/");
    let calls_before = asking.store.call_count(Topic::Configuration);
    replace_route(&asking, 3, "/third/");
    assert_eq!(asking.store.call_count(Topic::Configuration), calls_before);
}

#[test]
fn a_gateway_polls_the_store_before_its_next_due_time_after_all_coordinators_stop() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let (coordinators, asking) = start_four(&store);
    wait_until("most of the shared limit", || {
        served_in_a_second(&asking) as f64 >= LIMIT * 0.75
    });
    // Ends a long poll that was started before the coordinators were found. The gateway would poll next after 39 s.
    replace_route(&asking, 2, "/second/");
    for coordinator in coordinators {
        coordinator.stop();
    }
    replace_route(&asking, 3, "/third/");
}

#[test]
fn a_gateway_that_asks_coordinators_does_not_read_the_endpoints() {
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
fn a_gateway_whose_listed_coordinators_are_down_asks_one_of_another_hall() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = limited_store(&fake);
    let in_other_hall = GatewaySettings {
        zone: "z2".into(),
        ..named("g1", 500, Vec::new())
    };
    let in_other_hall = Setup::start(in_other_hall, store.for_other_gateway());
    wait_until("readiness", || in_other_hall.is_ready());
    // Three larger gateways of its hall are listed but not running.
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
