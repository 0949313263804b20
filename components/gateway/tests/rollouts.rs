//! Roll-outs ordered by the operator, with running gateways and fake endpoints.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::{
    configuration, endpoint_with_version, route, settings, wait_until, FakeEndpoint, FakeStore,
    Setup,
};
use directory::{Endpoint, Execution};
use schema::settings::GatewaySettings;

/// Duration of the roll-outs, in which about 100 requests go to the ordered version.
const ORDER_TIME: Duration = Duration::from_secs(4);

struct Fixture {
    store: FakeStore,
    old: FakeEndpoint,
    new: Vec<FakeEndpoint>,
}

impl Fixture {
    /// One endpoint of the version `v1`, and three of `v2` that answer with `status`.
    fn new(status: u16) -> Self {
        let store = FakeStore::default();
        store.put_configuration(configuration(1, vec![route("/a/", Execution::Once)]));
        let old = FakeEndpoint::start(|_, e| e.answer(200, "x"));
        store.put_endpoint(endpoint_with_version("v1", "old", old.address));
        let new = (0..3).map(|_| FakeEndpoint::start(move |_, e| e.answer(status, "x")));
        Fixture {
            store,
            old,
            new: new.collect(),
        }
    }

    fn start(&self, name: &str, seeds: Vec<String>) -> Setup {
        self.start_with(GatewaySettings {
            name: name.into(),
            seeds,
            reports_usage: true,
            ..settings()
        })
    }

    fn start_with(&self, settings: GatewaySettings) -> Setup {
        let setup = Setup::start(settings, self.store.for_other_gateway());
        wait_until("readiness", || setup.is_ready());
        setup
    }

    fn start_new_version(&self) {
        for (i, fake) in self.new.iter().enumerate() {
            let id = format!("new{i}");
            let endpoint = endpoint_with_version("v2", &id, fake.address);
            self.store.put_endpoint(endpoint);
        }
    }

    fn new_requests(&self) -> usize {
        self.new.iter().map(|fake| fake.heads().len()).sum()
    }

    fn status_is(&self, wanted: &str) -> bool {
        self.store.rollout_status().as_deref() == Some(wanted)
    }
}

/// Calls a gateway until the roll-out has the wanted status. Returns the number of calls.
fn call_until_status(fixture: &Fixture, gateway: &Setup, wanted: &str) -> usize {
    let mut calls = 0;
    wait_until(wanted, || {
        gateway.call("/a/1", &[]);
        calls += 1;
        fixture.status_is(wanted)
    });
    calls
}

#[test]
fn a_good_version_is_completed_and_then_gets_all_requests() {
    let fixture = Fixture::new(200);
    let gateway = fixture.start("g1", Vec::new());
    fixture.start_new_version();
    fixture.store.put_order("v2", ORDER_TIME);
    let calls = call_until_status(&fixture, &gateway, "v2 Some(Completed)");
    let max = calls / 10 + 50;
    assert!(
        fixture.new_requests() <= max,
        "{} of {calls}",
        fixture.new_requests()
    );
    let before = fixture.old.heads().len();
    for _ in 0..50 {
        assert_eq!(gateway.call("/a/1", &[]).status, 200);
    }
    assert_eq!(fixture.old.heads().len(), before);
}

// Guards against processes that replace each other during an order and use the same part of the extra requests.
#[test]
fn a_gateway_that_starts_during_an_order_exposes_only_the_fraction_of_its_own_requests() {
    const CALLS: usize = 2000;
    let fixture = Fixture::new(200);
    fixture.start_new_version();
    fixture.store.put_order("v2", Duration::from_secs(60));
    let gateway = fixture.start_with(GatewaySettings {
        exposure_milli: 100,
        exposure_extra: 1000,
        reports_usage: true,
        ..settings()
    });
    let mut calls = 0;
    wait_until("a sampled request", || {
        gateway.call("/a/1", &[]);
        calls += 1;
        fixture.new_requests() > 0
    });
    for _ in 0..CALLS {
        gateway.call("/a/1", &[]);
    }
    // Half of the fraction is for the sample.
    let max = (calls + CALLS) / 20;
    let exposed = fixture.new_requests();
    assert!(exposed <= max, "{exposed} of {max}");
}

/// The old endpoint answers within 1 ms and the new ones 8 ms later, as idle connections do on busy processors. A difference
/// that no caller notices must not count against a version.
#[test]
fn a_version_that_is_8_ms_slower_than_quick_answers_is_completed() {
    let mut fixture = Fixture::new(200);
    let late = || {
        FakeEndpoint::start(|_, e| {
            std::thread::sleep(Duration::from_millis(8));
            e.answer(200, "x");
        })
    };
    fixture.new = (0..3).map(|_| late()).collect();
    let gateway = fixture.start("g1", Vec::new());
    fixture.start_new_version();
    fixture.store.put_order("v2", ORDER_TIME);
    call_until_status(&fixture, &gateway, "v2 Some(Completed)");
}

#[test]
fn a_bad_version_is_reverted_and_then_gets_no_request() {
    let fixture = Fixture::new(500);
    let gateway = fixture.start("g1", Vec::new());
    fixture.start_new_version();
    fixture.store.put_order("v2", ORDER_TIME);
    call_until_status(&fixture, &gateway, "v2 Some(Reverted)");
    assert!(fixture.new_requests() < 50, "{}", fixture.new_requests());
    let before = fixture.new_requests();
    for _ in 0..50 {
        assert_eq!(gateway.call("/a/1", &[]).status, 200);
    }
    assert_eq!(fixture.new_requests(), before);
}

#[test]
fn a_version_that_never_starts_is_reverted() {
    let fixture = Fixture::new(200);
    let gateway = fixture.start("g1", Vec::new());
    fixture.store.put_order("v2", Duration::from_secs(2));
    call_until_status(&fixture, &gateway, "v2 Some(Reverted)");
}

#[test]
fn a_gateway_that_starts_later_follows_the_decision() {
    let fixture = Fixture::new(200);
    let first = fixture.start("g1", Vec::new());
    fixture.start_new_version();
    fixture.store.put_order("v2", ORDER_TIME);
    call_until_status(&fixture, &first, "v2 Some(Completed)");
    // The old endpoint keeps running, so that the test can see that it gets no requests.
    let seeds = vec![first.gateway.peer_address().to_string()];
    first.stop();
    let second = fixture.start("g2", seeds);
    wait_until("the decision to be known", || {
        let before = fixture.old.heads().len();
        second.call("/a/1", &[]);
        fixture.old.heads().len() == before
    });
    let before = fixture.old.heads().len();
    for _ in 0..50 {
        assert_eq!(second.call("/a/1", &[]).status, 200);
    }
    assert_eq!(fixture.old.heads().len(), before);
    assert!(fixture.status_is("v2 Some(Completed)"));
}

#[test]
fn another_gateway_continues_the_roll_out_when_the_lease_holder_stops() {
    let fixture = Fixture::new(500);
    let first = fixture.start("g1", Vec::new());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let second = fixture.start("g2", seeds);
    fixture.store.put_order("v2", Duration::from_secs(12));
    wait_until("the roll-out to begin", || fixture.status_is("v2 None"));
    first.stop();
    fixture.start_new_version();
    call_until_status(&fixture, &second, "v2 Some(Reverted)");
    assert!(fixture.new_requests() < 50, "{}", fixture.new_requests());
}

#[test]
fn a_new_order_for_a_reverted_version_starts_a_new_evaluation() {
    let bad = Arc::new(AtomicBool::new(true));
    let mut fixture = Fixture::new(200);
    let is_bad = Arc::clone(&bad);
    let fake = FakeEndpoint::start(move |_, e| {
        let status = if is_bad.load(Ordering::Relaxed) {
            500
        } else {
            200
        };
        e.answer(status, "x");
    });
    fixture.new = vec![fake];
    let gateway = fixture.start("g1", Vec::new());
    fixture.start_new_version();
    fixture.store.put_order("v2", ORDER_TIME);
    call_until_status(&fixture, &gateway, "v2 Some(Reverted)");
    bad.store(false, Ordering::Relaxed);
    fixture.store.put_order("v2", ORDER_TIME);
    call_until_status(&fixture, &gateway, "v2 None");
    call_until_status(&fixture, &gateway, "v2 Some(Completed)");
}

#[test]
fn endpoints_of_a_version_without_an_order_serve_once_the_ordered_version_is_gone() {
    let fixture = Fixture::new(200);
    let gateway = fixture.start("g1", Vec::new());
    fixture.start_new_version();
    fixture.store.put_order("v2", ORDER_TIME);
    call_until_status(&fixture, &gateway, "v2 Some(Completed)");
    let released = FakeEndpoint::start(|_, e| e.answer(200, "released"));
    fixture
        .store
        .put_endpoint(endpoint_with_version("v3", "released", released.address));
    for id in ["old", "new0", "new1", "new2"] {
        fixture.store.delete_endpoint(id);
    }
    wait_until("an answer of the later version", || {
        gateway.call("/a/1", &[]).body == "released"
    });
}

#[test]
fn requests_to_cold_endpoints_count_towards_the_exposure_limit() {
    let fixture = Fixture::new(200);
    let gateway = fixture.start_with(GatewaySettings {
        reports_usage: true,
        exposure_extra: 0,
        ..settings()
    });
    for (i, fake) in fixture.new.iter().enumerate() {
        let endpoint = endpoint_with_version("v2", &format!("new{i}"), fake.address);
        fixture.store.put_endpoint(Endpoint {
            cold: Duration::from_secs(600),
            ..endpoint
        });
    }
    fixture.store.put_order("v2", ORDER_TIME);
    wait_until("the roll-out to begin", || fixture.status_is("v2 None"));
    // Answers of cold endpoints are no evidence, so the version is reverted for lack of it.
    let calls = call_until_status(&fixture, &gateway, "v2 Some(Reverted)");
    // Half of the exposure limit is reserved for requests that give evidence.
    let (got, max) = (fixture.new_requests(), calls / 20);
    assert!(got <= max, "{got} of {calls}");
}
