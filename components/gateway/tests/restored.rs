//! Restores of the store from an older copy: revisions go back and are assigned again, and rows written since the copy
//! are missing until they are written again.

mod common;

use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, EndpointStandin, Lines, Setup,
    StoreStandin,
};
use directory::{Endpoint, EndpointState, Execution};
use gateway::ports::Topic;

fn put_route(store: &StoreStandin, version: u64, prefix: &str) {
    let routes = vec![route(prefix, Execution::Repeatable)];
    store.put_configuration(configuration(version, routes));
}

#[test]
fn a_store_restore_is_logged_once() {
    let standin = EndpointStandin::start(|_, e| e.answer(200, "x"));
    let store = StoreStandin::default();
    put_route(&store, 1, "/a/");
    store.put_endpoint(endpoint("e1", standin.address));
    let lines = Lines::default();
    let setup = Setup::start_with_log(settings(), store.clone(), lines.logger());
    wait_until("readiness", || setup.is_ready());
    wait_until("the first era", || {
        lines.count("era read from the store") == 1
    });
    assert_eq!(lines.count("store restored from an older copy"), 0);
    store.take_snapshot();
    store.restore_snapshot();
    wait_until("the log line of the restore", || {
        lines.count("store restored from an older copy") == 1
    });
    assert_eq!(setup.call("/a/1", &[]).status, 200);
}

/// Time within which a change is to be in force: that of the settings and what this machine needs.
const CHANGE_DUE: Duration = Duration::from_millis(2300);

/// A gateway that knows revisions which the store then lost, and its endpoint.
struct Restored {
    setup: Setup,
    store: StoreStandin,
    standin: EndpointStandin,
}

fn restored() -> Restored {
    let standin = EndpointStandin::start(|_, e| e.answer(200, "x"));
    let store = StoreStandin::default();
    put_route(&store, 1, "/a/");
    store.put_endpoint(endpoint("e1", standin.address));
    let setup = Setup::start(settings(), store.clone());
    wait_until("readiness", || setup.is_ready());
    store.take_snapshot();
    store.advance_revision(500);
    put_route(&store, 2, "/b/");
    store.put_endpoint(endpoint("e1", standin.address));
    wait_until("the second route", || setup.call("/b/1", &[]).status == 200);
    store.restore_snapshot();
    Restored {
        setup,
        store,
        standin,
    }
}

#[test]
fn a_configuration_that_a_restored_store_took_is_in_force_in_time() {
    let restored = restored();
    put_route(&restored.store, 3, "/c/");
    let written = Instant::now();
    wait_until("the third route", || {
        restored.setup.call("/c/1", &[]).status == 200
    });
    assert!(written.elapsed() < CHANGE_DUE, "{:?}", written.elapsed());
}

#[test]
fn an_endpoint_that_leaves_after_the_store_was_restored_gets_no_new_request() {
    let restored = restored();
    restored.store.put_endpoint(Endpoint {
        state: EndpointState::Draining { leaves_in: None },
        ..endpoint("e1", restored.standin.address)
    });
    let written = Instant::now();
    wait_until("the endpoint to be left alone", || {
        restored.setup.call("/b/1", &[]).status == 503
    });
    assert!(written.elapsed() < CHANGE_DUE, "{:?}", written.elapsed());
}

#[test]
fn a_restored_store_is_not_asked_for_all_rows_over_and_over() {
    let restored = restored();
    let asks = || {
        let topics = [Topic::Configuration, Topic::Endpoints];
        topics.map(|topic| restored.store.asks(topic)).iter().sum()
    };
    let before: u64 = asks();
    let began = Instant::now();
    wait_until("a while", || began.elapsed() > CHANGE_DUE);
    // A list, and a held call each 0.6 s, of two topics.
    assert!(asks() - before < 20, "{} calls", asks() - before);
}
