//! A request that ends each endpoint which begins it.
//!
//! Seen: one caller's request came again and again, at any gateway, and ended 37 endpoints within seconds, with all that
//! ran on them. Its tries had new ids, so each gateway took each of them for a new request; and a stream whose endpoint had
//! ended was sent on to the next one. What proved it: lines of attempts that carry a fingerprint of what was asked for show
//! the same one at each end.

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

/// Endpoints that may end under one request before a gateway knows: three prove it, and the second gateway may send it once
/// more before it heard of the first one's.
const MAY_END: usize = 4;
const ENDPOINTS: usize = 12;
/// What a gateway logs once it sends a request to no endpoint any more.
const HELD: &str = "request quarantined";

/// A gateway and what it logs.
struct Logged {
    setup: Setup,
    lines: LogLines,
}

impl Logged {
    fn start(name: &str, seeds: Vec<String>, store: FakeStore) -> Self {
        let lines = LogLines::default();
        let settings = GatewaySettings {
            name: name.into(),
            seeds,
            ..settings()
        };
        let setup = Setup::start_with_log(settings, store, lines.logger());
        wait_until("readiness", || setup.is_ready());
        Logged { setup, lines }
    }

    fn holds(&self) -> bool {
        self.lines.count(HELD) > 0
    }

    /// Asks for what is deadly, with an id of its own each time.
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

/// Gateways that know each other; from the fourth on they ask the first three.
fn several(count: usize, store: &FakeStore) -> Vec<Logged> {
    let mut all = vec![Logged::start("g1", Vec::new(), store.clone())];
    while all.len() < count {
        let seed = all[0].setup.gateway.peer_address().to_string();
        let name = format!("g{}", all.len() + 1);
        all.push(Logged::start(&name, vec![seed], store.for_other_gateway()));
    }
    all
}

/// Asks two gateways, and waits until all know.
fn let_all_know(gateways: &[Logged]) {
    gateways[0].send_poison_request(0);
    gateways[1].send_poison_request(1);
    wait_until("all gateways to know of it", || {
        gateways.iter().all(Logged::holds)
    });
}

fn ended(endpoints: &[CrashingEndpoint]) -> usize {
    endpoints
        .iter()
        .filter(|crashing| crashing.has_stopped())
        .count()
}

#[test]
fn a_request_that_ends_its_endpoints_reaches_no_more_of_them_through_any_gateway() {
    let endpoints = start_endpoints();
    let gateways = several(3, &store(&endpoints));
    let_all_know(&gateways);
    for number in 2..2 + ENDPOINTS {
        let refused = gateways[number % gateways.len()].send_poison_request(number);
        assert_eq!(refused.status, 503, "{}", refused.head);
        assert!(refused.header("retry-after").is_some(), "{}", refused.head);
    }
    let ended = ended(&endpoints);
    assert!(ended <= MAY_END, "{ended} endpoints ended");
    for gateway in &gateways {
        assert_eq!(gateway.setup.call("/a/other", &[]).status, 200);
    }
}

#[test]
fn gateways_that_ask_coordinators_tell_them_and_hear_of_it() {
    let endpoints = start_endpoints();
    let store = store(&endpoints);
    let mut gateways = several(5, &store);
    // Those that ask see it first.
    gateways.reverse();
    let_all_know(&gateways);
    for (number, gateway) in gateways.iter().enumerate() {
        assert_eq!(gateway.send_poison_request(2 + number).status, 503);
    }
    assert!(ended(&endpoints) <= MAY_END);
}

#[test]
fn a_gateway_that_starts_later_hears_of_it_from_the_others() {
    let endpoints = start_endpoints();
    let store = store(&endpoints);
    let gateways = several(2, &store);
    let_all_know(&gateways);
    let before = ended(&endpoints);
    let seed = gateways[0].setup.gateway.peer_address().to_string();
    let late = Logged::start("late", vec![seed], store.for_other_gateway());
    wait_until("it to hear", || late.holds());
    assert_eq!(late.send_poison_request(2).status, 503);
    assert_eq!(ended(&endpoints), before);
}

#[test]
fn a_gateway_that_starts_when_no_other_is_left_finds_it_in_the_store() {
    let endpoints = start_endpoints();
    let held = kept_row(&store(&endpoints));
    let before = ended(&endpoints);
    let left = store(&endpoints);
    left.put_row(Topic::Quarantine, "held", held);
    let late = Logged::start("late", Vec::new(), left);
    wait_until("it to read", || late.holds());
    assert_eq!(late.send_poison_request(2).status, 503);
    assert_eq!(ended(&endpoints), before);
}

/// The row that two gateways write once they know; their endpoints are left to the caller.
fn kept_row(store: &FakeStore) -> Vec<u8> {
    let gateways = several(2, store);
    let_all_know(&gateways);
    let row = || store.row(Topic::Quarantine, "held");
    wait_until("the row", || row().is_some());
    row().unwrap().value.unwrap()
}

#[test]
fn a_gateway_that_hears_no_other_goes_on_reading_what_they_hold_back() {
    let endpoints = start_endpoints();
    let held = kept_row(&store(&endpoints));
    let behind_cut = store(&endpoints);
    let row = GatewayRow {
        // Nobody listens there.
        address: "127.0.0.1:9".into(),
        incarnation: 1,
        hall: None,
        cores_milli: None,
        decisions_port: None,
    };
    behind_cut.put_gateway("silent", &row);
    let gateway = Logged::start("g", Vec::new(), behind_cut.clone());
    let asks = || behind_cut.call_count(Topic::Quarantine);
    wait_until("the first look", || asks() > 0);
    assert!(!gateway.holds());
    behind_cut.put_row(Topic::Quarantine, "held", held);
    wait_until("it to read again", || gateway.holds());
}

#[test]
fn a_gateway_that_starts_while_the_store_is_away_reads_what_is_held_back_with_its_first_answers() {
    let endpoints = start_endpoints();
    let held = kept_row(&store(&endpoints));
    let before = ended(&endpoints);
    // Those that it hears know of nothing, and two of them keep the row.
    let others = several(4, &store(&endpoints));
    let away = store(&endpoints);
    away.put_row(Topic::Quarantine, "held", held);
    away.refuse(true);
    let lines = LogLines::default();
    let settings = GatewaySettings {
        name: "late".into(),
        seeds: vec![others[0].setup.gateway.peer_address().to_string()],
        ..settings()
    };
    let setup = Setup::start_with_log(settings, away.clone(), lines.logger());
    wait_until("a look in vain", || lines.count("quarantine not read") > 0);
    away.refuse(false);
    wait_until("it to read", || lines.count(HELD) > 0);
    wait_until("readiness", || setup.is_ready());
    assert_eq!(setup.call(POISON_PATH, &[]).status, 503);
    assert_eq!(ended(&endpoints), before);
}

#[test]
fn a_row_that_cannot_be_read_is_passed_over_and_written_anew() {
    let endpoints = start_endpoints();
    let store = store(&endpoints);
    store.put_row(Topic::Quarantine, "held", b"of another writer".to_vec());
    let gateways = several(2, &store);
    let_all_know(&gateways);
    wait_until("a row that can be read", || {
        let row = store.row(Topic::Quarantine, "held").unwrap();
        let read = schema::decode::<QuarantineRow>(&row.value.unwrap());
        read.is_ok_and(|read| read.held.len() == 1)
    });
}

#[test]
fn answers_that_are_cut_off_by_an_endpoint_that_lives_hold_nothing_back() {
    let fake = FakeEndpoint::start(|number, exchange| match number {
        0..8 => exchange.close(),
        _ => exchange.answer(200, "x"),
    });
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Once)]));
    store.put_endpoint(endpoint("e", fake.address));
    let gateway = Logged::start("g1", Vec::new(), store);
    for _ in 0..8 {
        assert_eq!(gateway.setup.call("/a/1", &[]).status, 502);
    }
    assert_eq!(gateway.setup.call("/a/1", &[]).status, 200);
    assert!(!gateway.holds());
}

/// Asks for what does not end, on a thread of its own.
fn send_hanging_request(gateway: &Logged) -> thread::JoinHandle<Answer> {
    let address = gateway.setup.address();
    thread::spawn(move || send(address, &request_text(HANGING_PATH, &[])))
}

fn has_hanging_request(crashing: &CrashingEndpoint) -> bool {
    crashing.paths().iter().any(|path| path == HANGING_PATH)
}

#[test]
fn endpoints_that_said_they_leave_hold_nothing_back_when_they_end() {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Once)]));
    let gateway = Logged::start("g1", Vec::new(), store.clone());
    // The fourth is reached although three have ended.
    for number in 0..4 {
        let crashing = CrashingEndpoint::start();
        let record = endpoint(&format!("e{number}"), crashing.address);
        store.put_endpoint(record.clone());
        let asked = send_hanging_request(&gateway);
        wait_until("the request", || has_hanging_request(&crashing));
        store.put_endpoint(Endpoint {
            state: EndpointState::Draining { leaves_in: None },
            ..record
        });
        let changes = 2 * (number + 1);
        wait_until("the record", || {
            gateway.lines.count("endpoint changed") >= changes
        });
        crashing.stop();
        assert_eq!(asked.join().unwrap().status, 502);
    }
    assert!(!gateway.holds());
}

#[test]
fn what_ran_beside_a_deadly_request_goes_on_elsewhere() {
    let store = FakeStore::default();
    let routes = vec![
        route("/a/", Execution::Repeatable),
        route(POISON_PATH, Execution::Once),
    ];
    store.put_configuration(configuration(1, routes));
    let first = CrashingEndpoint::start();
    store.put_endpoint(endpoint("e1", first.address));
    let gateway = Logged::start("g1", Vec::new(), store.clone());
    let _asked = send_hanging_request(&gateway);
    wait_until("the request", || has_hanging_request(&first));
    gateway.send_poison_request(0);
    assert!(first.has_stopped());
    let second = CrashingEndpoint::start();
    store.put_endpoint(endpoint("e2", second.address));
    wait_until("the request again", || has_hanging_request(&second));
    assert!(!gateway.holds());
}
