//! Retry budget of a gateway: what it counts, and for how long.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::{
    configuration, endpoint, request_text, route, send, settings, wait_until, FakeEndpoint,
    FakeStore, Setup,
};
use directory::Execution;
use gateway::Clock;
use socket2::{Domain, Socket, Type};

/// A store with a repeatable route and two endpoints at the same address.
fn store_with_two_endpoints(fake: &FakeEndpoint) -> FakeStore {
    let store = FakeStore::default();
    let route = route("/a/", Execution::Repeatable);
    store.put_configuration(configuration(1, vec![route]));
    for id in ["e0", "e1"] {
        store.put_endpoint(endpoint(id, fake.address));
    }
    store
}

// Guards against a process that, right after its start, uses retries that the process before it may have used.
#[test]
fn a_gateway_makes_no_retries_of_the_fixed_allowance_within_a_window_of_its_start() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(500, "failed"));
    let mut settings = settings();
    settings.repeats_window_ms = 60_000;
    let setup = Setup::start(settings, store_with_two_endpoints(&fake));
    wait_until("readiness", || setup.is_ready());
    for number in 1..=3 {
        assert_eq!(setup.call("/a/", &[]).status, 500);
        assert_eq!(fake.heads().len(), number);
    }
}

// Guards against a retry that no longer counts when it arrives: it was held up for longer than a window.
#[test]
fn a_retry_without_an_answer_counts_until_a_window_after_its_answer() {
    let released = Arc::new(AtomicBool::new(false));
    let is_released = Arc::clone(&released);
    let fake = FakeEndpoint::start(move |number, exchange| match number {
        // The retry of the first request.
        1 => {
            wait_until("the release", || is_released.load(Ordering::Relaxed));
            exchange.answer(200, "x");
        }
        4 => exchange.answer(200, "x"),
        _ => exchange.answer(500, "failed"),
    });
    let mut settings = settings();
    settings.repeats_milli = 0;
    settings.repeats_extra = 1;
    let suspended_ms: &'static AtomicU64 = Box::leak(Box::default());
    let setup = Setup::start_with_clock(
        settings,
        store_with_two_endpoints(&fake),
        telemetry::discard(),
        Clock::start_suspendable(suspended_ms),
    );
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    let address = setup.address();
    let held_up = thread::spawn(move || send(address, &request_text("/a/1", &[])).status);
    wait_until("the retry", || fake.heads().len() == 2);
    suspended_ms.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(setup.call("/a/2", &[]).status, 500);
    assert_eq!(fake.heads().len(), 3);
    released.store(true, Ordering::Relaxed);
    assert_eq!(held_up.join().unwrap(), 200);
    suspended_ms.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(setup.call("/a/3", &[]).status, 200);
    assert_eq!(fake.heads().len(), 5);
}

// Guards against an abandoned attempt that arrives later, beside its retry: its bytes waited in the socket's send buffer.
#[test]
fn an_attempt_that_timed_out_does_not_arrive_after_its_retry() {
    const BODY_BYTES: usize = 64 << 10;
    let stalled = listen_with_small_receive_buffer();
    let store = FakeStore::default();
    let mut route = route("/a/", Execution::Repeatable);
    // An attempt times out after twice this time if another one is left.
    route.target = Duration::from_secs(1);
    store.put_configuration(configuration(1, vec![route]));
    store.put_endpoint(endpoint("e0", stalled.local_addr().unwrap()));
    let setup = Setup::start(settings(), store.clone());
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    let address = setup.address();
    let body = format!("content-length: {BODY_BYTES}");
    let request = request_text("/a/1", &[&body]) + &"x".repeat(BODY_BYTES);
    let caller = thread::spawn(move || send(address, &request).status);
    let (mut unread, _) = stalled.accept().unwrap();
    let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    store.put_endpoint(endpoint("e1", steady.address));
    assert_eq!(caller.join().unwrap(), 200);
    let mut received = Vec::new();
    let result = unread.read_to_end(&mut received);
    assert!(
        received.len() < BODY_BYTES,
        "{} bytes: {result:?}",
        received.len()
    );
}

fn listen_with_small_receive_buffer() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2048).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(8).unwrap();
    socket.into()
}
