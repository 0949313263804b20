//! Callers that read slowly, or nothing, beside quick ones; each with the failure that would break its promise.

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
/// An endpoint here cuts an answer off that nobody reads for so long.
const UNREAD: Duration = Duration::from_millis(1500);
/// The least budget is 8 MiB, whatever the VM says.
const SMALL_VM_MIB: i32 = 16;
const LARGE_VM_MIB: i32 = 256;
const EVENT: usize = 1000;

fn serving_on(mib: i32, route: Route, fake: &FakeEndpoint) -> Setup {
    let mut settings = settings();
    settings.memory_mib = mib;
    let configuration = configuration(1, vec![route]);
    Setup::serving_with(settings, configuration, vec![endpoint("e0", fake.address)])
}

fn patient_route(execution: Execution) -> Route {
    let mut route = route("/a/", execution);
    route.timeout = Duration::from_secs(60);
    route
}

/// Events of a stream that is larger than what the kernel holds at most for a connection, 4 MiB.
const LARGE_EVENT: usize = 20_000;

/// Streams as many events as the path ends in, and says whether all were written.
fn streaming() -> (FakeEndpoint, flume::Receiver<bool>) {
    streaming_of(EVENT)
}

fn streaming_of(bytes: usize) -> (FakeEndpoint, flume::Receiver<bool>) {
    let (told, written) = flume::unbounded();
    let fake = FakeEndpoint::start(move |_, exchange| {
        let path = exchange.head.split(' ').nth(1).unwrap_or_default();
        let events = path.rsplit('/').next().and_then(|n| n.parse().ok());
        let all = exchange.stream_with_timeout(events.unwrap_or(1), bytes, UNREAD);
        let _ = told.send(all);
    });
    (fake, written)
}

/// Answers with as many bytes as the path ends in.
fn answering() -> FakeEndpoint {
    FakeEndpoint::start(move |_, exchange| {
        let path = exchange.head.split(' ').nth(1).unwrap_or_default();
        let bytes = path.rsplit('/').next().and_then(|n| n.parse().ok());
        exchange.answer_with_timeout(bytes.unwrap_or(1), Duration::from_secs(20));
    })
}

fn ask(setup: &Setup, path: &str) -> TcpStream {
    open_with_small_buffers(setup.address(), request_text(path, &[]).as_bytes())
}

fn events_of(body: &str) -> usize {
    body.matches("id: ").count()
}

#[test]
fn a_stream_is_read_as_fast_as_it_is_made_however_slowly_its_caller_reads() {
    let (fake, written) = streaming_of(LARGE_EVENT);
    let setup = serving_on(LARGE_VM_MIB, patient_route(STREAM), &fake);
    let mut caller = ask(&setup, "/a/600");
    assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    let answer = read_slowly(&mut caller, 256 << 10, Duration::from_millis(1));
    assert_eq!(events_of(&answer.body), 600);
    assert!(answer.is_complete);
}

#[test]
fn a_slow_caller_gets_the_rest_of_a_whole_answer_after_its_routes_time() {
    let (fake, written) = streaming_of(LARGE_EVENT);
    let mut short = patient_route(STREAM);
    short.timeout = Duration::from_millis(700);
    let began = Instant::now();
    let setup = serving_on(LARGE_VM_MIB, short, &fake);
    let mut caller = ask(&setup, "/a/300");
    assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    wait_until("the route's time", || {
        began.elapsed() > Duration::from_millis(1500)
    });
    let answer = read_answer(&mut caller);
    assert_eq!(events_of(&answer.body), 300);
    assert!(answer.is_complete);
}

#[test]
fn quick_callers_are_served_beside_slow_ones_which_get_their_whole_answers() {
    let (fake, written) = streaming();
    let setup = serving_on(SMALL_VM_MIB, patient_route(STREAM), &fake);
    let mut slow: Vec<TcpStream> = (0..4).map(|_| ask(&setup, "/a/1000")).collect();
    for _ in &slow {
        assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    }
    for _ in 0..20 {
        let answer = setup.call("/a/3", &[]);
        assert_eq!((answer.is_complete, events_of(&answer.body)), (true, 3));
    }
    for caller in &mut slow {
        let answer = read_slowly(caller, 64 << 10, Duration::from_millis(2));
        assert_eq!((answer.is_complete, events_of(&answer.body)), (true, 1000));
    }
}

#[test]
fn callers_that_read_nothing_fill_no_more_than_the_budget_and_quick_ones_are_served() {
    let fake = answering();
    let setup = serving_on(SMALL_VM_MIB, patient_route(Execution::Once), &fake);
    let silent: Vec<TcpStream> = (0..20).map(|_| ask(&setup, "/a/1000000")).collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == silent.len()
    });
    for _ in 0..20 {
        let answer = setup.call("/a/1000", &[]);
        assert_eq!((answer.status, answer.body.len()), (200, 1000));
    }
}

#[test]
fn a_caller_that_reads_nothing_is_cut_off_visibly_once_others_need_its_memory() {
    let (fake, written) = streaming();
    let setup = serving_on(SMALL_VM_MIB, patient_route(STREAM), &fake);
    let mut silent: Vec<TcpStream> = (0..5).map(|_| ask(&setup, "/a/1000")).collect();
    for _ in &silent {
        assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    }
    // These need more than is left; they read on.
    let late: Vec<TcpStream> = (0..4).map(|_| ask(&setup, "/a/1000")).collect();
    let whole = late.into_iter().map(|mut caller| {
        std::thread::spawn(move || {
            // Longer than a caller that reads nothing is kept in need.
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
fn a_caller_that_leaves_while_events_wait_for_it_ends_its_run() {
    let (left, closed) = flume::bounded(1);
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.begin_stream();
        for n in 1..=200 {
            exchange.chunk(&format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT)));
        }
        let _ = left.send(());
        exchange.wait_closed();
        let _ = left.send(());
    });
    let setup = serving_on(LARGE_VM_MIB, patient_route(STREAM), &fake);
    let caller = ask(&setup, "/a/");
    closed.recv_timeout(Duration::from_secs(20)).unwrap();
    drop(caller);
    closed.recv_timeout(Duration::from_secs(5)).unwrap();
}

#[test]
fn a_stop_lets_a_slow_caller_read_its_whole_answer() {
    let (fake, written) = streaming();
    let setup = serving_on(LARGE_VM_MIB, patient_route(STREAM), &fake);
    let mut caller = ask(&setup, "/a/300");
    assert!(written.recv_timeout(Duration::from_secs(20)).unwrap());
    setup.stop();
    wait_until("a closed listener", || {
        TcpStream::connect(setup.address()).is_err()
    });
    let answer = read_answer(&mut caller);
    assert_eq!((answer.is_complete, events_of(&answer.body)), (true, 300));
}

#[test]
fn a_stop_waits_for_a_slow_caller_of_an_answer_known_as_a_whole() {
    let fake = answering();
    let mut settings = settings();
    settings.memory_mib = LARGE_VM_MIB;
    settings.stop_grace_ms = 60_000;
    let configuration = configuration(1, vec![patient_route(Execution::Once)]);
    let one = endpoint("e0", fake.address);
    let setup = Setup::serving_with(settings, configuration, vec![one]);
    let mut caller = ask(&setup, "/a/3000000");
    let mut byte = [0];
    caller.read_exact(&mut byte).unwrap();
    setup.stop();
    wait_until("a closed listener", || {
        TcpStream::connect(setup.address()).is_err()
    });
    // Longer than a gateway needs that finds nothing in flight.
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
fn a_body_beyond_the_memory_is_refused_as_not_run_and_small_ones_are_served() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let setup = serving_on(SMALL_VM_MIB, patient_route(Execution::Once), &fake);
    let hold = || post(&setup, 1_000_001, 1_000_000);
    // Each waits for its last byte.
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
fn a_head_that_trickles_ends_at_its_own_time_and_a_connection_at_rest_does_not() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let mut configuration = configuration(1, vec![patient_route(Execution::Once)]);
    configuration.bounds = CallerBounds {
        head_time: Duration::from_millis(300),
        idle_time: Duration::from_secs(60),
        ..CallerBounds::default()
    };
    let setup = Setup::serving(configuration, vec![endpoint("e0", fake.address)]);
    let kept = request_text("/a/", &[]).replace("connection: close\r\n", "");
    let mut resting = open(setup.address(), &kept);
    let mut trickling = open(setup.address(), "GET /a/ HTTP/1.1\r\nhost: h\r\n");
    trickling
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut byte = [0];
    let end = trickling.read(&mut byte);
    assert!(!matches!(end, Ok(1..)), "{end:?}");
    assert!(end.is_ok(), "no end within 5 s: {end:?}");
    resting
        .write_all(request_text("/a/", &[]).as_bytes())
        .unwrap();
    let both = read_answer(&mut resting);
    assert_eq!(both.body.matches("HTTP/1.1 200").count(), 1, "{both:?}");
}

#[test]
fn connections_stop_being_taken_before_memory_is_full() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let setup = serving_on(SMALL_VM_MIB, patient_route(Execution::Once), &fake);
    let bodies: Vec<TcpStream> = (0..5).map(|_| post(&setup, 1_000_001, 1_000_000)).collect();
    let mut resting = Vec::new();
    wait_until("readiness withdrawn", || {
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
fn bodies_that_wait_for_slow_endpoints_do_not_keep_their_answers_out() {
    let fake = FakeEndpoint::start(|_, exchange| {
        assert_eq!(
            exchange.read_body_slowly(8 << 10, Duration::from_millis(1)),
            1_000_000
        );
        exchange.answer_with_timeout(1_000_000, Duration::from_secs(20));
    });
    let setup = serving_on(SMALL_VM_MIB, patient_route(Execution::Once), &fake);
    // Bodies of 5 MB fill the common part; the answers need as much.
    let callers: Vec<TcpStream> = (0..5).map(|_| post(&setup, 1_000_000, 1_000_000)).collect();
    for mut caller in callers {
        let answer = read_answer(&mut caller);
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
}

#[test]
fn slow_callers_of_slow_endpoints_get_whole_answers_while_the_gateway_stops() {
    let (told, written) = flume::unbounded();
    let fake = FakeEndpoint::start(move |_, exchange| {
        let read = exchange.read_body_slowly(4 << 10, Duration::from_millis(1));
        let all = exchange.stream_with_timeout(300, EVENT, UNREAD);
        let _ = told.send(all && read == 500_000);
    });
    let setup = serving_on(SMALL_VM_MIB, patient_route(STREAM), &fake);
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
        assert_eq!((answer.is_complete, events_of(&answer.body)), (true, 300));
    }
}

#[test]
fn where_memory_has_no_bound_a_caller_that_reads_nothing_for_long_is_kept() {
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.stream_with_timeout(500, LARGE_EVENT, Duration::from_secs(20));
    });
    let setup = serving_on(
        0,
        patient_route(Execution::Stream { resumable: true }),
        &fake,
    );
    // Its body stays, since it may be sent again, and is more than what is read ahead.
    let mut caller = post(&setup, 500_000, 500_000);
    let began = Instant::now();
    wait_until(
        "longer than a caller that reads nothing is kept in need",
        || began.elapsed() > Duration::from_millis(3500),
    );
    let answer = read_answer(&mut caller);
    assert_eq!((answer.is_complete, events_of(&answer.body)), (true, 500));
    assert_eq!(fake.heads().len(), 1);
}
