//! Callers that close their connections while their requests wait or run.
//!
//! Guards against work for callers that have left: half a second after a caller's close reaches the gateway, nothing more is
//! sent for it, and no endpoint works on its request.

mod common;

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, open, request_text, route, settings, tenant, wait_until, Exchange,
    FakeEndpoint, FakeStore, LogLines, Setup,
};
use directory::{Configuration, Endpoint, EndpointState, Execution, Quota};
use socket2::SockRef;
use telemetry::Counter;

/// Time within which the close of a caller has to reach the endpoint that works for it.
const CLOSE_DUE: Duration = Duration::from_millis(500);
/// Callers that leave at the same time.
const CALLERS: usize = 10;
/// Callers that leave one after the other while a table changes.
const MANY_CALLERS: usize = 200;
/// Number of endpoints of a large table.
const LARGE_TABLE: usize = 9998;
/// An address at which nothing listens.
const UNUSED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// An endpoint that works on each request until the gateway closes the connection.
#[derive(Clone)]
struct BusyEndpoint {
    fake: FakeEndpoint,
    closed: Arc<AtomicUsize>,
}

impl BusyEndpoint {
    fn start() -> Self {
        let closed = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&closed);
        let fake = FakeEndpoint::start(move |_, exchange| {
            exchange.wait_closed();
            counter.fetch_add(1, Ordering::SeqCst);
        });
        BusyEndpoint { fake, closed }
    }

    fn wait_for_requests(&self, count: usize) {
        wait_until("requests to run", || self.fake.heads().len() == count);
    }

    /// Time until the endpoint saw this many connections close.
    fn time_until_closed(&self, count: usize) -> Duration {
        let began = Instant::now();
        wait_until("closes to be passed on", || {
            self.closed.load(Ordering::SeqCst) == count
        });
        began.elapsed()
    }
}

fn serving(served: Endpoint) -> Setup {
    let routes = vec![route("/a/", Execution::Repeatable)];
    Setup::serving(configuration(1, routes), vec![served])
}

fn serving_with_log(configuration: Configuration, served: Endpoint, log: &LogLines) -> Setup {
    let store = FakeStore::default();
    store.put_configuration(configuration);
    store.put_endpoint(served);
    let setup = Setup::start_with_log(settings(), store, log.logger());
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    setup
}

fn keep_alive_request() -> String {
    request_text("/a/1", &[]).replace("connection: close\r\n", "")
}

// The server looks for the end of a connection only while it has read no byte behind the request that runs.
#[test]
fn a_caller_that_leaves_after_the_first_bytes_of_a_next_request_ends_the_one_that_runs() {
    let busy = BusyEndpoint::start();
    let setup = serving(endpoint("e1", busy.fake.address));
    let mut callers: Vec<TcpStream> = (0..CALLERS)
        .map(|_| open(setup.address(), &keep_alive_request()))
        .collect();
    busy.wait_for_requests(CALLERS);
    for caller in &mut callers {
        caller.write_all(b"GET /a/2 HTTP/1.1\r\n").unwrap();
    }
    drop(callers);
    let elapsed = busy.time_until_closed(CALLERS);
    assert!(elapsed < CLOSE_DUE, "passed on after {elapsed:?}");
}

// The bytes of a whole next request may come in one segment with the first.
#[test]
fn a_caller_that_leaves_after_two_requests_at_once_ends_the_one_that_runs() {
    let busy = BusyEndpoint::start();
    let setup = serving(endpoint("e1", busy.fake.address));
    let request = keep_alive_request();
    let callers: Vec<TcpStream> = (0..CALLERS)
        .map(|_| open(setup.address(), &(request.clone() + &request)))
        .collect();
    busy.wait_for_requests(CALLERS);
    drop(callers);
    let elapsed = busy.time_until_closed(CALLERS);
    assert!(elapsed < CLOSE_DUE, "passed on after {elapsed:?}");
    assert_eq!(
        busy.fake.heads().len(),
        CALLERS,
        "no second request is sent"
    );
}

// Sends the request in one segment with the close, so that the gateway reads both at once.
fn send_and_leave(address: SocketAddr, request: &str) {
    let stream = TcpStream::connect(address).unwrap();
    let socket = SockRef::from(&stream);
    let sent = socket
        .send_with_flags(request.as_bytes(), libc::MSG_MORE)
        .unwrap();
    assert_eq!(sent, request.len());
}

// A connection may wait to be accepted until its caller has given up.
#[test]
fn a_request_whose_caller_left_before_it_was_read_is_neither_sent_nor_charged() {
    const BURST: f64 = 3.0;
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let mut configuration = configuration(1, vec![route("/a/", Execution::Repeatable)]);
    let mut team = tenant("t", "k");
    team.quota = Some(Quota {
        rate: 0.001,
        burst: BURST,
        default_token_cost: None,
    });
    configuration.tenants = vec![team];
    let setup = Setup::serving(configuration, vec![endpoint("e1", fake.address)]);
    let request = request_text("/a/1", &["x-key: k"]);
    for _ in 0..CALLERS {
        send_and_leave(setup.address(), &request);
    }
    // Connections are accepted in order, so the others were read before this one.
    assert_eq!(setup.call("/a/1", &["x-key: k"]).status, 200);
    assert_eq!(fake.heads().len(), 1);
}

// A stream whose endpoint had ended waited for another one for up to a sixth of its latency target without a look whether its
// caller was still there.
#[test]
fn a_stream_that_waits_for_another_endpoint_ends_when_its_caller_leaves() {
    let broken = FakeEndpoint::start(|_, exchange: &mut Exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.close();
    });
    let log = LogLines::default();
    let mut streaming = route("/a/", Execution::Stream { resumable: true });
    streaming.target = Duration::from_secs(60);
    let configuration = configuration(1, vec![streaming]);
    let setup = serving_with_log(configuration, endpoint("e1", broken.address), &log);
    let callers: Vec<TcpStream> = (0..CALLERS)
        .map(|_| open(setup.address(), &keep_alive_request()))
        .collect();
    let retries = || setup.gateway.metrics().get(Counter::Retries);
    wait_until("streams to break", || retries() == CALLERS as u64);
    drop(callers);
    let left = Instant::now();
    wait_until("streams to end", || log.count("stream ended") == CALLERS);
    assert!(
        left.elapsed() < CLOSE_DUE,
        "ended after {:?}",
        left.elapsed()
    );
}

// An endpoint that takes no requests, so that they go to the busy one.
fn unready(index: usize) -> Endpoint {
    Endpoint {
        state: EndpointState::Draining { leaves_in: None },
        ..endpoint(&format!("i-{index}"), UNUSED)
    }
}

/// Lets callers leave one after the other while a change of `LARGE_TABLE` endpoints is applied, which logs `message` for each
/// of them. Returns the longest time in which a close was passed on.
fn longest_close_during(
    setup: &LargeSetup,
    message: &str,
    change: impl Fn(&FakeStore),
) -> Duration {
    let (busy, log) = (&setup.busy, &setup.log);
    let mut callers: Vec<TcpStream> = (0..MANY_CALLERS)
        .map(|_| open(setup.setup.address(), &keep_alive_request()))
        .collect();
    busy.wait_for_requests(MANY_CALLERS);
    let before = log.count(message);
    change(&setup.setup.store);
    let mut longest = Duration::ZERO;
    let mut left = 0;
    while let Some(caller) = callers.pop() {
        if callers.len() == CALLERS {
            wait_until("the change to be read", || {
                log.count(message) >= before + LARGE_TABLE
            });
        }
        drop(caller);
        left += 1;
        longest = longest.max(busy.time_until_closed(left));
    }
    longest
}

struct LargeSetup {
    setup: Setup,
    busy: BusyEndpoint,
    log: LogLines,
}

impl LargeSetup {
    fn start() -> Self {
        let (busy, log) = (BusyEndpoint::start(), LogLines::default());
        let mut configuration = configuration(1, vec![route("/a/", Execution::Repeatable)]);
        let services = configuration.services.values_mut();
        services.for_each(|service| service.max_connections = 10 * MANY_CALLERS as u32);
        let setup = serving_with_log(configuration, endpoint("busy", busy.fake.address), &log);
        LargeSetup { setup, busy, log }
    }
}

fn add_large_table(store: &FakeStore) {
    (0..LARGE_TABLE).for_each(|index| store.put_endpoint(unready(index)));
}

fn drop_large_table(store: &FakeStore) {
    (0..LARGE_TABLE).for_each(|index| store.delete_endpoint(&format!("i-{index}")));
}

// The traffic thread applied the whole table in one turn and read no caller's close meanwhile.
#[test]
fn callers_that_leave_while_thousands_of_endpoints_appear_are_noticed_in_time() {
    let setup = LargeSetup::start();
    let longest = longest_close_during(&setup, "endpoint changed", add_large_table);
    assert!(longest < CLOSE_DUE, "passed on after {longest:?}");
}

// The same while they are gone again, each of which took a walk over all others.
#[test]
fn callers_that_leave_while_thousands_of_endpoints_go_are_noticed_in_time() {
    let setup = LargeSetup::start();
    add_large_table(&setup.setup.store);
    wait_until("the table to be read", || {
        setup.log.count("endpoint changed") >= LARGE_TABLE
    });
    let longest = longest_close_during(&setup, "endpoint gone", drop_large_table);
    assert!(longest < CLOSE_DUE, "passed on after {longest:?}");
}
