//! A gateway between endpoints of its own and of another region.

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

fn far(id: &str, fake: &FakeEndpoint) -> Endpoint {
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
fn requests_stay_in_their_region_while_an_endpoint_there_has_room() {
    let near = FakeEndpoint::start(|_, e| e.answer(200, "near"));
    let away = FakeEndpoint::start(|_, e| e.answer(200, "far"));
    let endpoints = vec![endpoint("near", near.address), far("far", &away)];
    let setup = start(0, endpoints);
    for _ in 0..50 {
        assert_eq!(setup.call("/a/", &[]).body, "near");
    }
    assert!(away.heads().is_empty());
}

#[test]
fn a_region_without_endpoints_is_served_by_the_other() {
    let away = FakeEndpoint::start(|_, e| e.answer(200, "far"));
    let setup = start(0, vec![far("far", &away)]);
    assert_eq!(setup.call("/a/", &[]).body, "far");
}

#[test]
fn what_only_a_full_link_could_take_is_refused_at_once_with_the_time_until_it_has_room() {
    let away = FakeEndpoint::start(|_, e| e.answer(200, "far"));
    // The least rate: a gateway that knows of no other gets some bytes a second of it.
    let setup = start(1, vec![far("far", &away)]);
    let started = Instant::now();
    let answer = setup.call("/a/", &[]);
    // The route waits for an endpoint to appear for a sixth of its target of 5 s; the link is not waited for.
    assert!(started.elapsed() < Duration::from_millis(800), "{answer:?}");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert!(away.heads().is_empty());
}

#[test]
fn a_full_link_leaves_requests_to_endpoints_of_the_own_region() {
    let near = FakeEndpoint::start(|_, e| e.answer(200, "near"));
    let away = FakeEndpoint::start(|_, e| e.answer(200, "far"));
    let endpoints = vec![endpoint("near", near.address), far("far", &away)];
    let setup = start(1, endpoints);
    for _ in 0..20 {
        assert_eq!(setup.call("/a/", &[]).body, "near");
    }
}
