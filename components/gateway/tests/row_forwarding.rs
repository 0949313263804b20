//! Rows of the store that gateways forward to each other.

mod common;

use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{EndpointState, Execution};
use schema::settings::GatewaySettings;

const CREDENTIAL_AGE: Duration = Duration::from_secs(3);

/// Two gateways. The store refuses the calls of the second one after both are ready.
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
fn a_gateway_refused_by_the_store_gets_changes_of_routes_and_endpoints_from_another() {
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
fn a_gateway_gets_a_change_from_another_while_the_store_does_not_respond() {
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
fn a_gateway_refused_by_the_store_accepts_keys_while_another_gateway_confirms_them() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let pair = pair(&store);
    let started = Instant::now();
    while started.elapsed() < CREDENTIAL_AGE * 3 / 2 {
        assert_eq!(pair.second.call("/a/1", &["x-key: k"]).status, 200);
    }
    // No gateway can confirm the key from here on.
    pair.first.store.refuse(true);
    wait_until("the key to be refused", || {
        pair.second.call("/a/1", &["x-key: k"]).status == 503
    });
}

#[test]
fn a_gateway_refused_by_the_store_rejects_a_removed_key() {
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

fn without_key_expiry(name: &str, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        credential_age_ms: 0,
        ..named(name, seeds)
    }
}

#[test]
fn without_key_expiry_a_gateway_that_starts_without_the_store_serves_by_rows_of_another() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let first = Setup::start(without_key_expiry("g1", Vec::new()), store.clone());
    wait_until("readiness", || first.is_ready());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let unreachable = store.for_other_gateway();
    unreachable.refuse(true);
    let second = Setup::start(without_key_expiry("g2", seeds), unreachable);
    assert_eq!(second.call("/a/1", &["x-key: k"]).status, 503);
    wait_until("readiness", || second.is_ready());
    wait_until("an answer", || {
        second.call("/a/1", &["x-key: k"]).status == 200
    });
    // Without the store it cannot tell whether this key or route is new, so it does not answer 401 or 404.
    assert_eq!(second.call("/a/1", &["x-key: other"]).status, 503);
    assert_eq!(second.call("/b/1", &["x-key: k"]).status, 503);
}

#[test]
fn without_key_expiry_keys_are_accepted_while_the_store_is_unreachable() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let alone = Setup::start(without_key_expiry("g1", Vec::new()), store.clone());
    wait_until("readiness", || alone.is_ready());
    store.refuse(true);
    wait_until("unknown keys to be answered with 503", || {
        alone.call("/a/1", &["x-key: other"]).status == 503
    });
    assert_eq!(alone.call("/a/1", &["x-key: k"]).status, 200);
    assert!(alone.is_ready());
}

#[test]
fn a_configuration_of_60_kb_is_forwarded() {
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
fn a_gateway_refused_by_the_store_learns_of_a_draining_endpoint_among_thousands_of_changes() {
    const OTHERS: u64 = 4_000;
    /// Half of them go to each of the two endpoints while both are in use.
    const CALLS: usize = 40;
    let draining = FakeEndpoint::start(|_, e| e.answer(200, "draining"));
    let steady = FakeEndpoint::start(|_, e| e.answer(200, "steady"));
    let store = store_with(1, "/a/");
    store.put_endpoint(endpoint("e1", draining.address));
    store.put_endpoint(endpoint("e2", steady.address));
    let pair = pair(&store);
    // The first gateway receives all changes at once.
    pair.first.store.refuse(true);
    let mut record = endpoint("e1", draining.address);
    record.state = EndpointState::Draining { leaves_in: None };
    store.put_endpoint(record);
    // Names that cannot be compressed, so that the changes exceed the size of one reply between gateways.
    for number in 0..OTHERS {
        let name = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()));
        let mut other = endpoint(&name, steady.address);
        other.service = "other".into();
        store.put_endpoint(other);
    }
    pair.first.store.refuse(false);
    let call = || pair.second.call("/a/1", &["x-key: k"]);
    wait_until("the draining endpoint to get no more requests", || {
        let before = draining.heads().len();
        let served = (0..CALLS).filter(|_| call().status == 200).count();
        served == CALLS && draining.heads().len() == before
    });
    assert!(steady.heads().len() >= CALLS);
}
