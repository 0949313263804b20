//! Restores of the store from an older copy: revisions go back and are assigned again, and rows written since the copy
//! are missing until they are written again.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, FakeStore,
    LogLines, Setup,
};
use directory::{Configuration, Endpoint, EndpointState, Execution};
use gateway::ports::Topic;
use schema::settings::GatewaySettings;

fn put_route(store: &FakeStore, version: u64, prefix: &str) {
    let routes = vec![route(prefix, Execution::Repeatable)];
    store.put_configuration(configuration(version, routes));
}

#[test]
fn a_store_restore_is_logged_once() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    put_route(&store, 1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let lines = LogLines::default();
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

/// Time within which a change has to be in force: that of the settings, with a margin for scheduling.
const CHANGE_DUE: Duration = Duration::from_millis(2300);

/// A gateway that knows revisions that the store lost in a restore, and its endpoint.
struct RestoredStore {
    setup: Setup,
    store: FakeStore,
    fake: FakeEndpoint,
}

fn setup_restored_store() -> RestoredStore {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    put_route(&store, 1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let setup = Setup::start(settings(), store.clone());
    wait_until("readiness", || setup.is_ready());
    store.take_snapshot();
    store.advance_revision(500);
    put_route(&store, 2, "/b/");
    store.put_endpoint(endpoint("e1", fake.address));
    wait_until("the second route", || setup.call("/b/1", &[]).status == 200);
    store.restore_snapshot();
    RestoredStore { setup, store, fake }
}

#[test]
fn a_configuration_written_after_a_store_restore_is_in_force_in_time() {
    let restored = setup_restored_store();
    put_route(&restored.store, 3, "/c/");
    let written = Instant::now();
    wait_until("the third route", || {
        restored.setup.call("/c/1", &[]).status == 200
    });
    assert!(written.elapsed() < CHANGE_DUE, "{:?}", written.elapsed());
}

#[test]
fn an_endpoint_draining_after_a_store_restore_gets_no_new_requests() {
    let restored = setup_restored_store();
    restored.store.put_endpoint(Endpoint {
        state: EndpointState::Draining { leaves_in: None },
        ..endpoint("e1", restored.fake.address)
    });
    let written = Instant::now();
    wait_until("the endpoint to get no requests", || {
        restored.setup.call("/b/1", &[]).status == 503
    });
    assert!(written.elapsed() < CHANGE_DUE, "{:?}", written.elapsed());
}

#[test]
fn a_restored_store_is_not_listed_repeatedly() {
    let restored = setup_restored_store();
    let asks = || {
        let topics = [Topic::Configuration, Topic::Endpoints];
        topics
            .map(|topic| restored.store.call_count(topic))
            .iter()
            .sum()
    };
    let before: u64 = asks();
    let started = Instant::now();
    wait_until("the end of the observation period", || {
        started.elapsed() > CHANGE_DUE
    });
    // One list, and a long poll every 0.6 s, for each of two topics.
    assert!(asks() - before < 20, "{} calls", asks() - before);
}

fn configuration_with_key(version: u64, key: &str) -> Configuration {
    Configuration {
        tenants: vec![tenant("t", key)],
        ..configuration(version, vec![route("/a/", Execution::Repeatable)])
    }
}

#[test]
fn an_older_configuration_in_a_restored_store_neither_takes_effect_nor_confirms_keys() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    store.put_configuration(configuration_with_key(1, "old"));
    store.put_endpoint(endpoint("e1", fake.address));
    let settings = GatewaySettings {
        credential_age_ms: 1500,
        ..settings()
    };
    let setup = Setup::start(settings, store.clone());
    wait_until("readiness", || setup.is_ready());
    store.take_snapshot();
    store.put_configuration(configuration_with_key(2, "new"));
    let status = |key| setup.call("/a/1", &[&format!("x-key: {key}")]).status;
    wait_until("the new key", || status("new") == 200);
    store.restore_snapshot();
    wait_until("the confirmation to expire", || {
        assert_ne!(status("old"), 200, "the old key was revoked");
        status("new") == 503
    });
    store.put_configuration(configuration_with_key(2, "new"));
    wait_until("the new key to be confirmed", || status("new") == 200);
    assert_eq!(status("old"), 401);
}

/// Whether all requests succeed until a condition holds.
fn is_served_until(setup: &Setup, mut condition: impl FnMut() -> bool) -> bool {
    let mut is_served = true;
    wait_until("the condition", || {
        is_served &= setup.call("/a/1", &[]).status == 200;
        condition()
    });
    is_served
}

/// Starts a gateway that has read the era of its store, and collects its log lines.
fn start_logged(store: &FakeStore) -> (Setup, LogLines) {
    put_route(store, 1, "/a/");
    let lines = LogLines::default();
    let setup = Setup::start_with_log(settings(), store.clone(), lines.logger());
    wait_until("readiness", || setup.is_ready());
    wait_until("the first era", || {
        lines.count("era read from the store") == 1
    });
    (setup, lines)
}

fn restore_and_wait(store: &FakeStore, lines: &LogLines) {
    let lists = lines.count("topic read from the store");
    store.restore_snapshot();
    wait_until("both topics to be listed", || {
        lines.count("topic read from the store") >= lists + 2
    });
}

#[test]
fn a_draining_endpoint_stays_draining_if_a_restored_store_lists_it_as_ready() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    store.put_endpoint(endpoint("e1", fake.address));
    let (setup, lines) = start_logged(&store);
    store.take_snapshot();
    store.put_endpoint(Endpoint {
        state: EndpointState::Draining { leaves_in: None },
        ..endpoint("e1", fake.address)
    });
    wait_until("the endpoint to get no requests", || {
        setup.call("/a/1", &[]).status == 503
    });
    restore_and_wait(&store, &lines);
    let started = Instant::now();
    wait_until("the end of the observation period", || {
        assert_eq!(setup.call("/a/1", &[]).status, 503);
        started.elapsed() > CHANGE_DUE
    });
    // A new start at the same address counts as a new endpoint.
    store.put_endpoint(Endpoint {
        born_ms: Some(7),
        ..endpoint("e1", fake.address)
    });
    wait_until("the next start", || setup.call("/a/1", &[]).status == 200);
}

#[test]
fn an_endpoint_whose_row_a_restored_store_lost_stays_in_use_until_the_rewrite_timeout() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    let (setup, lines) = start_logged(&store);
    store.take_snapshot();
    store.put_endpoint(endpoint("e1", fake.address));
    wait_until("the endpoint", || setup.call("/a/1", &[]).status == 200);
    restore_and_wait(&store, &lines);
    let restored = Instant::now();
    assert!(is_served_until(&setup, || {
        restored.elapsed() > Duration::from_secs(1)
    }));
    wait_until(
        "the endpoint that does not rewrite its row to be gone",
        || setup.call("/a/1", &[]).status == 503,
    );
    assert_eq!(lines.count("endpoint gone"), 1);
    store.put_endpoint(endpoint("e1", fake.address));
    wait_until("the endpoint again", || {
        setup.call("/a/1", &[]).status == 200
    });
    assert!(is_served_until(&setup, || {
        restored.elapsed() > Duration::from_secs(6)
    }));
}

#[test]
fn an_endpoint_dropped_before_a_store_restore_is_not_used_until_its_row_would_have_expired() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    store.put_endpoint(endpoint("e1", fake.address));
    let (setup, lines) = start_logged(&store);
    store.take_snapshot();
    store.delete_endpoint("e1");
    wait_until("the endpoint to be gone", || {
        setup.call("/a/1", &[]).status == 503
    });
    restore_and_wait(&store, &lines);
    let started = Instant::now();
    wait_until("the end of the observation period", || {
        assert_eq!(setup.call("/a/1", &[]).status, 503);
        started.elapsed() > CHANGE_DUE
    });
    // The row would have expired by then if the endpoint were not running.
    wait_until("the endpoint", || setup.call("/a/1", &[]).status == 200);
}

#[test]
fn a_gateway_refused_by_the_store_gets_changes_after_a_restore_from_another_gateway() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    put_route(&store, 1, "/a/");
    store.put_endpoint(endpoint("e1", fake.address));
    let first = Setup::start(settings(), store.clone());
    let second_settings = GatewaySettings {
        name: "g2".into(),
        seeds: vec![first.gateway.peer_address().to_string()],
        ..settings()
    };
    let second = Setup::start(second_settings, store.for_other_gateway());
    wait_until("readiness", || first.is_ready() && second.is_ready());
    second.store.refuse(true);
    store.take_snapshot();
    store.advance_revision(500);
    put_route(&store, 2, "/b/");
    wait_until("the second route", || {
        second.call("/b/1", &[]).status == 200
    });
    store.restore_snapshot();
    put_route(&store, 3, "/c/");
    let written = Instant::now();
    wait_until("the third route", || second.call("/c/1", &[]).status == 200);
    assert!(written.elapsed() < CHANGE_DUE, "{:?}", written.elapsed());
}

#[test]
fn a_gateway_whose_row_a_restored_store_lost_rewrites_it() {
    let store = FakeStore::default();
    store.take_snapshot();
    let (_setup, lines) = start_logged(&store);
    wait_until("the row", || store.row(Topic::Gateways, "g1").is_some());
    store.restore_snapshot();
    assert!(store.row(Topic::Gateways, "g1").is_none());
    wait_until("the rewritten row", || {
        store.row(Topic::Gateways, "g1").is_some()
    });
    wait_until("the log line of the rewrite", || {
        lines.count("gateway row rewritten") == 1
    });
}

#[test]
fn an_order_rewritten_after_a_store_restore_continues() {
    let store = FakeStore::default();
    let (_setup, lines) = start_logged(&store);
    store.take_snapshot();
    let time = Duration::from_secs(60);
    store.advance_revision(10);
    store.put_order("v2", time);
    wait_until("the order", || lines.count("roll-out ordered") == 1);
    restore_and_wait(&store, &lines);
    store.put_order("v2", time);
    wait_until("the rewritten order", || {
        lines.count("roll-out order rewritten") == 1
    });
    assert_eq!(lines.count("roll-out withdrawn"), 0);
    // A new order is taken although its revision is lower than that of the order lost in the restore.
    store.put_order("v3", time);
    wait_until("the new order", || lines.count("roll-out ordered") == 2);
}

#[test]
fn an_order_not_rewritten_after_a_store_restore_is_withdrawn() {
    let store = FakeStore::default();
    let (_setup, lines) = start_logged(&store);
    store.take_snapshot();
    store.put_order("v2", Duration::from_secs(60));
    wait_until("the order", || lines.count("roll-out ordered") == 1);
    restore_and_wait(&store, &lines);
    wait_until("the withdrawal of the order", || {
        lines.count("roll-out withdrawn") == 1
    });
}

fn reporting_settings(name: &str, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        name: name.into(),
        seeds,
        reports_usage: true,
        ..settings()
    }
}

fn reported_windows(setup: &Setup) -> BTreeSet<i64> {
    let reports = setup.orders.reports.lock().unwrap();
    reports.iter().map(|(_, report)| report.window).collect()
}

#[test]
fn a_window_whose_row_a_restored_store_lost_is_not_reported_by_the_next_holder() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = FakeStore::default();
    store.put_configuration(configuration_with_key(1, "k"));
    store.put_endpoint(endpoint("e1", fake.address));
    let first = Setup::start(reporting_settings("g1", Vec::new()), store.clone());
    wait_until("readiness", || first.is_ready());
    wait_until("the lease", || store.row(Topic::Lease, "duties").is_some());
    store.take_snapshot();
    let seeds = vec![first.gateway.peer_address().to_string()];
    let second = Setup::start(reporting_settings("g2", seeds), store.for_other_gateway());
    wait_until("readiness", || second.is_ready());
    let started = Instant::now();
    let call = |setup: &Setup| setup.call("/a/1", &["x-key: k"]).status;
    wait_until("reports of windows with requests", || {
        call(&first);
        call(&second);
        let has_counts = |setup: &Setup| {
            let reports = setup.orders.reports.lock().unwrap();
            let counts = reports.iter().map(|(_, report)| report.counts.len());
            counts.sum::<usize>() >= 2
        };
        (has_counts(&first) || has_counts(&second)) && started.elapsed() > CHANGE_DUE
    });
    let (holder, next_holder) = match reported_windows(&first).is_empty() {
        true => (&second, &first),
        false => (&first, &second),
    };
    // The holder stops without reaching the restored store.
    holder.store.refuse(true);
    store.restore_snapshot();
    holder.stop();
    let reported_before = reported_windows(holder);
    wait_until("reports of the next holder", || {
        call(next_holder);
        reported_windows(next_holder).len() >= 2
    });
    let reported_twice: Vec<i64> = reported_before
        .intersection(&reported_windows(next_holder))
        .copied()
        .collect();
    assert!(reported_twice.is_empty(), "{reported_twice:?}");
}
