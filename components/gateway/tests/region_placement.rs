//! Placement of requests on endpoints of the own region and of another one.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use schema::settings::GatewaySettings;

fn halls() -> BTreeMap<String, String> {
    let halls = [("z1", "r"), ("y1", "q")];
    let halls = halls.map(|(hall, region)| (hall.to_string(), region.to_string()));
    BTreeMap::from(halls)
}

fn in_other_region(id: &str, fake: &FakeEndpoint) -> Endpoint {
    Endpoint {
        zone: "y1".into(),
        ..endpoint(id, fake.address)
    }
}

fn start(region_link_kbit: i64, endpoints: Vec<Endpoint>) -> Setup {
    let store = FakeStore::default();
    let route = route("/a/", Execution::Repeatable);
    store.put_configuration(configuration(1, vec![route]));
    for endpoint in endpoints {
        store.put_endpoint(endpoint);
    }
    let settings = GatewaySettings {
        halls: halls(),
        region_link_kbit,
        ..settings()
    };
    let setup = Setup::start(settings, store);
    wait_until("readiness", || setup.is_ready());
    setup
}

#[test]
fn requests_stay_in_their_region_while_an_endpoint_there_is_free() {
    let own = FakeEndpoint::start(|_, e| e.answer(200, "own"));
    let other = FakeEndpoint::start(|_, e| e.answer(200, "other"));
    let endpoints = vec![
        endpoint("own", own.address),
        in_other_region("other", &other),
    ];
    let setup = start(0, endpoints);
    for _ in 0..50 {
        assert_eq!(setup.call("/a/", &[]).body, "own");
    }
    assert!(other.heads().is_empty());
}

#[test]
fn a_region_without_endpoints_uses_those_of_another_region() {
    let other = FakeEndpoint::start(|_, e| e.answer(200, "other"));
    let setup = start(0, vec![in_other_region("other", &other)]);
    assert_eq!(setup.call("/a/", &[]).body, "other");
}

#[test]
fn a_request_that_only_a_full_link_could_carry_is_refused_at_once_with_retry_after() {
    let other = FakeEndpoint::start(|_, e| e.answer(200, "other"));
    // At the lowest rate, a gateway without known peers may use a few bytes a second.
    let setup = start(1, vec![in_other_region("other", &other)]);
    let started = Instant::now();
    let answer = setup.call("/a/", &[]);
    // A request waits for an endpoint to appear for a sixth of the route's target of 5 s, but it doesn't wait for the link.
    assert!(started.elapsed() < Duration::from_millis(800), "{answer:?}");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert!(other.heads().is_empty());
}

#[test]
fn requests_go_to_endpoints_of_the_own_region_while_the_link_is_full() {
    let own = FakeEndpoint::start(|_, e| e.answer(200, "own"));
    let other = FakeEndpoint::start(|_, e| e.answer(200, "other"));
    let endpoints = vec![
        endpoint("own", own.address),
        in_other_region("other", &other),
    ];
    let setup = start(1, endpoints);
    for _ in 0..20 {
        assert_eq!(setup.call("/a/", &[]).body, "own");
    }
}
