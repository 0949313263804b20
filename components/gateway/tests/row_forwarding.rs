//! Gateways that pass the store's rows on to each other.

mod common;

use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{EndpointState, Execution};
use schema::settings::GatewaySettings;

const CREDENTIAL_AGE: Duration = Duration::from_secs(3);

/// Two gateways, the second of which the store turns away once it is ready.
struct Pair {
    first: Setup,
    second: Setup,
}

fn named(name: &str, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        name: name.into(),
        seeds,
        credential_age_ms: CREDENTIAL_AGE.as_millis() as i64,
        ..settings()
    }
}

fn pair(store: &FakeStore) -> Pair {
    let first = Setup::start(named("g1", Vec::new()), store.clone());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", seeds), store.for_other_gateway());
    wait_until("readiness", || first.is_ready() && second.is_ready());
    second.store.refuse(true);
    Pair { first, second }
}

fn store_with(version: u64, prefix: &str) -> FakeStore {
    let store = FakeStore::default();
    let mut configuration = configuration(version, vec![route(prefix, Execution::Repeatable)]);
    configuration.tenants = vec![tenant("t", "k")];
    store.put_configuration(configuration);
    store
}

#[test]
fn a_gateway_that_the_store_turns_away_gets_new_routes_and_endpoints_from_the_others() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/old/");
    store.put_endpoint(endpoint("e1", fake.address));
    let pair = pair(&store);
    let mut configuration = configuration(2, vec![route("/new/", Execution::Repeatable)]);
    configuration.tenants = vec![tenant("t", "k")];
    store.put_configuration(configuration);
    wait_until("the new route", || {
        pair.second.call("/new/1", &["x-key: k"]).status == 200
    });
    assert_eq!(pair.second.call("/old/1", &["x-key: k"]).status, 404);
    store.delete_endpoint("e1");
    wait_until("the endpoint to be gone", || {
        pair.second.call("/new/1", &["x-key: k"]).status == 503
    });
    assert_eq!(pair.first.call("/old/1", &["x-key: k"]).status, 404);
}

#[test]
fn a_change_that_others_know_does_not_wait_for_a_store_that_says_nothing() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/old/");
    store.put_endpoint(endpoint("e1", fake.address));
    let pair = pair(&store);
    pair.second.store.stop_responding();
    pair.second.store.refuse(false);
    let mut configuration = configuration(2, vec![route("/new/", Execution::Repeatable)]);
    configuration.tenants = vec![tenant("t", "k")];
    store.put_configuration(configuration);
    wait_until("the new route", || {
        pair.second.call("/new/1", &["x-key: k"]).status == 200
    });
}

#[test]
fn a_gateway_that_the_store_turns_away_accepts_keys_while_another_confirms_them() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let pair = pair(&store);
    let began = Instant::now();
    while began.elapsed() < CREDENTIAL_AGE * 3 / 2 {
        assert_eq!(pair.second.call("/a/1", &["x-key: k"]).status, 200);
    }
    // Nobody confirms any more.
    pair.first.store.refuse(true);
    wait_until("the key to be refused", || {
        pair.second.call("/a/1", &["x-key: k"]).status == 503
    });
}

#[test]
fn a_key_that_was_taken_away_is_refused_by_a_gateway_that_the_store_turns_away() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let pair = pair(&store);
    let mut configuration = configuration(2, vec![route("/a/", Execution::Repeatable)]);
    configuration.tenants = vec![tenant("t", "another")];
    store.put_configuration(configuration);
    wait_until("the key to be unknown", || {
        pair.second.call("/a/1", &["x-key: k"]).status == 401
    });
}

fn unbounded(name: &str, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        credential_age_ms: 0,
        ..named(name, seeds)
    }
}

#[test]
fn where_keys_have_no_bound_a_gateway_that_starts_without_the_store_serves_what_others_know() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let first = Setup::start(unbounded("g1", Vec::new()), store.clone());
    wait_until("readiness", || first.is_ready());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let away = store.for_other_gateway();
    away.refuse(true);
    let second = Setup::start(unbounded("g2", seeds), away);
    assert_eq!(second.call("/a/1", &["x-key: k"]).status, 503);
    wait_until("readiness", || second.is_ready());
    wait_until("an answer", || {
        second.call("/a/1", &["x-key: k"]).status == 200
    });
    // What it cannot confirm it does not deny.
    assert_eq!(second.call("/a/1", &["x-key: other"]).status, 503);
    assert_eq!(second.call("/b/1", &["x-key: k"]).status, 503);
}

#[test]
fn where_keys_have_no_bound_they_are_accepted_however_long_the_store_is_away() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let alone = Setup::start(unbounded("g1", Vec::new()), store.clone());
    wait_until("readiness", || alone.is_ready());
    store.refuse(true);
    wait_until("denials to end", || {
        alone.call("/a/1", &["x-key: other"]).status == 503
    });
    assert_eq!(alone.call("/a/1", &["x-key: k"]).status, 200);
    assert!(alone.is_ready());
}

#[test]
fn a_configuration_of_a_thousand_routes_is_passed_on_too() {
    const BYTES: usize = 60_000;
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/old/");
    store.put_endpoint(endpoint("e1", fake.address));
    let pair = pair(&store);
    let mut configuration = configuration(2, vec![route("/new/", Execution::Repeatable)]);
    configuration.tenants = vec![tenant("t", "k")];
    store.put_long_configuration(configuration, BYTES);
    wait_until("the new route", || {
        pair.second.call("/new/1", &["x-key: k"]).status == 200
    });
}

#[test]
fn a_gateway_that_the_store_turns_away_hears_of_leaving_endpoints_amid_thousands_of_changes() {
    const OTHERS: u64 = 4_000;
    /// Half of them would go to each of the two.
    const CALLS: usize = 40;
    let leaving = FakeEndpoint::start(|_, e| e.answer(200, "leaving"));
    let steady = FakeEndpoint::start(|_, e| e.answer(200, "steady"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", leaving.address));
    store.put_endpoint(endpoint("e2", steady.address));
    let pair = pair(&store);
    // All of it comes to the first gateway at once.
    pair.first.store.refuse(true);
    let mut left = endpoint("e1", leaving.address);
    left.state = EndpointState::Draining { leaves_in: None };
    store.put_endpoint(left);
    // Names that don't shrink: together more than one gateway passes on to another at once.
    for number in 0..OTHERS {
        let name = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()));
        let mut other = endpoint(&name, steady.address);
        other.service = "other".into();
        store.put_endpoint(other);
    }
    pair.first.store.refuse(false);
    let call = || pair.second.call("/a/1", &["x-key: k"]);
    wait_until("the leaving one to get nothing more", || {
        let before = leaving.heads().len();
        let served = (0..CALLS).filter(|_| call().status == 200).count();
        served == CALLS && leaving.heads().len() == before
    });
    assert!(steady.heads().len() >= CALLS);
}
