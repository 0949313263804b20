//! Whether the ledger agrees with what is really allocated. The allocator counts for the whole process, so the tests run
//! one after the other.

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

struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

fn add(bytes: usize) {
    let now = ALLOCATED.fetch_add(bytes, Ordering::Relaxed) + bytes;
    PEAK.fetch_max(now, Ordering::Relaxed);
}

// Safety: every call is passed on to the system's allocator as it came.
unsafe impl GlobalAlloc for Counting {
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
static ALLOCATOR: Counting = Counting;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    let guard = ONE_AT_A_TIME.lock();
    guard.unwrap_or_else(PoisonError::into_inner)
}

// Ends a gateway, so that the next test doesn't count what it gives back.
fn end(setup: Setup) {
    let readiness = setup.gateway.listening().readiness;
    setup.stop();
    wait_until("the end of the gateway", || {
        TcpStream::connect(readiness).is_err()
    });
}

fn serving(mib: i32, execution: Execution, fake: &FakeEndpoint) -> Setup {
    let mut settings = settings();
    settings.memory_mib = mib;
    settings.descriptors = 8192;
    settings.stop_grace_ms = 1000;
    let mut configuration = configuration(1, vec![route("/a/", execution)]);
    configuration.routes[0].timeout = Duration::from_secs(60);
    let service = configuration.services.get_mut("s");
    service.expect("it is there").max_connections = 2000;
    let endpoints = vec![endpoint("e0", fake.address)];
    Setup::serving_with(settings, configuration, endpoints)
}

const KINDS: [Gauge; 5] = [
    Gauge::BodiesRead,
    Gauge::BodiesKept,
    Gauge::ReadAhead,
    Gauge::WholeAnswers,
    Gauge::Connections,
];

fn held(setup: &Setup) -> usize {
    let metrics = setup.gateway.metrics();
    KINDS.iter().map(|kind| metrics.gauge(*kind) as usize).sum()
}

// Waits until no more is allocated or held for a while: several looks of the gateway at what it holds.
fn settle(setup: &Setup) -> (usize, usize) {
    let mut before = (usize::MAX, 0);
    let mut quiet = 0;
    wait_until("nothing more to be held", || {
        std::thread::sleep(Duration::from_millis(50));
        let now = (held(setup), ALLOCATED.load(Ordering::Relaxed));
        let same = now.0 == before.0 && now.1.abs_diff(before.1) < 32 << 10;
        quiet = if same { quiet + 1 } else { 0 };
        before = now;
        quiet >= 12
    });
    before
}

fn assert_agree(what: &str, (held, real): (usize, usize)) {
    let part = real as f64 / held as f64;
    assert!(
        (0.9..1.1).contains(&part),
        "{what}: {held} held, {real} allocated"
    );
}

fn grown(setup: &Setup, before: (usize, usize)) -> (usize, usize) {
    let after = settle(setup);
    (after.0 - before.0, after.1 - before.1)
}

fn streams_agree(events: u64, bytes: usize) {
    let _alone = alone();
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.stream_with_timeout(events, bytes, Duration::from_secs(20));
    });
    let stream = Execution::Stream { resumable: false };
    let setup = serving(256, stream, &fake);
    let before = settle(&setup);
    let request = request_text("/a/", &[]);
    let callers: Vec<TcpStream> = (0..12)
        .map(|_| open_with_small_buffers(setup.address(), request.as_bytes()))
        .collect();
    wait_until("much to be held", || held(&setup) - before.0 > 8 << 20);
    assert_agree("streams", grown(&setup, before));
    drop(callers);
    wait_until("all to be given back", || {
        setup.gateway.metrics().gauge(Gauge::ReadAhead) == 0
    });
    end(setup);
}

#[test]
fn streams_of_large_events_take_what_the_ledger_says() {
    streams_agree(100, 20_000);
}

#[test]
fn streams_of_small_events_take_what_the_ledger_says() {
    streams_agree(8_000, 70);
}

#[test]
fn bodies_and_whole_answers_take_what_the_ledger_says() {
    let _alone = alone();
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.answer_with_timeout(1_000_000, Duration::from_secs(20));
    });
    let setup = serving(256, Execution::Once, &fake);
    let before = settle(&setup);
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
    wait_until("much to be held", || held(&setup) - before.0 > 18 << 20);
    assert_agree("answers and bodies", grown(&setup, before));
    drop((answers, bodies));
    wait_until("all to be given back", || {
        let metrics = setup.gateway.metrics();
        metrics.gauge(Gauge::BodiesRead) + metrics.gauge(Gauge::WholeAnswers) == 0
    });
    end(setup);
}

#[test]
fn connections_at_rest_cost_what_the_ledger_says() {
    let _alone = alone();
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let setup = serving(256, Execution::Once, &fake);
    let request = request_text("/a/", &[]).replace("connection: close\r\n", "");
    let ask = || {
        let mut caller = open(setup.address(), &request);
        let mut answer = [0; 16];
        caller.read_exact(&mut answer).unwrap();
        caller
    };
    let first = ask();
    let before = settle(&setup);
    let callers: Vec<TcpStream> = (0..300).map(|_| ask()).collect();
    assert_agree("connections", grown(&setup, before));
    drop((first, callers));
    end(setup);
}

#[test]
fn requests_under_way_cost_what_the_ledger_says() {
    let _alone = alone();
    let fake = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    let setup = serving(256, Execution::Once, &fake);
    let request = request_text("/a/", &[]);
    let before = settle(&setup);
    let callers: Vec<TcpStream> = (0..300).map(|_| open(setup.address(), &request)).collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == callers.len()
    });
    assert_agree("requests under way", grown(&setup, before));
    drop(callers);
    end(setup);
}

#[test]
fn two_hundred_callers_that_read_nothing_keep_a_gateway_of_160_mib_below_120() {
    let _alone = alone();
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.answer_with_timeout(1_000_000, Duration::from_secs(20));
    });
    let setup = serving(160, Execution::Once, &fake);
    let (_, before) = settle(&setup);
    PEAK.store(before, Ordering::Relaxed);
    let request = request_text("/a/", &[]);
    let callers: Vec<TcpStream> = (0..200)
        .map(|_| open_with_small_buffers(setup.address(), request.as_bytes()))
        .collect();
    wait_until("all requests at the endpoint", || {
        fake.heads().len() == callers.len()
    });
    settle(&setup);
    let metrics = setup.gateway.metrics();
    let (budget, most) = (metrics.gauge(Gauge::Budget), metrics.gauge(Gauge::HeldPeak));
    assert!((budget / 2..=budget).contains(&most), "{most} of {budget}");
    let peak = PEAK.load(Ordering::Relaxed);
    assert!(peak < 120 << 20, "{peak}");
    assert!(peak < budget as usize * 11 / 10, "{peak}");
    drop(callers);
    end(setup);
}
