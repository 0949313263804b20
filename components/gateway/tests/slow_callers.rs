//! Callers that read slowly or nothing, beside fast ones. Each test provokes the failure that would break the guarantee.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::slow_io::{open_with_small_buffers, read_slowly};
use common::{
    configuration, endpoint, open, read_answer, request_text, route, settings, wait_until,
    FakeEndpoint, Setup,
};
use directory::{CallerBounds, Execution, Route};

const STREAM: Execution = Execution::Stream { resumable: false };
/// Time without progress of a write after which a fake endpoint closes the connection.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The memory budget is at least 8 MiB, also for a smaller VM.
const SMALL_VM_MIB: i32 = 16;
const LARGE_VM_MIB: i32 = 256;
const EVENT_BYTES: usize = 1000;

fn start_on_vm(mib: i32, route: Route, fake: &FakeEndpoint) -> Setup {
    let mut settings = settings();
    settings.memory_mib = mib;
    let configuration = configuration(1, vec![route]);
    Setup::serving_with(settings, configuration, vec![endpoint("e0", fake.address)])
}

fn route_with_long_timeout(execution: Execution) -> Route {
    let mut route = route("/a/", execution);
    route.timeout = Duration::from_secs(60);
    route
}

/// Size of events for streams that exceed 4 MiB, which is the most that the kernel buffers for a connection.
const LARGE_EVENT_BYTES: usize = 20_000;

/// Starts a fake endpoint that streams as many events as the path says, and reports whether all were written.
fn start_streaming() -> (FakeEndpoint, flume::Receiver<bool>) {
    start_streaming_events(EVENT_BYTES)
}

fn start_streaming_events(bytes: usize) -> (FakeEndpoint, flume::Receiver<bool>) {
    let (reports, written) = flume::unbounded();
    let fake = FakeEndpoint::start(move |_, exchange| {
        let path = exchange.head.split(' ').nth(1).unwrap_or_default();
        let events = path.rsplit('/').next().and_then(|n| n.parse().ok());
        let all = exchange.stream_with_timeout(events.unwrap_or(1), bytes, WRITE_TIMEOUT);
        let _ = reports.send(all);
    });
    (fake, written)
}

/// Starts a fake endpoint that answers with as many bytes as the path says.
fn start_answering() -> FakeEndpoint {
    FakeEndpoint::start(move |_, exchange| {
        let path = exchange.head.split(' ').nth(1).unwrap_or_default();
        let bytes = path.rsplit('/').next().and_then(|n| n.parse().ok());
        exchange.answer_with_timeout(bytes.unwrap_or(1), Duration::from_secs(20));
    })
}

fn start_slow_call(setup: &Setup, path: &str) -> TcpStream {
    open_with_small_buffers(setup.address(), request_text(path, &[]).as_bytes())
}

fn count_events(body: &str) -> usize {
    body.matches("id: ").count()
}

#[test]
fn a_stream_is_read_ahead_in_full_while_its_caller_reads_nothing() {
    let (fake, written) = start_streaming_events(LARGE_EVENT_BYTES);
    let setup = start_on_vm(LARGE_VM_MIB, route_with_long_timeout(STREAM), &fake);
    let mut caller = start_slow_call(&setup, "/a/600");
    assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    let answer = read_slowly(&mut caller, 256 << 10, Duration::from_millis(1));
    assert_eq!(count_events(&answer.body), 600);
    assert!(answer.is_complete);
}

#[test]
fn a_slow_caller_gets_the_rest_of_a_complete_stream_after_the_timeout_of_its_route() {
    let (fake, written) = start_streaming_events(LARGE_EVENT_BYTES);
    let mut short_route = route_with_long_timeout(STREAM);
    short_route.timeout = Duration::from_millis(700);
    let started = Instant::now();
    let setup = start_on_vm(LARGE_VM_MIB, short_route, &fake);
    let mut caller = start_slow_call(&setup, "/a/300");
    assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    wait_until("the timeout of the route", || {
        started.elapsed() > Duration::from_millis(1500)
    });
    let answer = read_answer(&mut caller);
    assert_eq!(count_events(&answer.body), 300);
    assert!(answer.is_complete);
}

#[test]
fn fast_callers_are_served_beside_slow_ones_which_get_complete_streams() {
    let (fake, written) = start_streaming();
    let setup = start_on_vm(SMALL_VM_MIB, route_with_long_timeout(STREAM), &fake);
    let mut slow: Vec<TcpStream> = (0..4).map(|_| start_slow_call(&setup, "/a/1000")).collect();
    for _ in &slow {
        assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    }
    for _ in 0..20 {
        let answer = setup.call("/a/3", &[]);
        assert_eq!((answer.is_complete, count_events(&answer.body)), (true, 3));
    }
    for caller in &mut slow {
        let answer = read_slowly(caller, 64 << 10, Duration::from_millis(2));
        assert_eq!(
            (answer.is_complete, count_events(&answer.body)),
            (true, 1000)
        );
    }
}

#[test]
fn fast_callers_are_served_beside_callers_that_read_nothing_of_large_answers() {
    let fake = start_answering();
    let setup = start_on_vm(
        SMALL_VM_MIB,
        route_with_long_timeout(Execution::Once),
        &fake,
    );
    let silent: Vec<TcpStream> = (0..20)
        .map(|_| start_slow_call(&setup, "/a/1000000"))
        .collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == silent.len()
    });
    for _ in 0..20 {
        let answer = setup.call("/a/1000", &[]);
        assert_eq!((answer.status, answer.body.len()), (200, 1000));
    }
}

#[test]
fn a_caller_that_reads_nothing_gets_an_incomplete_stream_once_others_need_its_memory() {
    let (fake, written) = start_streaming();
    let setup = start_on_vm(SMALL_VM_MIB, route_with_long_timeout(STREAM), &fake);
    let mut silent: Vec<TcpStream> = (0..5).map(|_| start_slow_call(&setup, "/a/1000")).collect();
    for _ in &silent {
        assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    }
    // These callers need more memory than is left, and they keep reading.
    let late: Vec<TcpStream> = (0..4).map(|_| start_slow_call(&setup, "/a/1000")).collect();
    let whole = late.into_iter().map(|mut caller| {
        std::thread::spawn(move || {
            // Takes longer than a caller that reads nothing is kept while memory is short.
            let answer = read_slowly(&mut caller, 8 << 10, Duration::from_millis(40));
            (answer.status, answer.is_complete)
        })
    });
    let whole: Vec<_> = whole.collect();
    for answer in whole {
        assert_eq!(answer.join().unwrap(), (200, true));
    }
    let answers: Vec<bool> = silent
        .iter_mut()
        .map(|c| read_answer(c).is_complete)
        .collect();
    assert!(answers.iter().any(|whole| !whole), "{answers:?}");
}

#[test]
fn a_caller_that_disconnects_while_events_are_buffered_for_it_ends_its_request() {
    let (progress, progressed) = flume::bounded(1);
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.begin_stream();
        for n in 1..=200 {
            exchange.chunk(&format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES)));
        }
        let _ = progress.send(());
        exchange.wait_closed();
        let _ = progress.send(());
    });
    let setup = start_on_vm(LARGE_VM_MIB, route_with_long_timeout(STREAM), &fake);
    let caller = start_slow_call(&setup, "/a/");
    progressed.recv_timeout(Duration::from_secs(20)).unwrap();
    drop(caller);
    progressed.recv_timeout(Duration::from_secs(5)).unwrap();
}

#[test]
fn a_stopping_gateway_lets_a_slow_caller_read_a_complete_stream() {
    let (fake, written) = start_streaming();
    let setup = start_on_vm(LARGE_VM_MIB, route_with_long_timeout(STREAM), &fake);
    let mut caller = start_slow_call(&setup, "/a/300");
    assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    setup.stop();
    wait_until("the listener to close", || {
        TcpStream::connect(setup.address()).is_err()
    });
    let answer = read_answer(&mut caller);
    assert_eq!(
        (answer.is_complete, count_events(&answer.body)),
        (true, 300)
    );
}

#[test]
fn a_stopping_gateway_waits_for_a_slow_caller_of_a_large_answer() {
    let fake = start_answering();
    let mut settings = settings();
    settings.memory_mib = LARGE_VM_MIB;
    settings.stop_grace_ms = 60_000;
    let configuration = configuration(1, vec![route_with_long_timeout(Execution::Once)]);
    let one = endpoint("e0", fake.address);
    let setup = Setup::serving_with(settings, configuration, vec![one]);
    let mut caller = start_slow_call(&setup, "/a/3000000");
    let mut byte = [0];
    caller.read_exact(&mut byte).unwrap();
    setup.stop();
    wait_until("the listener to close", || {
        TcpStream::connect(setup.address()).is_err()
    });
    // Takes longer than the stop of a gateway without requests in flight.
    let answer = read_slowly(&mut caller, 64 << 10, Duration::from_millis(5));
    let length = answer.body.len();
    assert_eq!(length, 3_000_000);
}

fn post(setup: &Setup, length: usize, sent: usize) -> TcpStream {
    let length = format!("content-length: {length}");
    let head = request_text("/a/", &[&length, "x-deadline: 60000"]);
    let head = head.replacen("GET", "POST", 1);
    let mut caller = open(setup.address(), &head);
    caller.write_all(&vec![b'x'; sent]).unwrap();
    caller
}

#[test]
fn bodies_beyond_the_memory_budget_are_refused_as_not_run_and_small_ones_are_served() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let setup = start_on_vm(
        SMALL_VM_MIB,
        route_with_long_timeout(Execution::Once),
        &fake,
    );
    let hold = || post(&setup, 1_000_001, 1_000_000);
    // The last byte of each body is not sent.
    let mut held: Vec<TcpStream> = (0..8).map(|_| hold()).collect();
    let refused = |caller: &mut TcpStream| {
        caller
            .set_read_timeout(Some(Duration::from_millis(1000)))
            .unwrap();
        let answer = read_answer(caller);
        assert!(matches!(answer.status, 0 | 503), "{answer:?}");
        answer.status == 503 && answer.header("retry-after").is_some()
    };
    let refusals: usize = held.iter_mut().map(|c| usize::from(refused(c))).sum();
    assert!((1..=4).contains(&refusals), "{refusals}");
    assert_eq!(fake.heads().len(), 0);
    let answer = read_answer(&mut post(&setup, 10_000, 10_000));
    assert_eq!(answer.status, 200);
}

#[test]
fn a_connection_with_an_incomplete_head_is_closed_by_the_head_timeout_and_an_idle_one_is_not() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let mut configuration = configuration(1, vec![route_with_long_timeout(Execution::Once)]);
    configuration.bounds = CallerBounds {
        head_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(60),
        ..CallerBounds::default()
    };
    let setup = Setup::serving(configuration, vec![endpoint("e0", fake.address)]);
    let kept = request_text("/a/", &[]).replace("connection: close\r\n", "");
    let mut idle = open(setup.address(), &kept);
    let mut incomplete = open(setup.address(), "GET /a/ HTTP/1.1\r\nhost: h\r\n");
    incomplete
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut byte = [0];
    let end = incomplete.read(&mut byte);
    assert!(!matches!(end, Ok(1..)), "{end:?}");
    assert!(end.is_ok(), "not closed within 5 s: {end:?}");
    idle.write_all(request_text("/a/", &[]).as_bytes()).unwrap();
    let both = read_answer(&mut idle);
    assert_eq!(both.body.matches("HTTP/1.1 200").count(), 1, "{both:?}");
}

#[test]
fn a_gateway_short_of_memory_withdraws_readiness_until_connections_close() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let setup = start_on_vm(
        SMALL_VM_MIB,
        route_with_long_timeout(Execution::Once),
        &fake,
    );
    let bodies: Vec<TcpStream> = (0..5).map(|_| post(&setup, 1_000_001, 1_000_000)).collect();
    let mut resting = Vec::new();
    wait_until("readiness to be withdrawn", || {
        let connection = TcpStream::connect(setup.address()).unwrap();
        resting.push(connection);
        !setup.is_ready()
    });
    assert!(resting.len() < 400, "{}", resting.len());
    drop((bodies, resting));
    wait_until("readiness", || setup.is_ready());
    assert_eq!(setup.call("/a/", &[]).status, 200);
}

#[test]
fn buffered_bodies_for_slow_endpoints_leave_memory_for_the_answers() {
    let fake = FakeEndpoint::start(|_, exchange| {
        assert_eq!(
            exchange.read_body_slowly(8 << 10, Duration::from_millis(1)),
            1_000_000
        );
        exchange.answer_with_timeout(1_000_000, Duration::from_secs(20));
    });
    let setup = start_on_vm(
        SMALL_VM_MIB,
        route_with_long_timeout(Execution::Once),
        &fake,
    );
    // Bodies of 5 MB in total fill the shared part of the budget, and the answers need as much again.
    let callers: Vec<TcpStream> = (0..5).map(|_| post(&setup, 1_000_000, 1_000_000)).collect();
    for mut caller in callers {
        let answer = read_answer(&mut caller);
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
}

#[test]
fn slow_callers_of_slow_endpoints_get_complete_streams_while_the_gateway_stops() {
    let (reports, written) = flume::unbounded();
    let fake = FakeEndpoint::start(move |_, exchange| {
        let read = exchange.read_body_slowly(4 << 10, Duration::from_millis(1));
        let all = exchange.stream_with_timeout(300, EVENT_BYTES, WRITE_TIMEOUT);
        let _ = reports.send(all && read == 500_000);
    });
    let setup = start_on_vm(SMALL_VM_MIB, route_with_long_timeout(STREAM), &fake);
    let mut callers: Vec<TcpStream> = (0..6).map(|_| post(&setup, 500_000, 500_000)).collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == callers.len()
    });
    setup.stop();
    for _ in &callers {
        assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    }
    for caller in &mut callers {
        let answer = read_slowly(caller, 64 << 10, Duration::from_millis(1));
        assert_eq!(
            (answer.is_complete, count_events(&answer.body)),
            (true, 300)
        );
    }
}

#[test]
fn without_a_memory_limit_a_caller_that_reads_nothing_for_3500_ms_is_kept() {
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.stream_with_timeout(500, LARGE_EVENT_BYTES, Duration::from_secs(20));
    });
    let setup = start_on_vm(
        0,
        route_with_long_timeout(Execution::Stream { resumable: true }),
        &fake,
    );
    // The gateway keeps the body for a retry. It is larger than the data read ahead.
    let mut caller = post(&setup, 500_000, 500_000);
    let started = Instant::now();
    wait_until(
        "more than the time for which such a caller is kept while memory is short",
        || started.elapsed() > Duration::from_millis(3500),
    );
    let answer = read_answer(&mut caller);
    assert_eq!(
        (answer.is_complete, count_events(&answer.body)),
        (true, 500)
    );
    assert_eq!(fake.heads().len(), 1);
}
