//! Requests that come late in a planned stop: each is answered before the gateway ends, or refused as not run in time.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{
    configuration, endpoint, open, read_answer, request_text, route, settings, wait_until, Answer,
    FakeEndpoint, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;

const BODY: &str = "the body";

/// Starts a gateway whose routes last longer than its grace period, and waits until it accepts no more requests after a stop
/// was asked for.
struct Stopping {
    setup: Setup,
    fake: FakeEndpoint,
}

impl Stopping {
    fn start(grace_ms: i64, fake: FakeEndpoint) -> Self {
        let routes = [
            route("/once/", Execution::Once),
            route("/repeatable/", Execution::Repeatable),
            route("/stream/", Execution::Stream { resumable: false }),
        ];
        let settings = GatewaySettings {
            stop_grace_ms: grace_ms,
            ..settings()
        };
        let endpoints = vec![endpoint("e", fake.address)];
        let setup = Setup::serving_with(settings, configuration(1, routes.to_vec()), endpoints);
        Stopping { setup, fake }
    }

    fn stop_and_wait_until_closed(&self) {
        self.setup.stop();
        let address = self.setup.address();
        wait_until("the listener to close", || {
            TcpStream::connect(address).is_err()
        });
    }
}

/// Text of a request whose body is still to come.
fn head_with_body(path: &str, headers: &[&str]) -> String {
    let length = format!("content-length: {}", BODY.len());
    let headers = [headers, &[length.as_str()]].concat();
    request_text(path, &headers).replacen("GET", "POST", 1)
}

fn send_rest(mut caller: TcpStream) -> Answer {
    caller.write_all(BODY.as_bytes()).unwrap();
    read_answer(&mut caller)
}

// Guards against a request whose body came late in a planned stop, and that is passed on and cut at the end of the grace period.
#[test]
fn a_request_whose_body_comes_after_the_gateway_closed_is_refused_as_not_run() {
    for path in ["/once/", "/repeatable/", "/stream/"] {
        let fake = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
        let stopping = Stopping::start(6000, fake);
        let head = head_with_body(path, &["x-deadline: 30000"]);
        let caller = open(stopping.setup.address(), &head);
        stopping.stop_and_wait_until_closed();
        let answer = send_rest(caller);
        assert_eq!((answer.status, answer.is_complete), (503, true), "{path}");
        assert!(answer.body.contains("not_run"), "{}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
        assert_eq!(stopping.fake.heads().len(), 0, "{path}");
    }
}

// Guards against refusing late requests whose own time is over before the gateway ends.
#[test]
fn a_late_request_whose_deadline_passes_before_the_gateway_ends_is_served() {
    let fake = FakeEndpoint::start(|_, exchange| {
        let mut body = vec![0; BODY.len()];
        exchange.stream().read_exact(&mut body).unwrap();
        exchange.answer(200, "served");
    });
    let stopping = Stopping::start(20_000, fake);
    let head = head_with_body("/once/", &["x-deadline: 8000"]);
    let caller = open(stopping.setup.address(), &head);
    stopping.stop_and_wait_until_closed();
    let answer = send_rest(caller);
    assert_eq!((answer.status, answer.body.as_str()), (200, "served"));
}

// Guards against requests on connections that are kept open, which no longer come by way of the listener.
#[test]
fn a_late_request_on_a_kept_connection_is_not_passed_on() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let stopping = Stopping::start(6000, fake);
    let kept = request_text("/once/", &[]).replace("connection: close\r\n", "");
    let mut caller = open(stopping.setup.address(), &kept);
    let mut first = [0; 16];
    caller.read_exact(&mut first).unwrap();
    stopping.stop_and_wait_until_closed();
    // The gateway may have closed the idle connection.
    let _ = caller.write_all(request_text("/once/", &["x-id: 2"]).as_bytes());
    let _ = caller.read_to_end(&mut Vec::new());
    assert_eq!(stopping.fake.heads().len(), 1);
}

// Guards against a connection that closes without an answer at the end of the grace period.
#[test]
fn a_request_that_still_runs_when_the_gateway_ends_gets_an_answer() {
    for path in ["/once/", "/repeatable/", "/stream/"] {
        let fake = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
        let stopping = Stopping::start(4000, fake);
        let mut caller = open(stopping.setup.address(), &request_text(path, &[]));
        wait_until("the request", || stopping.fake.heads().len() == 1);
        stopping.setup.stop();
        let answer = read_answer(&mut caller);
        assert_eq!((answer.status, answer.is_complete), (502, true), "{path}");
        assert_eq!(stopping.fake.heads().len(), 1, "{path}");
    }
}

// Guards against a late request that waits for an endpoint to have room and is then passed on.
#[test]
fn a_request_that_waits_for_an_endpoint_until_the_gateway_closed_is_refused_as_not_run() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    let mut waiting = route("/once/", Execution::Once);
    // The time for which a request waits for an endpoint follows from the target.
    waiting.target = Duration::from_secs(60);
    waiting.timeout = Duration::from_secs(60);
    let settings = GatewaySettings {
        stop_grace_ms: 20_000,
        ..settings()
    };
    let setup = Setup::serving_with(settings, configuration(1, vec![waiting]), Vec::new());
    let mut caller = open(setup.address(), &request_text("/once/", &[]));
    let address = setup.address();
    setup.stop();
    wait_until("the listener to close", || {
        TcpStream::connect(address).is_err()
    });
    setup.store.put_endpoint(endpoint("e", fake.address));
    let answer = read_answer(&mut caller);
    assert_eq!((answer.status, fake.heads().len()), (503, 0), "{answer:?}");
    assert!(answer.body.contains("the gateway stops"), "{answer:?}");
}
