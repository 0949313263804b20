//! Compares the memory that the gateway accounts for with what is allocated. The allocator counts for the whole process,
//! so the tests run one at a time.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use common::slow_io::open_with_small_buffers;
use common::{
    configuration, endpoint, open, request_text, route, settings, wait_until, FakeEndpoint, Setup,
};
use directory::Execution;
use telemetry::Gauge;

struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

fn add(bytes: usize) {
    let now = ALLOCATED.fetch_add(bytes, Ordering::Relaxed) + bytes;
    PEAK.fetch_max(now, Ordering::Relaxed);
}

// Safety: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size());
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(block, layout);
    }

    unsafe fn realloc(&self, block: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        add(size);
        System.realloc(block, layout, size)
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn lock_one_at_a_time() -> MutexGuard<'static, ()> {
    let guard = ONE_AT_A_TIME.lock();
    guard.unwrap_or_else(PoisonError::into_inner)
}

// Stops a gateway and waits for its end, so that the next test doesn't count the memory that it frees.
fn stop_and_wait(setup: Setup) {
    let readiness = setup.gateway.listening().readiness;
    setup.stop();
    wait_until("the gateway to end", || {
        TcpStream::connect(readiness).is_err()
    });
}

fn start_serving(mib: i32, execution: Execution, fake: &FakeEndpoint) -> Setup {
    let mut settings = settings();
    settings.memory_mib = mib;
    settings.descriptors = 8192;
    settings.stop_grace_ms = 1000;
    let mut configuration = configuration(1, vec![route("/a/", execution)]);
    configuration.routes[0].timeout = Duration::from_secs(60);
    let service = configuration.services.get_mut("s");
    service.expect("service s is missing").max_connections = 2000;
    let endpoints = vec![endpoint("e0", fake.address)];
    Setup::serving_with(settings, configuration, endpoints)
}

const ACCOUNTED_GAUGES: [Gauge; 5] = [
    Gauge::BodiesRead,
    Gauge::BodiesKept,
    Gauge::ReadAhead,
    Gauge::WholeAnswers,
    Gauge::Connections,
];

fn accounted_bytes(setup: &Setup) -> usize {
    let metrics = setup.gateway.metrics();
    ACCOUNTED_GAUGES
        .iter()
        .map(|gauge| metrics.gauge(*gauge) as usize)
        .sum()
}

// Waits until the accounted and the allocated bytes are stable for several updates of the gauges. Returns both.
fn wait_until_stable(setup: &Setup) -> (usize, usize) {
    let mut before = (usize::MAX, 0);
    let mut stable_checks = 0;
    wait_until("stable memory use", || {
        std::thread::sleep(Duration::from_millis(50));
        let now = (accounted_bytes(setup), ALLOCATED.load(Ordering::Relaxed));
        let same = now.0 == before.0 && now.1.abs_diff(before.1) < 32 << 10;
        stable_checks = if same { stable_checks + 1 } else { 0 };
        before = now;
        stable_checks >= 12
    });
    before
}

fn assert_agree(what: &str, (accounted, allocated): (usize, usize)) {
    let ratio = allocated as f64 / accounted as f64;
    assert!(
        (0.9..1.1).contains(&ratio),
        "{what}: {accounted} accounted for, {allocated} allocated"
    );
}

fn growth(setup: &Setup, before: (usize, usize)) -> (usize, usize) {
    let after = wait_until_stable(setup);
    (after.0 - before.0, after.1 - before.1)
}

fn streams_agree(events: u64, bytes: usize) {
    let _guard = lock_one_at_a_time();
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.stream_with_timeout(events, bytes, Duration::from_secs(20));
    });
    let stream = Execution::Stream { resumable: false };
    let setup = start_serving(256, stream, &fake);
    let before = wait_until_stable(&setup);
    let request = request_text("/a/", &[]);
    let callers: Vec<TcpStream> = (0..12)
        .map(|_| open_with_small_buffers(setup.address(), request.as_bytes()))
        .collect();
    wait_until("much memory to be accounted for", || {
        accounted_bytes(&setup) - before.0 > 8 << 20
    });
    assert_agree("streams", growth(&setup, before));
    drop(callers);
    wait_until("all memory to be released", || {
        setup.gateway.metrics().gauge(Gauge::ReadAhead) == 0
    });
    stop_and_wait(setup);
}

#[test]
fn memory_of_streams_of_large_events_matches_the_accounting() {
    streams_agree(100, 20_000);
}

#[test]
fn memory_of_streams_of_small_events_matches_the_accounting() {
    streams_agree(8_000, 70);
}

#[test]
fn memory_of_bodies_and_whole_answers_matches_the_accounting() {
    let _guard = lock_one_at_a_time();
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.answer_with_timeout(1_000_000, Duration::from_secs(20));
    });
    let setup = start_serving(256, Execution::Once, &fake);
    let before = wait_until_stable(&setup);
    let request = request_text("/a/", &[]);
    let answers: Vec<TcpStream> = (0..12)
        .map(|_| open_with_small_buffers(setup.address(), request.as_bytes()))
        .collect();
    let head = request_text("/a/", &["content-length: 2000000", "x-deadline: 60000"]);
    let head = head.replacen("GET", "POST", 1);
    let body = vec![b'x'; 1_000_000];
    let before = (before.0, before.1 + body.len());
    let bodies: Vec<TcpStream> = (0..12)
        .map(|_| {
            let mut caller = open(setup.address(), &head);
            caller.write_all(&body).unwrap();
            caller
        })
        .collect();
    wait_until("much memory to be accounted for", || {
        accounted_bytes(&setup) - before.0 > 18 << 20
    });
    assert_agree("answers and bodies", growth(&setup, before));
    drop((answers, bodies));
    wait_until("all memory to be released", || {
        let metrics = setup.gateway.metrics();
        metrics.gauge(Gauge::BodiesRead) + metrics.gauge(Gauge::WholeAnswers) == 0
    });
    stop_and_wait(setup);
}

#[test]
fn memory_of_idle_connections_matches_the_accounting() {
    let _guard = lock_one_at_a_time();
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let setup = start_serving(256, Execution::Once, &fake);
    let request = request_text("/a/", &[]).replace("connection: close\r\n", "");
    let call_on_kept_connection = || {
        let mut caller = open(setup.address(), &request);
        let mut answer = [0; 16];
        caller.read_exact(&mut answer).unwrap();
        caller
    };
    let first = call_on_kept_connection();
    let before = wait_until_stable(&setup);
    let callers: Vec<TcpStream> = (0..300).map(|_| call_on_kept_connection()).collect();
    assert_agree("connections", growth(&setup, before));
    drop((first, callers));
    stop_and_wait(setup);
}

#[test]
fn memory_of_requests_in_flight_matches_the_accounting() {
    let _guard = lock_one_at_a_time();
    let fake = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    let setup = start_serving(256, Execution::Once, &fake);
    let request = request_text("/a/", &[]);
    let before = wait_until_stable(&setup);
    let callers: Vec<TcpStream> = (0..300).map(|_| open(setup.address(), &request)).collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == callers.len()
    });
    assert_agree("requests in flight", growth(&setup, before));
    drop(callers);
    stop_and_wait(setup);
}

#[test]
fn a_gateway_of_160_mib_stays_below_120_mib_with_200_callers_that_read_nothing() {
    let _guard = lock_one_at_a_time();
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.answer_with_timeout(1_000_000, Duration::from_secs(20));
    });
    let setup = start_serving(160, Execution::Once, &fake);
    let (_, before) = wait_until_stable(&setup);
    PEAK.store(before, Ordering::Relaxed);
    let request = request_text("/a/", &[]);
    let callers: Vec<TcpStream> = (0..200)
        .map(|_| open_with_small_buffers(setup.address(), request.as_bytes()))
        .collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == callers.len()
    });
    wait_until_stable(&setup);
    let metrics = setup.gateway.metrics();
    let (budget, held_peak) = (metrics.gauge(Gauge::Budget), metrics.gauge(Gauge::HeldPeak));
    assert!(
        (budget / 2..=budget).contains(&held_peak),
        "{held_peak} of {budget}"
    );
    let peak = PEAK.load(Ordering::Relaxed);
    assert!(peak < 120 << 20, "{peak}");
    assert!(peak < budget as usize * 11 / 10, "{peak}");
    drop(callers);
    stop_and_wait(setup);
}
