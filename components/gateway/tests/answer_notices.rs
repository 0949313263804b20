//! Answers in which an endpoint says that it is leaving or asks for a pause.
//!
//! Guards against ignored answers: while the store did not respond, gateways sent requests to an endpoint for six seconds
//! after they had passed on an answer that said that it was leaving. An endpoint that had declined a request and asked for
//! a pause of 3 s got five more from the same gateway in that time, since it looked idle. The gateways did not read these
//! parts of the answers. Each of the requests was new and placed by the gateway itself within milliseconds, so the record
//! of the endpoint could not have told the gateway.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, LogLines, Setup,
};
use directory::{Endpoint, Execution};
use gateway::Clock;
use schema::settings::GatewaySettings;

/// Requests sent after the answer. Half of them go to each of two endpoints that are equally good.
const REQUESTS: usize = 30;
/// Longer than any test runs.
const PAUSE: Duration = Duration::from_secs(600);
/// Time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(8);

fn steady() -> FakeEndpoint {
    FakeEndpoint::start(|_, exchange| exchange.answer(200, "steady"))
}

fn leaving() -> FakeEndpoint {
    FakeEndpoint::start(|_, exchange| exchange.answer_leaving())
}

fn busy() -> FakeEndpoint {
    FakeEndpoint::start(|_, exchange| exchange.decline_with_pause(PAUSE))
}

fn store(execution: Execution, endpoints: Vec<Endpoint>) -> FakeStore {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", execution)]));
    for endpoint in endpoints {
        store.put_endpoint(endpoint);
    }
    store
}

fn both(first: &FakeEndpoint, second: &FakeEndpoint) -> Vec<Endpoint> {
    vec![
        endpoint("e1", first.address),
        endpoint("e2", second.address),
    ]
}

fn start(store: &FakeStore) -> Setup {
    let setup = Setup::start(settings(), store.clone());
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    setup
}

/// Sends requests until one reaches the endpoint.
fn call_until_reached(setup: &Setup, fake: &FakeEndpoint) {
    wait_until("a request to reach the endpoint", || {
        setup.call("/a/1", &[]);
        !fake.heads().is_empty()
    });
}

fn assert_all_served(setup: &Setup) {
    for _ in 0..REQUESTS {
        assert_eq!(setup.call("/a/1", &[]).status, 200);
    }
}

/// Starts three coordinators and one gateway that asks them.
fn start_four(store: &FakeStore) -> (Vec<Setup>, Setup) {
    let named = |name: &str, cores_milli, seeds| GatewaySettings {
        name: name.into(),
        cores_milli,
        seeds,
        ..settings()
    };
    let first = Setup::start(named("g1", 500, Vec::new()), store.clone());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", 500, seeds.clone()), store.for_other_gateway());
    let third = Setup::start(named("g3", 500, seeds.clone()), store.for_other_gateway());
    let asking = Setup::start(named("g4", 120, seeds), store.for_other_gateway());
    let coordinators = vec![first, second, third];
    for gateway in coordinators.iter().chain([&asking]) {
        // One that is not ready refuses requests itself.
        wait_until("readiness", || gateway.is_ready());
    }
    (coordinators, asking)
}

#[test]
fn a_leaving_endpoint_gets_no_more_requests_while_the_store_does_not_respond() {
    let (leaving, steady) = (leaving(), steady());
    let store = store(Execution::Once, both(&leaving, &steady));
    let setup = start(&store);
    store.stop_responding();
    call_until_reached(&setup, &leaving);
    assert_all_served(&setup);
    assert_eq!(leaving.heads().len(), 1);
}

#[test]
fn an_endpoint_that_asked_for_a_pause_gets_no_requests_until_the_pause_ends() {
    let (busy, steady) = (busy(), steady());
    let store = store(Execution::Repeatable, both(&busy, &steady));
    let suspended_ms: &'static AtomicU64 = Box::leak(Box::default());
    let setup = Setup::start_with_clock(
        settings(),
        store,
        telemetry::discard(),
        Clock::start_suspendable(suspended_ms),
    );
    wait_until("readiness", || setup.is_ready());
    call_until_reached(&setup, &busy);
    assert_all_served(&setup);
    assert_eq!(busy.heads().len(), 1);
    // The pause also ends for a gateway whose VM is suspended during it.
    suspended_ms.fetch_add(PAUSE.as_millis() as u64, Ordering::Relaxed);
    wait_until("a request to reach the endpoint again", || {
        setup.call("/a/1", &[]);
        busy.heads().len() == 2
    });
}

#[test]
fn a_gateway_that_asks_coordinators_avoids_leaving_and_paused_endpoints() {
    let (leaving, busy, steady) = (leaving(), busy(), steady());
    let mut endpoints = both(&leaving, &steady);
    endpoints.push(endpoint("e3", busy.address));
    let (_coordinators, asking) = start_four(&store(Execution::Repeatable, endpoints));
    call_until_reached(&asking, &leaving);
    call_until_reached(&asking, &busy);
    assert_all_served(&asking);
    assert_eq!((leaving.heads().len(), busy.heads().len()), (1, 1));
}

#[test]
fn a_record_with_the_state_ready_does_not_return_a_leaving_endpoint_to_use() {
    let (leaving, steady) = (leaving(), steady());
    let store = store(Execution::Once, both(&leaving, &steady));
    let lines = LogLines::default();
    let setup = Setup::start_with_log(settings(), store.clone(), lines.logger());
    wait_until("readiness", || setup.is_ready());
    call_until_reached(&setup, &leaving);
    // A late heartbeat that the endpoint wrote before it began to leave.
    let mut late_record = endpoint("e1", leaving.address);
    late_record.slots += 1;
    store.put_endpoint(late_record.clone());
    wait_until("the log line of the record", || {
        lines.count("endpoint changed") > 2
    });
    assert_all_served(&setup);
    // The record expires and is written again.
    store.delete_endpoint("e1");
    wait_until("the log line of the expiry", || {
        lines.count("endpoint gone") > 0
    });
    store.put_endpoint(late_record);
    wait_until("the log line of the record", || {
        lines.count("endpoint changed") > 3
    });
    assert_all_served(&setup);
    assert_eq!(leaving.heads().len(), 1);
}

#[test]
fn a_leaving_endpoint_gets_requests_again_after_a_restart() {
    let (leaving, steady) = (leaving(), steady());
    let started_at = |born_ms| Endpoint {
        born_ms: Some(born_ms),
        ..endpoint("e1", leaving.address)
    };
    let endpoints = vec![started_at(1), endpoint("e2", steady.address)];
    let store = store(Execution::Once, endpoints);
    let setup = start(&store);
    call_until_reached(&setup, &leaving);
    store.put_endpoint(started_at(2));
    wait_until("a request to reach the restarted endpoint", || {
        setup.call("/a/1", &[]);
        leaving.heads().len() == 2
    });
}

#[test]
fn an_idle_connection_to_a_leaving_endpoint_is_closed_early() {
    let closed = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&closed);
    let leaving = FakeEndpoint::start(move |_, exchange| {
        exchange.answer_leaving();
        exchange.wait_closed();
        seen.store(true, Ordering::SeqCst);
    });
    let steady = steady();
    let setup = start(&store(Execution::Once, both(&leaving, &steady)));
    call_until_reached(&setup, &leaving);
    let reached = Instant::now();
    wait_until("the connection to close", || closed.load(Ordering::SeqCst));
    assert!(
        reached.elapsed() < IDLE_TIME / 2,
        "closed by the idle timeout"
    );
}

#[test]
fn a_stream_of_a_leaving_endpoint_completes_and_a_broken_one_does_not_resume_there() {
    let resumable = Execution::Stream { resumable: true };
    let leaving = FakeEndpoint::start(|_, exchange| {
        exchange.begin_leaving_stream();
        exchange.event(1);
        exchange.event(2);
        exchange.end_stream();
    });
    let breaking = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.close();
    });
    let steady = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(2);
        exchange.end_stream();
    });
    let mut endpoints = both(&leaving, &steady);
    endpoints.push(endpoint("e3", breaking.address));
    let setup = start(&store(resumable, endpoints));
    call_until_reached(&setup, &leaving);
    for _ in 0..REQUESTS {
        let answer = setup.call("/a/1", &[]);
        assert!(answer.is_complete, "{}", answer.body);
    }
    assert_eq!(leaving.heads().len(), 1);
    assert!(!breaking.heads().is_empty());
}

#[test]
fn a_request_whose_endpoints_are_all_paused_is_refused_without_a_wait_with_the_time_until_a_pause_ends(
) {
    let (first, second) = (busy(), busy());
    let mut long_route = route("/a/", Execution::Repeatable);
    // A request waits for an endpoint for a sixth of the target.
    long_route.target = Duration::from_secs(600);
    long_route.timeout = Duration::from_secs(600);
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![long_route]));
    for endpoint in both(&first, &second) {
        store.put_endpoint(endpoint);
    }
    let setup = start(&store);
    // The first request tries both endpoints and already gets the time.
    let answers = [setup.call("/a/1", &[]), setup.call("/a/1", &[])];
    for answer in answers {
        assert_eq!(answer.status, 503);
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        let pause = PAUSE.as_secs_f64();
        assert!((pause - 60.0..=pause * 1.25).contains(&wait), "{wait}");
    }
    assert_eq!((first.heads().len(), second.heads().len()), (1, 1));
}

#[test]
fn a_pause_requested_from_one_gateway_does_not_apply_to_another() {
    let busy = busy();
    let endpoints = vec![endpoint("e1", busy.address)];
    let store = store(Execution::Once, endpoints);
    let (first, second) = (start(&store), start(&store.for_other_gateway()));
    assert_eq!(first.call("/a/1", &[]).status, 503);
    assert_eq!(second.call("/a/1", &[]).status, 503);
    assert_eq!(busy.heads().len(), 2);
}

#[test]
fn a_pause_requested_from_coordinators_does_not_apply_to_a_gateway_that_asks_them() {
    let busy = FakeEndpoint::start(|number, exchange| match number {
        0..3 => exchange.decline_with_pause(PAUSE),
        _ => exchange.answer(200, "x"),
    });
    let store = store(Execution::Once, vec![endpoint("e1", busy.address)]);
    let (coordinators, asking) = start_four(&store);
    for coordinator in &coordinators {
        assert_eq!(coordinator.call("/a/1", &[]).status, 503);
    }
    assert_eq!(busy.heads().len(), coordinators.len());
    assert_eq!(asking.call("/a/1", &[]).status, 200);
}

// The end of a leaving endpoint is no evidence against the requests that it ran.
#[test]
fn an_answer_cut_off_by_a_leaving_endpoint_is_not_logged_as_cut_off() {
    let leaving = FakeEndpoint::start(|_, exchange| {
        exchange.begin_leaving_stream();
        exchange.event(1);
        exchange.close();
    });
    let stream = Execution::Stream { resumable: false };
    let lines = LogLines::default();
    let store = store(stream, vec![endpoint("e1", leaving.address)]);
    let setup = Setup::start_with_log(settings(), store, lines.logger());
    wait_until("readiness", || setup.is_ready());
    assert!(!setup.call("/a/1", &[]).is_complete);
    wait_until("the log line of the stream", || {
        lines.count("stream ended") > 0
    });
    assert_eq!(lines.count("endpoint cut an answer off"), 0);
}

#[test]
fn retry_after_ignores_the_pause_of_one_endpoint_while_another_is_not_paused() {
    let declining = || FakeEndpoint::start(|_, exchange| exchange.decline());
    let retry_after = |gateway: &Setup| {
        let answer = gateway.call("/a/1", &[]);
        assert_eq!(answer.status, 503);
        let wait = answer.header("retry-after").unwrap().parse::<f64>();
        wait.unwrap()
    };
    let (busy, not_paused) = (busy(), declining());
    let store = store(Execution::Repeatable, both(&busy, &not_paused));
    let (coordinators, asking) = start_four(&store);
    for gateway in [&coordinators[0], &asking] {
        for _ in 0..3 {
            let wait = retry_after(gateway);
            assert!(wait < 60.0, "{wait}");
        }
    }
    assert!(busy.heads().len() <= 2);
}
