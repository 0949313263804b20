//! Gateways that lose their paths to the endpoints while callers, the store and other gateways reach them.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::paths::{EndpointPaths, PathState};
use common::{
    configuration, endpoint, open, request_text, route, settings, wait_until, FakeEndpoint,
    FakeStore, LogLines, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;
use slog::Logger;
use socket2::{Domain, SockRef, Socket, Type};
use telemetry::{Counter, Gauge};

const ENDPOINTS: usize = 6;
const REQUESTS: usize = 20;

struct CutGateway {
    setup: Setup,
    paths: EndpointPaths,
}

impl CutGateway {
    fn start(name: &str, seeds: Vec<String>, store: FakeStore, log: Logger) -> Self {
        let paths = EndpointPaths::default();
        let settings = GatewaySettings {
            name: name.into(),
            seeds,
            ..settings()
        };
        let setup = Setup::start_with_dialer(settings, store, log, paths.dialer());
        wait_until("readiness", || setup.is_ready());
        setup.wait_for_retry_budget();
        CutGateway { setup, paths }
    }

    /// Statuses of new requests, sent one after the other.
    fn statuses(&self, path: &str) -> Vec<u16> {
        let call = |number| {
            let id = format!("x-id: {path}{number}");
            self.setup.call(path, &[&id]).status
        };
        (0..REQUESTS).map(call).collect()
    }
}

fn start_endpoints() -> Vec<FakeEndpoint> {
    let answer = |_: usize, exchange: &mut common::Exchange| exchange.answer(200, "x");
    (0..ENDPOINTS)
        .map(|_| FakeEndpoint::start(answer))
        .collect()
}

fn store(endpoints: &[FakeEndpoint]) -> FakeStore {
    let store = FakeStore::default();
    let routes = vec![
        route("/a/", Execution::Repeatable),
        route("/once/", Execution::Once),
    ];
    store.put_configuration(configuration(1, routes));
    for (i, fake) in endpoints.iter().enumerate() {
        store.put_endpoint(endpoint(&format!("e{i}"), fake.address));
    }
    store
}

/// Starts gateways that know each other.
fn start_gateways(count: usize, store: &FakeStore) -> Vec<CutGateway> {
    start_gateways_with_log(count, store, &LogLines::default())
}

/// Starts gateways that know each other; the first one writes its log to these lines.
fn start_gateways_with_log(count: usize, store: &FakeStore, lines: &LogLines) -> Vec<CutGateway> {
    let first = CutGateway::start("g1", Vec::new(), store.clone(), lines.logger());
    let seed = first.setup.gateway.peer_address().to_string();
    let mut all = vec![first];
    while all.len() < count {
        let name = format!("g{}", all.len() + 1);
        let other_store = store.for_other_gateway();
        let seeds = vec![seed.clone()];
        all.push(CutGateway::start(
            &name,
            seeds,
            other_store,
            telemetry::discard(),
        ));
    }
    wait_until("the gateways to know each other", || {
        let knows_all = |gateway: &CutGateway| {
            let metrics = gateway.setup.gateway.metrics();
            metrics.gauge(Gauge::AlivePeers) as usize == count - 1
        };
        all.iter().all(knows_all)
    });
    all
}

// Guards against failing all callers of a gateway whose connects to endpoints hang, while another gateway reaches them.
#[test]
fn a_gateway_whose_connects_to_endpoints_get_no_answer_serves_through_another_gateway() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    gateways[0].paths.set(PathState::Unanswered);
    assert_eq!(gateways[0].statuses("/a/"), [200; REQUESTS]);
    assert_eq!(gateways[0].statuses("/once/"), [200; REQUESTS]);
}
// Guards against failing all callers of a gateway whose connects to endpoints are refused, while another gateway reaches
// them.
#[test]
fn a_gateway_whose_connects_to_endpoints_are_refused_serves_through_another_gateway() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    gateways[0].paths.set(PathState::Refused);
    assert_eq!(gateways[0].statuses("/a/"), [200; REQUESTS]);
    assert_eq!(gateways[0].statuses("/once/"), [200; REQUESTS]);
}

// Guards against using another gateway's path for as long as connections through it stay open.
#[test]
fn a_gateway_uses_its_own_paths_again_once_they_are_back() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    let metrics = gateways[0].setup.gateway.metrics();
    gateways[0].paths.set(PathState::Refused);
    assert_eq!(gateways[0].statuses("/a/"), [200; REQUESTS]);
    gateways[0].paths.set(PathState::Open);
    let opened = |gateway: &CutGateway| gateway.setup.gateway.metrics().get(Counter::TunnelsOpened);
    wait_until("all requests to go over the own paths", || {
        let (before, relayed) = (
            opened(&gateways[1]),
            metrics.get(Counter::RelayedConnections),
        );
        let statuses = gateways[0].statuses("/a/");
        assert_eq!(statuses, [200; REQUESTS]);
        opened(&gateways[1]) == before
            && metrics.get(Counter::RelayedConnections) == relayed
            && metrics.gauge(Gauge::PathsLost) == 0
    });
}

// Guards against requests that wait or fail for good after all gateways lost their paths for a while.
#[test]
fn requests_are_refused_as_not_run_while_no_gateway_has_a_path_and_served_afterwards() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    for gateway in &gateways {
        gateway.paths.set(PathState::Refused);
    }
    for gateway in &gateways {
        assert_eq!(gateway.statuses("/once/"), [503; REQUESTS]);
    }
    let received: usize = endpoints.iter().map(|fake| fake.heads().len()).sum();
    assert_eq!(received, 0);
    gateways[1].paths.set(PathState::Open);
    for gateway in &gateways {
        wait_until("requests to be served", || {
            gateway.statuses("/once/") == [200; REQUESTS]
        });
    }
}

// Guards against a request that may not be repeated and runs twice because its connection goes through another gateway.
#[test]
fn each_request_through_another_gateway_runs_once() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    gateways[0].paths.set(PathState::Unanswered);
    assert_eq!(gateways[0].statuses("/once/"), [200; REQUESTS]);
    let received: usize = endpoints.iter().map(|fake| fake.heads().len()).sum();
    assert_eq!(received, REQUESTS);
}

// Guards against members of a hall that have no way to an endpoint: only coordinators know the endpoints.
#[test]
fn a_gateway_that_asks_coordinators_serves_through_one_of_them() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(5, &store(&endpoints));
    for cut in &gateways {
        cut.paths.set(PathState::Refused);
        assert_eq!(cut.statuses("/a/"), [200; REQUESTS]);
        cut.paths.set(PathState::Open);
    }
}

// Guards against an answer without a length that looks complete although a reset ended it behind the other gateway.
#[test]
fn an_answer_that_is_reset_behind_another_gateway_does_not_look_complete() {
    let fake = FakeEndpoint::start(|_, exchange| {
        let id = exchange.header("x-id").unwrap_or_default();
        exchange.write(&format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-signature: s\r\nconnection: close\r\n\r\nbegun"
        ));
        let socket = SockRef::from(exchange.stream());
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        exchange.abandon();
    });
    let gateways = start_gateways(2, &store(&[fake]));
    gateways[0].paths.set(PathState::Refused);
    for answer in [502, 502, 502] {
        assert_eq!(gateways[0].setup.call("/once/1", &[]).status, answer);
    }
}

// Guards against an endpoint that works on for a caller who left, because the other gateway keeps the connection open.
#[test]
fn an_endpoint_behind_another_gateway_notices_that_the_caller_left() {
    let has_noticed = Arc::new(AtomicBool::new(false));
    let noticed = Arc::clone(&has_noticed);
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.wait_closed();
        noticed.store(true, Ordering::Relaxed);
    });
    let gateways = start_gateways(2, &store(std::slice::from_ref(&fake)));
    gateways[0].paths.set(PathState::Refused);
    let caller = open(gateways[0].setup.address(), &request_text("/once/1", &[]));
    wait_until("the request", || fake.heads().len() == 1);
    drop(caller);
    wait_until("the endpoint to notice", || {
        has_noticed.load(Ordering::Relaxed)
    });
}

// Guards against holding a request back for good because the gateways that ran it have lost their paths, so that the
// endpoints only seem to end.
#[test]
fn a_gateway_without_paths_does_not_take_endpoints_for_ended() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.close());
    let lines = LogLines::default();
    let gateways = start_gateways_with_log(2, &store(&[fake]), &lines);
    gateways[0].paths.set(PathState::Refused);
    for cut in 1..=4 {
        assert_eq!(gateways[0].setup.call("/once/1", &[]).status, 502);
        wait_until("the check of the endpoint", || {
            lines.count("endpoint cut an answer off") >= cut
        });
    }
    assert_eq!(lines.count("request quarantined"), 0);
}

/// Sends the head of a request to a gateway's port for tunnels, and returns the status of its answer.
fn ask_for_tunnel(gateway: &CutGateway, from: [u8; 4], head: &str) -> u16 {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((from, 0)).into()).unwrap();
    let address = gateway.setup.gateway.tunnel_address();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    write!(stream, "{head}\r\nhost: h\r\nconnection: close\r\n\r\n").unwrap();
    let mut line = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut line).unwrap();
    String::from_utf8_lossy(&line[9..]).parse().unwrap()
}

// Guards against tunnels to addresses that are no endpoints, to a third gateway, or for processes that are no gateways.
#[test]
fn a_gateway_opens_tunnels_only_to_endpoints_and_for_gateways() {
    const GATEWAY: [u8; 4] = [127, 0, 0, 1];
    const OTHER: [u8; 4] = [127, 0, 0, 2];
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    let connect = |address: SocketAddr| format!("CONNECT {address} HTTP/1.1");
    let (known, other) = (endpoints[0].address, gateways[1].setup.address());
    let third = gateways[1].setup.gateway.tunnel_address();
    let asked = |from, head: &str| ask_for_tunnel(&gateways[0], from, head);
    assert_eq!(asked(GATEWAY, &connect(known)), 200);
    assert_eq!(asked(OTHER, &connect(known)), 403);
    assert_eq!(asked(GATEWAY, &connect(other)), 404);
    assert_eq!(asked(GATEWAY, &connect(third)), 404);
    assert_eq!(asked(GATEWAY, "GET /a/1 HTTP/1.1"), 400);
    assert_eq!(asked(GATEWAY, "CONNECT h:80 HTTP/1.1"), 400);
    gateways[0].paths.set(PathState::Refused);
    assert_eq!(asked(GATEWAY, &connect(known)), 502);
}

// Guards against failing the requests of a gateway without paths from the moment at which it is asked to stop: others
// forget it then.
#[test]
fn a_stopping_gateway_without_paths_serves_through_another_gateway() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    gateways[0].paths.set(PathState::Refused);
    gateways[0].setup.stop();
    let metrics = gateways[1].setup.gateway.metrics();
    wait_until("the message that it stops", || {
        metrics.gauge(Gauge::AlivePeers) == 0
    });
    assert_eq!(gateways[0].setup.call("/once/1", &[]).status, 200);
}

// Guards against dropping a request that arrives at the other gateway right behind the one for the tunnel.
#[test]
fn a_tunnel_delivers_what_was_sent_before_it_was_open() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let gateways = start_gateways(2, &store(std::slice::from_ref(&fake)));
    let tunnels = gateways[0].setup.gateway.tunnel_address();
    let mut stream = TcpStream::connect(tunnels).unwrap();
    let ask = format!("CONNECT {} HTTP/1.1\r\nhost: h\r\n\r\n", fake.address);
    let request = request_text("/once/1", &[]);
    stream.write_all((ask + &request).as_bytes()).unwrap();
    let mut answers = String::new();
    while !answers.contains("x-signature") {
        let mut bytes = [0; 1024];
        let length = stream.read(&mut bytes).unwrap();
        assert!(length > 0, "closed after {answers:?}");
        answers += &String::from_utf8_lossy(&bytes[..length]);
    }
    assert_eq!(fake.heads().len(), 1);
}
