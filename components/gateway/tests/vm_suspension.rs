//! A VM that was suspended: its steady clock stood, the time of everybody else went on.
//!
//! Found by reading: whatever bounds a promise was read from the steady clock, so a gateway that woke believed its word on
//! keys, its lease and its callers' deadlines younger than they were.

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

/// A gateway whose VM can be suspended.
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

    /// Its steady clock stands for so long; nothing runs meanwhile.
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

/// A ready gateway that accepts keys on word of the last minute only.
fn start_fail_closed(store: &FakeStore) -> Suspendable {
    let fail_closed = GatewaySettings {
        credential_age_ms: 60_000,
        ..settings()
    };
    let gateway = Suspendable::start(fail_closed, store);
    wait_until("readiness", || gateway.setup.is_ready());
    gateway
}

#[test]
fn a_key_is_not_accepted_on_word_from_before_a_suspension() {
    let store = store_with_key();
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    store.put_endpoint(endpoint("e", fake.address));
    let gateway = start_fail_closed(&store);
    store.stop_responding();
    store.refuse(true);
    let call = || gateway.setup.call("/a/1", &["x-key: k"]).status;
    assert_eq!(call(), 200);
    gateway.suspend(Duration::from_secs(60));
    assert_eq!(call(), 503);
    wait_until("it to notice", || gateway.has_noticed());
}

#[test]
fn a_request_between_decision_and_send_is_not_sent_after_its_time() {
    let store = store_with_key();
    let gateway = Suspendable::start(settings(), &store);
    wait_until("readiness", || gateway.setup.is_ready());
    let address = gateway.setup.address();
    // It waits for an endpoint to appear.
    let request = request_text("/a/1", &["x-key: k", "x-deadline: 30000"]);
    let asked = thread::spawn(move || send(address, &request));
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
    let answer = asked.join().unwrap();
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(fake.heads().is_empty());
}

#[test]
fn a_wait_whose_time_passed_in_a_suspension_ends_soon_after_it() {
    let store = store_with_key();
    let silent = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    store.put_endpoint(endpoint("e", silent.address));
    let gateway = Suspendable::start(settings(), &store);
    wait_until("readiness", || gateway.setup.is_ready());
    let address = gateway.setup.address();
    let request = request_text("/a/1", &["x-key: k", "x-deadline: 9000"]);
    let asked = thread::spawn(move || send(address, &request));
    wait_until("the request", || silent.heads().len() == 1);
    let started = Instant::now();
    gateway.suspend(Duration::from_secs(9));
    assert_eq!(asked.join().unwrap().status, 504);
    assert!(started.elapsed() < Duration::from_secs(5), "by its timer");
}

#[test]
fn a_holder_of_the_lease_that_was_suspended_for_longer_than_it_gives_it_up() {
    let store = store_with_key();
    let long_lease = GatewaySettings {
        reports_usage: true,
        lease_ms: 60_000,
        ..settings()
    };
    let gateway = Suspendable::start(long_lease, &store);
    wait_until("the lease", || gateway.lines.count("lease gained") > 0);
    // Nothing tells it that another holds the lease by now.
    store.refuse(true);
    gateway.suspend(Duration::from_secs(60));
    wait_until("it to give it up", || gateway.lines.count("lease lost") > 0);
}

#[test]
fn an_answer_of_the_store_that_lay_on_the_way_through_a_suspension_confirms_no_key() {
    let store = store_with_key();
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    store.put_endpoint(endpoint("e", fake.address));
    let gateway = start_fail_closed(&store);
    let call = || gateway.setup.call("/b/1", &["x-key: k"]).status;
    let mut changed = configuration(2, vec![route("/b/", Execution::Once)]);
    changed.tenants = vec![tenant("t", "k")];
    store.hold_answers(true);
    store.put_configuration(changed);
    // The store has answered; nothing else does from now on.
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
