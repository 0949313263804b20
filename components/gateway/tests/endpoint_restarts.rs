//! Endpoints that restart under the same id, and endpoint rows that cannot be read.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::crashing::HANGING_PATH;
use common::{
    configuration, endpoint, open, read_answer, request_text, route, send, settings, wait_until,
    CrashingEndpoint, FakeEndpoint, FakeStore, LogLines, Setup,
};
use directory::{Endpoint, Execution};
use gateway::ports::Topic;

fn store(execution: Execution) -> FakeStore {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", execution)]));
    store
}

fn start(store: &FakeStore) -> (Setup, LogLines) {
    let lines = LogLines::default();
    let setup = Setup::start_with_log(settings(), store.clone(), lines.logger());
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    (setup, lines)
}

fn started_at(born_ms: u64, endpoint: Endpoint) -> Endpoint {
    Endpoint {
        born_ms: Some(born_ms),
        ..endpoint
    }
}

/// A fake endpoint that begins a stream, sends one event and nothing after it.
fn silent_after_one_event() -> FakeEndpoint {
    FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.wait_closed();
    })
}

#[test]
fn a_stream_resumes_at_another_endpoint_when_its_endpoint_restarts_without_closing_the_connection()
{
    let store = FakeStore::default();
    let mut long_gap_route = route("/a/", Execution::Stream { resumable: true });
    // The long gap target keeps the gateway waiting while silence is the only sign of a fault.
    long_gap_route.gap_target = Some(Duration::from_secs(5));
    store.put_configuration(configuration(1, vec![long_gap_route]));
    let first = silent_after_one_event();
    store.put_endpoint(started_at(1, endpoint("e1", first.address)));
    let (setup, _) = start(&store);
    let mut stream = open(setup.address(), &request_text("/a/1", &[]));
    wait_until("the request", || first.heads().len() == 1);
    let second = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(2);
        exchange.end_stream();
    });
    store.put_endpoint(endpoint("e2", second.address));
    // The old process ended during a network partition, so its connections were not closed.
    store.put_endpoint(started_at(2, endpoint("e1", first.address)));
    let answer = read_answer(&mut stream);
    assert!(answer.is_complete, "{}", answer.body);
    assert!(answer.body.contains("e1") && answer.body.contains("e2"));
}

#[test]
fn a_run_once_request_fails_and_is_not_sent_again_when_its_endpoint_restarts() {
    let store = store(Execution::Once);
    let silent = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    store.put_endpoint(started_at(1, endpoint("e1", silent.address)));
    let (setup, _) = start(&store);
    let address = setup.address();
    let caller = thread::spawn(move || send(address, &request_text("/a/1", &[])));
    wait_until("the request", || silent.heads().len() == 1);
    store.put_endpoint(started_at(2, endpoint("e1", silent.address)));
    assert_eq!(caller.join().unwrap().status, 502);
    assert_eq!(silent.heads().len(), 1);
}

#[test]
fn each_crash_of_a_restarted_endpoint_counts_towards_quarantine() {
    let store = store(Execution::Once);
    let (setup, lines) = {
        let first = CrashingEndpoint::start();
        store.put_endpoint(started_at(0, endpoint("e", first.address)));
        start(&store)
    };
    for start in 1..=3 {
        let crashing = CrashingEndpoint::start();
        store.put_endpoint(started_at(start, endpoint("e", crashing.address)));
        wait_until("the endpoint row", || {
            lines.count("endpoint changed") > start as usize
        });
        wait_until("the request to reach the endpoint", || {
            setup.call(common::crashing::POISON_PATH, &[]);
            crashing.has_stopped()
        });
    }
    wait_until("the request to be quarantined", || {
        lines.count("request quarantined") > 0
    });
}

#[test]
fn a_crash_counts_also_if_the_endpoint_accepts_connections_again_at_once() {
    // The endpoint cuts off each answer and accepts connections again, as after an immediate restart.
    let store = store(Execution::Once);
    let fake = FakeEndpoint::start(|_, exchange| exchange.close());
    store.put_endpoint(started_at(0, endpoint("e", fake.address)));
    let (setup, lines) = start(&store);
    for start in 1..=3 {
        assert_eq!(setup.call("/a/1", &[]).status, 502);
        wait_until("the log line of the cut-off answer", || {
            lines.count("endpoint cut an answer off") >= start as usize
        });
        store.put_endpoint(started_at(start, endpoint("e", fake.address)));
        wait_until("the endpoint row", || {
            lines.count("endpoint changed") > start as usize
        });
    }
    wait_until("the request to be quarantined", || {
        lines.count("request quarantined") > 0
    });
}

#[test]
fn an_endpoint_whose_row_becomes_unreadable_gets_no_new_requests_and_finishes_running_ones() {
    let store = store(Execution::Once);
    let may_answer = Arc::new(AtomicBool::new(false));
    let waits = Arc::clone(&may_answer);
    let first = FakeEndpoint::start(move |_, exchange| {
        wait_until("permission to answer", || waits.load(Ordering::Relaxed));
        exchange.answer(200, "first");
    });
    store.put_endpoint(endpoint("e1", first.address));
    let (setup, lines) = start(&store);
    let address = setup.address();
    let caller = thread::spawn(move || send(address, &request_text(HANGING_PATH, &[])));
    wait_until("the request", || first.heads().len() == 1);
    let second = FakeEndpoint::start(|_, exchange| exchange.answer(200, "second"));
    store.put_endpoint(endpoint("e2", second.address));
    store.put_row(Topic::Endpoints, "e1", b"unreadable".to_vec());
    wait_until("the log line of the skipped row", || {
        lines.count("entry passed over") == 1
    });
    for _ in 0..10 {
        assert_eq!(setup.call("/a/1", &[]).body, "second");
    }
    may_answer.store(true, Ordering::Relaxed);
    assert_eq!(caller.join().unwrap().body, "first");
    assert_eq!(first.heads().len(), 1);
}
