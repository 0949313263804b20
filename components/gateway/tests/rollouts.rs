//! Roll-outs that the operator orders, at real gateways.

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

/// Time of the orders: some 100 requests go to the ordered version within it.
const TIME: Duration = Duration::from_secs(4);

struct World {
    store: FakeStore,
    old: FakeEndpoint,
    new: Vec<FakeEndpoint>,
}

impl World {
    /// Endpoints of the version `v1`, and some of `v2` that answer with `status`.
    fn new(status: u16) -> Self {
        let store = FakeStore::default();
        store.put_configuration(configuration(1, vec![route("/a/", Execution::Once)]));
        let old = FakeEndpoint::start(|_, e| e.answer(200, "x"));
        store.put_endpoint(endpoint_with_version("v1", "old", old.address));
        let new = (0..3).map(|_| FakeEndpoint::start(move |_, e| e.answer(status, "x")));
        World {
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

/// Calls a gateway until the status is so.
fn call_until_status(world: &World, gateway: &Setup, wanted: &str) -> usize {
    let mut calls = 0;
    wait_until(wanted, || {
        gateway.call("/a/1", &[]);
        calls += 1;
        world.status_is(wanted)
    });
    calls
}

#[test]
fn a_good_version_is_completed_and_then_gets_all_requests() {
    let world = World::new(200);
    let gateway = world.start("g1", Vec::new());
    world.start_new_version();
    world.store.put_order("v2", TIME);
    let calls = call_until_status(&world, &gateway, "v2 Some(Completed)");
    let most = calls / 10 + 50;
    assert!(
        world.new_requests() <= most,
        "{} of {calls}",
        world.new_requests()
    );
    let before = world.old.heads().len();
    for _ in 0..50 {
        assert_eq!(gateway.call("/a/1", &[]).status, 200);
    }
    assert_eq!(world.old.heads().len(), before);
}

/// The old endpoint answers within 1 ms, the new ones 8 ms later, as connections that rest do on busy processors: what
/// no caller notices says nothing of a version.
#[test]
fn a_version_whose_quick_answers_come_some_milliseconds_later_is_completed() {
    let mut world = World::new(200);
    let late = || {
        FakeEndpoint::start(|_, e| {
            std::thread::sleep(Duration::from_millis(8));
            e.answer(200, "x");
        })
    };
    world.new = (0..3).map(|_| late()).collect();
    let gateway = world.start("g1", Vec::new());
    world.start_new_version();
    world.store.put_order("v2", TIME);
    call_until_status(&world, &gateway, "v2 Some(Completed)");
}

#[test]
fn a_bad_version_is_reverted_and_then_gets_no_request() {
    let world = World::new(500);
    let gateway = world.start("g1", Vec::new());
    world.start_new_version();
    world.store.put_order("v2", TIME);
    call_until_status(&world, &gateway, "v2 Some(Reverted)");
    assert!(world.new_requests() < 50, "{}", world.new_requests());
    let before = world.new_requests();
    for _ in 0..50 {
        assert_eq!(gateway.call("/a/1", &[]).status, 200);
    }
    assert_eq!(world.new_requests(), before);
}

#[test]
fn a_version_that_never_starts_is_reverted() {
    let world = World::new(200);
    let gateway = world.start("g1", Vec::new());
    world.store.put_order("v2", Duration::from_secs(2));
    call_until_status(&world, &gateway, "v2 Some(Reverted)");
}

#[test]
fn whoever_starts_later_goes_by_the_decision() {
    let world = World::new(200);
    let first = world.start("g1", Vec::new());
    world.start_new_version();
    world.store.put_order("v2", TIME);
    call_until_status(&world, &first, "v2 Some(Completed)");
    // The old endpoint is left in place to see that it is not used.
    let seeds = vec![first.gateway.peer_address().to_string()];
    first.stop();
    let second = world.start("g2", seeds);
    wait_until("the decision to be known", || {
        let before = world.old.heads().len();
        second.call("/a/1", &[]);
        world.old.heads().len() == before
    });
    let before = world.old.heads().len();
    for _ in 0..50 {
        assert_eq!(second.call("/a/1", &[]).status, 200);
    }
    assert_eq!(world.old.heads().len(), before);
    assert!(world.status_is("v2 Some(Completed)"));
}

#[test]
fn another_gateway_goes_on_when_the_holder_stops() {
    let world = World::new(500);
    let first = world.start("g1", Vec::new());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let second = world.start("g2", seeds);
    world.store.put_order("v2", Duration::from_secs(12));
    wait_until("the order to be taken up", || world.status_is("v2 None"));
    first.stop();
    world.start_new_version();
    call_until_status(&world, &second, "v2 Some(Reverted)");
    assert!(world.new_requests() < 50, "{}", world.new_requests());
}

#[test]
fn a_second_order_for_the_version_that_was_reverted_is_judged_anew() {
    let bad = Arc::new(AtomicBool::new(true));
    let mut world = World::new(200);
    let is_bad = Arc::clone(&bad);
    let fake = FakeEndpoint::start(move |_, e| {
        let status = if is_bad.load(Ordering::Relaxed) {
            500
        } else {
            200
        };
        e.answer(status, "x");
    });
    world.new = vec![fake];
    let gateway = world.start("g1", Vec::new());
    world.start_new_version();
    world.store.put_order("v2", TIME);
    call_until_status(&world, &gateway, "v2 Some(Reverted)");
    bad.store(false, Ordering::Relaxed);
    world.store.put_order("v2", TIME);
    call_until_status(&world, &gateway, "v2 None");
    call_until_status(&world, &gateway, "v2 Some(Completed)");
}

#[test]
fn endpoints_of_a_later_version_that_nobody_ordered_serve_once_the_ordered_one_is_gone() {
    let world = World::new(200);
    let gateway = world.start("g1", Vec::new());
    world.start_new_version();
    world.store.put_order("v2", TIME);
    call_until_status(&world, &gateway, "v2 Some(Completed)");
    let released = FakeEndpoint::start(|_, e| e.answer(200, "released"));
    world
        .store
        .put_endpoint(endpoint_with_version("v3", "released", released.address));
    for id in ["old", "new0", "new1", "new2"] {
        world.store.delete_endpoint(id);
    }
    wait_until("an answer of the later version", || {
        gateway.call("/a/1", &[]).body == "released"
    });
}

#[test]
fn requests_at_endpoints_that_are_slow_from_their_start_count_as_exposure() {
    let world = World::new(200);
    let gateway = world.start_with(GatewaySettings {
        reports_usage: true,
        exposure_extra: 0,
        ..settings()
    });
    for (i, fake) in world.new.iter().enumerate() {
        let endpoint = endpoint_with_version("v2", &format!("new{i}"), fake.address);
        world.store.put_endpoint(Endpoint {
            cold: Duration::from_secs(600),
            ..endpoint
        });
    }
    world.store.put_order("v2", TIME);
    wait_until("the order to be taken up", || world.status_is("v2 None"));
    // Their answers are no evidence, so the version is not proven.
    let calls = call_until_status(&world, &gateway, "v2 Some(Reverted)");
    // Half of what a bad version may get is for evidence.
    let (got, most) = (world.new_requests(), calls / 20);
    assert!(got <= most, "{got} of {calls}");
}
