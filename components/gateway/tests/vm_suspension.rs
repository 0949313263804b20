//! Suspension of the VM of a gateway: its monotonic clock stops while time goes on for all others.
//!
//! Guards against expired state that is still used after a suspension: ages were measured on the monotonic clock, so a
//! resumed gateway took its confirmation of keys, its lease and the deadlines of its callers for younger than they were.
//! The fault was found by reading the code.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, request_text, route, send, settings, tenant, wait_until, FakeEndpoint,
    FakeStore, LogLines, Setup,
};
use directory::Execution;
use gateway::Clock;
use schema::settings::GatewaySettings;

/// A gateway on a VM that a test can suspend.
struct Suspendable {
    setup: Setup,
    lines: LogLines,
    suspended_ms: &'static AtomicU64,
}

impl Suspendable {
    fn start(settings: GatewaySettings, store: &FakeStore) -> Self {
        let suspended_ms: &'static AtomicU64 = Box::leak(Box::default());
        let lines = LogLines::default();
        let clock = Clock::start_suspendable(suspended_ms);
        let setup = Setup::start_with_clock(settings, store.clone(), lines.logger(), clock);
        Suspendable {
            setup,
            lines,
            suspended_ms,
        }
    }

    /// Simulates a suspension: the time passes at once, and the monotonic clock does not count it.
    fn suspend(&self, time: Duration) {
        let ms = time.as_millis() as u64;
        self.suspended_ms.fetch_add(ms, Ordering::Relaxed);
    }

    fn has_noticed(&self) -> bool {
        self.lines.count("the VM was suspended") > 0
    }
}

fn store_with_key() -> FakeStore {
    let store = FakeStore::default();
    let mut configuration = configuration(1, vec![route("/a/", Execution::Once)]);
    configuration.tenants = vec![tenant("t", "k")];
    store.put_configuration(configuration);
    store
}

/// Starts a gateway that accepts keys only if they were confirmed in the last minute.
fn start_with_key_expiry(store: &FakeStore) -> Suspendable {
    let key_expiry = GatewaySettings {
        credential_age_ms: 60_000,
        ..settings()
    };
    let gateway = Suspendable::start(key_expiry, store);
    wait_until("readiness", || gateway.setup.is_ready());
    gateway
}

#[test]
fn a_key_confirmed_before_a_suspension_is_not_accepted_after_it_expired() {
    let store = store_with_key();
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    store.put_endpoint(endpoint("e", fake.address));
    let gateway = start_with_key_expiry(&store);
    store.stop_responding();
    store.refuse(true);
    let call = || gateway.setup.call("/a/1", &["x-key: k"]).status;
    assert_eq!(call(), 200);
    gateway.suspend(Duration::from_secs(60));
    assert_eq!(call(), 503);
    wait_until("the log line of the suspension", || gateway.has_noticed());
}

#[test]
fn a_request_waiting_for_an_endpoint_is_not_sent_if_its_deadline_passed_in_a_suspension() {
    let store = store_with_key();
    let gateway = Suspendable::start(settings(), &store);
    wait_until("readiness", || gateway.setup.is_ready());
    let address = gateway.setup.address();
    // The request waits for an endpoint to appear.
    let request = request_text("/a/1", &["x-key: k", "x-deadline: 30000"]);
    let caller = thread::spawn(move || send(address, &request));
    let accepted = || {
        gateway
            .setup
            .gateway
            .metrics()
            .get(telemetry::Counter::Accepted)
            > 0
    };
    wait_until("the request", accepted);
    gateway.suspend(Duration::from_secs(30));
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    store.put_endpoint(endpoint("e", fake.address));
    let answer = caller.join().unwrap();
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(fake.heads().is_empty());
}

#[test]
fn a_request_whose_deadline_passed_in_a_suspension_ends_soon_after_it() {
    let store = store_with_key();
    let silent = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    store.put_endpoint(endpoint("e", silent.address));
    let gateway = Suspendable::start(settings(), &store);
    wait_until("readiness", || gateway.setup.is_ready());
    let address = gateway.setup.address();
    let request = request_text("/a/1", &["x-key: k", "x-deadline: 9000"]);
    let caller = thread::spawn(move || send(address, &request));
    wait_until("the request", || silent.heads().len() == 1);
    let started = Instant::now();
    gateway.suspend(Duration::from_secs(9));
    assert_eq!(caller.join().unwrap().status, 504);
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "ended by the timer of the deadline"
    );
}

#[test]
fn a_lease_holder_suspended_for_longer_than_the_lease_gives_it_up() {
    let store = store_with_key();
    let long_lease = GatewaySettings {
        reports_usage: true,
        lease_ms: 60_000,
        ..settings()
    };
    let gateway = Suspendable::start(long_lease, &store);
    wait_until("the lease", || gateway.lines.count("lease gained") > 0);
    // The store cannot tell it that another gateway holds the lease by now.
    store.refuse(true);
    gateway.suspend(Duration::from_secs(60));
    wait_until("the lease to be given up", || {
        gateway.lines.count("lease lost") > 0
    });
}

#[test]
fn a_store_answer_in_flight_during_a_suspension_confirms_no_key() {
    let store = store_with_key();
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    store.put_endpoint(endpoint("e", fake.address));
    let gateway = start_with_key_expiry(&store);
    let call = || gateway.setup.call("/b/1", &["x-key: k"]).status;
    let mut changed = configuration(2, vec![route("/b/", Execution::Once)]);
    changed.tenants = vec![tenant("t", "k")];
    store.hold_answers(true);
    store.put_configuration(changed);
    // The held answer is the only one that can confirm the key from here on.
    wait_until("the answer to be made", || store.answers_held() > 0);
    store.refuse(true);
    gateway.suspend(Duration::from_secs(60));
    store.hold_answers(false);
    wait_until("the configuration", || {
        gateway.lines.count("configuration in force") > 1
    });
    assert_eq!(call(), 503);
    assert!(fake.heads().is_empty());
}
