//! Quarantine of a poison request: a request that crashes every endpoint that runs it.
//!
//! Guards against repeated crashes: one caller retried a request at any gateway and crashed 37 endpoints within seconds,
//! with all other requests on them. Each retry had a new id, so each gateway took it for a new request, and a stream whose
//! endpoint had crashed was resumed at the next one. Log lines of attempts with a fingerprint of the request show the same
//! fingerprint at each crash.

mod common;

use std::thread;

use common::crashing::{HANGING_PATH, POISON_PATH};
use common::{
    configuration, endpoint, request_text, route, send, settings, wait_until, Answer,
    CrashingEndpoint, FakeEndpoint, FakeStore, LogLines, Setup,
};
use directory::{Endpoint, EndpointState, Execution};
use gateway::ports::Topic;
use schema::messages::{GatewayRow, QuarantineRow};
use schema::settings::GatewaySettings;

/// Endpoints that a poison request may crash: three crashes are the proof, and a second gateway may send the request once
/// more before it has received the report of the first one.
const MAX_CRASHES: usize = 4;
const ENDPOINTS: usize = 12;
/// Log message of a gateway that starts to hold a request back from all endpoints.
const QUARANTINED: &str = "request quarantined";

/// A gateway and its log lines.
struct LoggedGateway {
    setup: Setup,
    lines: LogLines,
}

impl LoggedGateway {
    fn start(name: &str, seeds: Vec<String>, store: FakeStore) -> Self {
        let lines = LogLines::default();
        let settings = GatewaySettings {
            name: name.into(),
            seeds,
            ..settings()
        };
        let setup = Setup::start_with_log(settings, store, lines.logger());
        wait_until("readiness", || setup.is_ready());
        setup.wait_for_retry_budget();
        LoggedGateway { setup, lines }
    }

    fn has_quarantined(&self) -> bool {
        self.lines.count(QUARANTINED) > 0
    }

    /// Sends the poison request with an id made from this number.
    fn send_poison_request(&self, number: usize) -> Answer {
        self.setup
            .call(POISON_PATH, &[&format!("x-id: poison-{number}")])
    }
}

fn start_endpoints() -> Vec<CrashingEndpoint> {
    (0..ENDPOINTS).map(|_| CrashingEndpoint::start()).collect()
}

fn store(endpoints: &[CrashingEndpoint]) -> FakeStore {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
    for (i, crashing) in endpoints.iter().enumerate() {
        store.put_endpoint(endpoint(&format!("e{i}"), crashing.address));
    }
    store
}

/// Starts gateways that know each other. The fourth and later ones ask the first three as coordinators.
fn start_gateways(count: usize, store: &FakeStore) -> Vec<LoggedGateway> {
    let mut all = vec![LoggedGateway::start("g1", Vec::new(), store.clone())];
    while all.len() < count {
        let seed = all[0].setup.gateway.peer_address().to_string();
        let name = format!("g{}", all.len() + 1);
        all.push(LoggedGateway::start(
            &name,
            vec![seed],
            store.for_other_gateway(),
        ));
    }
    all
}

/// Sends the poison request through two gateways and waits until all gateways have quarantined it.
fn quarantine_everywhere(gateways: &[LoggedGateway]) {
    gateways[0].send_poison_request(0);
    gateways[1].send_poison_request(1);
    wait_until("all gateways to quarantine the request", || {
        gateways.iter().all(LoggedGateway::has_quarantined)
    });
}

fn count_stopped(endpoints: &[CrashingEndpoint]) -> usize {
    endpoints
        .iter()
        .filter(|crashing| crashing.has_stopped())
        .count()
}

#[test]
fn a_quarantined_request_is_refused_by_all_gateways_and_others_are_served() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(3, &store(&endpoints));
    quarantine_everywhere(&gateways);
    for number in 2..2 + ENDPOINTS {
        let refused = gateways[number % gateways.len()].send_poison_request(number);
        assert_eq!(refused.status, 503, "{}", refused.head);
        assert!(refused.header("retry-after").is_some(), "{}", refused.head);
    }
    let stopped = count_stopped(&endpoints);
    assert!(stopped <= MAX_CRASHES, "{stopped} endpoints crashed");
    for gateway in &gateways {
        assert_eq!(gateway.setup.call("/a/other", &[]).status, 200);
    }
}

#[test]
fn gateways_that_ask_coordinators_exchange_quarantine_reports_with_them() {
    let endpoints = start_endpoints();
    let store = store(&endpoints);
    let mut gateways = start_gateways(5, &store);
    // The gateways that ask coordinators see the crashes first.
    gateways.reverse();
    quarantine_everywhere(&gateways);
    for (number, gateway) in gateways.iter().enumerate() {
        assert_eq!(gateway.send_poison_request(2 + number).status, 503);
    }
    assert!(count_stopped(&endpoints) <= MAX_CRASHES);
}

#[test]
fn a_gateway_that_starts_later_learns_quarantined_requests_from_others() {
    let endpoints = start_endpoints();
    let store = store(&endpoints);
    let gateways = start_gateways(2, &store);
    quarantine_everywhere(&gateways);
    let before = count_stopped(&endpoints);
    let seed = gateways[0].setup.gateway.peer_address().to_string();
    let late = LoggedGateway::start("late", vec![seed], store.for_other_gateway());
    wait_until("the new gateway to quarantine the request", || {
        late.has_quarantined()
    });
    assert_eq!(late.send_poison_request(2).status, 503);
    assert_eq!(count_stopped(&endpoints), before);
}

#[test]
fn a_gateway_that_starts_without_others_reads_quarantined_requests_from_the_store() {
    let endpoints = start_endpoints();
    let held_row = quarantine_row(&store(&endpoints));
    let before = count_stopped(&endpoints);
    let store_with_row = store(&endpoints);
    store_with_row.put_row(Topic::Quarantine, "held", held_row);
    let late = LoggedGateway::start("late", Vec::new(), store_with_row);
    wait_until("the gateway to read the quarantine row", || {
        late.has_quarantined()
    });
    assert_eq!(late.send_poison_request(2).status, 503);
    assert_eq!(count_stopped(&endpoints), before);
}

/// Quarantine row that two gateways write to the store after the request has crashed some of its endpoints.
fn quarantine_row(store: &FakeStore) -> Vec<u8> {
    let gateways = start_gateways(2, store);
    quarantine_everywhere(&gateways);
    let row = || store.row(Topic::Quarantine, "held");
    wait_until("the row", || row().is_some());
    row().unwrap().value.unwrap()
}

#[test]
fn a_gateway_that_hears_no_listed_gateway_keeps_reading_the_quarantine_row() {
    let endpoints = start_endpoints();
    let held_row = quarantine_row(&store(&endpoints));
    let isolated_store = store(&endpoints);
    let row = GatewayRow {
        // Nothing listens on this port.
        address: "127.0.0.1:9".into(),
        incarnation: 1,
        hall: None,
        cores_milli: None,
        decisions_port: None,
    };
    isolated_store.put_gateway("silent", &row);
    let gateway = LoggedGateway::start("g", Vec::new(), isolated_store.clone());
    let call_count = || isolated_store.call_count(Topic::Quarantine);
    wait_until("the first read of the quarantine row", || call_count() > 0);
    assert!(!gateway.has_quarantined());
    isolated_store.put_row(Topic::Quarantine, "held", held_row);
    wait_until("another read of the quarantine row", || {
        gateway.has_quarantined()
    });
}

#[test]
fn a_gateway_that_starts_without_the_store_reads_the_quarantine_row_once_the_store_answers() {
    let endpoints = start_endpoints();
    let held_row = quarantine_row(&store(&endpoints));
    let before = count_stopped(&endpoints);
    // The gateways that it hears have no quarantined requests, and two of them write the quarantine row.
    let others = start_gateways(4, &store(&endpoints));
    let unreachable = store(&endpoints);
    unreachable.put_row(Topic::Quarantine, "held", held_row);
    unreachable.refuse(true);
    let lines = LogLines::default();
    let settings = GatewaySettings {
        name: "late".into(),
        seeds: vec![others[0].setup.gateway.peer_address().to_string()],
        ..settings()
    };
    let setup = Setup::start_with_log(settings, unreachable.clone(), lines.logger());
    wait_until("a failed read", || lines.count("quarantine not read") > 0);
    unreachable.refuse(false);
    wait_until("the gateway to read the quarantine row", || {
        lines.count(QUARANTINED) > 0
    });
    wait_until("readiness", || setup.is_ready());
    assert_eq!(setup.call(POISON_PATH, &[]).status, 503);
    assert_eq!(count_stopped(&endpoints), before);
}

#[test]
fn an_unreadable_quarantine_row_is_ignored_and_rewritten() {
    let endpoints = start_endpoints();
    let store = store(&endpoints);
    store.put_row(Topic::Quarantine, "held", b"unreadable".to_vec());
    let gateways = start_gateways(2, &store);
    quarantine_everywhere(&gateways);
    wait_until("a readable row", || {
        let row = store.row(Topic::Quarantine, "held").unwrap();
        let read = schema::decode::<QuarantineRow>(&row.value.unwrap());
        read.is_ok_and(|read| read.held.len() == 1)
    });
}

#[test]
fn cut_off_answers_of_a_running_endpoint_do_not_quarantine_a_request() {
    let fake = FakeEndpoint::start(|number, exchange| match number {
        0..8 => exchange.close(),
        _ => exchange.answer(200, "x"),
    });
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Once)]));
    store.put_endpoint(endpoint("e", fake.address));
    let gateway = LoggedGateway::start("g1", Vec::new(), store);
    for _ in 0..8 {
        assert_eq!(gateway.setup.call("/a/1", &[]).status, 502);
    }
    assert_eq!(gateway.setup.call("/a/1", &[]).status, 200);
    assert!(!gateway.has_quarantined());
}

/// Sends a request that is never answered, on its own thread.
fn send_hanging_request(gateway: &LoggedGateway) -> thread::JoinHandle<Answer> {
    let address = gateway.setup.address();
    thread::spawn(move || send(address, &request_text(HANGING_PATH, &[])))
}

fn has_hanging_request(crashing: &CrashingEndpoint) -> bool {
    crashing.paths().iter().any(|path| path == HANGING_PATH)
}

#[test]
fn the_stop_of_a_draining_endpoint_does_not_quarantine_its_requests() {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Once)]));
    let gateway = LoggedGateway::start("g1", Vec::new(), store.clone());
    // The request still reaches the fourth endpoint after three have stopped.
    for number in 0..4 {
        let crashing = CrashingEndpoint::start();
        let record = endpoint(&format!("e{number}"), crashing.address);
        store.put_endpoint(record.clone());
        let caller = send_hanging_request(&gateway);
        wait_until("the request", || has_hanging_request(&crashing));
        store.put_endpoint(Endpoint {
            state: EndpointState::Draining { leaves_in: None },
            ..record
        });
        let changes = 2 * (number + 1);
        wait_until("the endpoint row", || {
            gateway.lines.count("endpoint changed") >= changes
        });
        crashing.stop();
        assert_eq!(caller.join().unwrap().status, 502);
    }
    assert!(!gateway.has_quarantined());
}

#[test]
fn a_request_on_a_crashed_endpoint_is_retried_elsewhere_and_not_quarantined() {
    let store = FakeStore::default();
    let routes = vec![
        route("/a/", Execution::Repeatable),
        route(POISON_PATH, Execution::Once),
    ];
    store.put_configuration(configuration(1, routes));
    let first = CrashingEndpoint::start();
    store.put_endpoint(endpoint("e1", first.address));
    let gateway = LoggedGateway::start("g1", Vec::new(), store.clone());
    let _caller = send_hanging_request(&gateway);
    wait_until("the request", || has_hanging_request(&first));
    gateway.send_poison_request(0);
    assert!(first.has_stopped());
    let second = CrashingEndpoint::start();
    store.put_endpoint(endpoint("e2", second.address));
    wait_until("the retry of the request", || has_hanging_request(&second));
    assert!(!gateway.has_quarantined());
}
