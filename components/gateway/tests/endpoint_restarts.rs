//! Endpoints that start again under their id, and entries that other writers made.

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
    (setup, lines)
}

fn born(born_ms: u64, endpoint: Endpoint) -> Endpoint {
    Endpoint {
        born_ms: Some(born_ms),
        ..endpoint
    }
}

/// An endpoint that begins a stream, sends one event and says nothing more.
fn silent_after_one() -> FakeEndpoint {
    FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.wait_closed();
    })
}

#[test]
fn a_stream_whose_endpoint_started_again_goes_on_although_its_connection_is_silent() {
    let store = FakeStore::default();
    let mut patient = route("/a/", Execution::Stream { resumable: true });
    // Silence alone would be waited out.
    patient.gap_target = Some(Duration::from_secs(5));
    store.put_configuration(configuration(1, vec![patient]));
    let first = silent_after_one();
    store.put_endpoint(born(1, endpoint("e1", first.address)));
    let (setup, _) = start(&store);
    let mut stream = open(setup.address(), &request_text("/a/1", &[]));
    wait_until("the request", || first.heads().len() == 1);
    let second = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(2);
        exchange.end_stream();
    });
    store.put_endpoint(endpoint("e2", second.address));
    // Behind a cut the old process ended without a word on its connections.
    store.put_endpoint(born(2, endpoint("e1", first.address)));
    let answer = read_answer(&mut stream);
    assert!(answer.is_complete, "{}", answer.body);
    assert!(answer.body.contains("e1") && answer.body.contains("e2"));
}

#[test]
fn a_request_that_may_run_once_ends_truthfully_when_its_endpoint_started_again() {
    let store = store(Execution::Once);
    let silent = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    store.put_endpoint(born(1, endpoint("e1", silent.address)));
    let (setup, _) = start(&store);
    let address = setup.address();
    let asked = thread::spawn(move || send(address, &request_text("/a/1", &[])));
    wait_until("the request", || silent.heads().len() == 1);
    store.put_endpoint(born(2, endpoint("e1", silent.address)));
    assert_eq!(asked.join().unwrap().status, 502);
    assert_eq!(silent.heads().len(), 1);
}

#[test]
fn one_endpoint_that_ends_again_and_again_counts_each_time() {
    let store = store(Execution::Once);
    let (setup, lines) = {
        let first = CrashingEndpoint::start();
        store.put_endpoint(born(0, endpoint("e", first.address)));
        start(&store)
    };
    for start in 1..=3 {
        let crashing = CrashingEndpoint::start();
        store.put_endpoint(born(start, endpoint("e", crashing.address)));
        wait_until("the record", || {
            lines.count("endpoint changed") > start as usize
        });
        wait_until("the request to reach it", || {
            setup.call(common::crashing::POISON_PATH, &[]);
            crashing.has_stopped()
        });
    }
    wait_until("it to be held back", || {
        lines.count("request quarantined") > 0
    });
}

#[test]
fn an_end_is_counted_also_if_the_endpoint_takes_connections_again_at_once() {
    // It cuts off each answer and lives on, as one that is started again within a moment.
    let store = store(Execution::Once);
    let fake = FakeEndpoint::start(|_, exchange| exchange.close());
    store.put_endpoint(born(0, endpoint("e", fake.address)));
    let (setup, lines) = start(&store);
    for start in 1..=3 {
        assert_eq!(setup.call("/a/1", &[]).status, 502);
        wait_until("the look", || {
            lines.count("endpoint cut an answer off") >= start as usize
        });
        store.put_endpoint(born(start, endpoint("e", fake.address)));
        wait_until("the record", || {
            lines.count("endpoint changed") > start as usize
        });
    }
    wait_until("it to be held back", || {
        lines.count("request quarantined") > 0
    });
}

#[test]
fn an_entry_that_turns_unreadable_takes_its_endpoint_out_and_no_other() {
    let store = store(Execution::Once);
    let may_answer = Arc::new(AtomicBool::new(false));
    let waits = Arc::clone(&may_answer);
    let first = FakeEndpoint::start(move |_, exchange| {
        wait_until("leave to answer", || waits.load(Ordering::Relaxed));
        exchange.answer(200, "first");
    });
    store.put_endpoint(endpoint("e1", first.address));
    let (setup, lines) = start(&store);
    let address = setup.address();
    let asked = thread::spawn(move || send(address, &request_text(HANGING_PATH, &[])));
    wait_until("the request", || first.heads().len() == 1);
    let second = FakeEndpoint::start(|_, exchange| exchange.answer(200, "second"));
    store.put_endpoint(endpoint("e2", second.address));
    store.put_row(Topic::Endpoints, "e1", b"of another writer".to_vec());
    wait_until("the entry", || lines.count("entry passed over") == 1);
    for _ in 0..10 {
        assert_eq!(setup.call("/a/1", &[]).body, "second");
    }
    may_answer.store(true, Ordering::Relaxed);
    assert_eq!(asked.join().unwrap().body, "first");
    assert_eq!(first.heads().len(), 1);
}
