//! Endpoints that say in an answer that they leave, or ask for a pause.
//!
//! Seen: while the store was silent, gateways went on sending to an endpoint for six seconds after they had passed on an
//! answer of it which said that it leaves; and an endpoint that had turned a request away and asked for 3 s of rest got
//! five more from the same gateway meanwhile, since it looked idle. The words stood in the answers and nobody read them.
//! What proved it: every such request was a new one, placed by the gateway itself within milliseconds, and the endpoint's
//! record could not have told of it.

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

/// Requests after the word; half of them would go to an endpoint that is as good as the other.
const REQUESTS: usize = 30;
/// Longer than any test runs.
const PAUSE: Duration = Duration::from_secs(600);
/// A connection that may be used again is kept for so long.
const RESTS_FOR: Duration = Duration::from_secs(8);

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
    setup
}

/// Calls until an endpoint has been asked once.
fn call_until_asked(setup: &Setup, fake: &FakeEndpoint) {
    wait_until("a request to reach it", || {
        setup.call("/a/1", &[]);
        !fake.heads().is_empty()
    });
}

fn call_all_served(setup: &Setup) {
    for _ in 0..REQUESTS {
        assert_eq!(setup.call("/a/1", &[]).status, 200);
    }
}

/// Three gateways that decide, and one that asks them.
fn four(store: &FakeStore) -> (Vec<Setup>, Setup) {
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
    wait_until("readiness", || asking.is_ready());
    (vec![first, second, third], asking)
}

#[test]
fn an_endpoint_that_says_it_leaves_gets_nothing_more_while_the_store_is_silent() {
    let (leaving, steady) = (leaving(), steady());
    let store = store(Execution::Once, both(&leaving, &steady));
    let setup = start(&store);
    store.stop_responding();
    call_until_asked(&setup, &leaving);
    call_all_served(&setup);
    assert_eq!(leaving.heads().len(), 1);
}

#[test]
fn an_endpoint_that_asked_for_a_pause_gets_nothing_until_its_end() {
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
    call_until_asked(&setup, &busy);
    call_all_served(&setup);
    assert_eq!(busy.heads().len(), 1);
    // Its end comes also for a gateway whose VM was suspended meanwhile.
    suspended_ms.fetch_add(PAUSE.as_millis() as u64, Ordering::Relaxed);
    wait_until("it to be asked again", || {
        setup.call("/a/1", &[]);
        busy.heads().len() == 2
    });
}

#[test]
fn a_gateway_that_asks_coordinators_keeps_to_what_endpoints_told_it() {
    let (leaving, busy, steady) = (leaving(), busy(), steady());
    let mut endpoints = both(&leaving, &steady);
    endpoints.push(endpoint("e3", busy.address));
    let (_coordinators, asking) = four(&store(Execution::Repeatable, endpoints));
    call_until_asked(&asking, &leaving);
    call_until_asked(&asking, &busy);
    call_all_served(&asking);
    assert_eq!((leaving.heads().len(), busy.heads().len()), (1, 1));
}

#[test]
fn a_record_that_still_says_ready_does_not_bring_a_leaving_endpoint_back() {
    let (leaving, steady) = (leaving(), steady());
    let store = store(Execution::Once, both(&leaving, &steady));
    let lines = LogLines::default();
    let setup = Setup::start_with_log(settings(), store.clone(), lines.logger());
    wait_until("readiness", || setup.is_ready());
    call_until_asked(&setup, &leaving);
    // Its newest heartbeat, written before it began to leave.
    let mut late = endpoint("e1", leaving.address);
    late.slots += 1;
    store.put_endpoint(late.clone());
    wait_until("the record", || lines.count("endpoint changed") > 2);
    call_all_served(&setup);
    // Its record lapses and is back.
    store.delete_endpoint("e1");
    wait_until("the drop", || lines.count("endpoint gone") > 0);
    store.put_endpoint(late);
    wait_until("the record", || lines.count("endpoint changed") > 3);
    call_all_served(&setup);
    assert_eq!(leaving.heads().len(), 1);
}

#[test]
fn an_endpoint_that_started_again_gets_requests_again() {
    let (leaving, steady) = (leaving(), steady());
    let born = |born_ms| Endpoint {
        born_ms: Some(born_ms),
        ..endpoint("e1", leaving.address)
    };
    let endpoints = vec![born(1), endpoint("e2", steady.address)];
    let store = store(Execution::Once, endpoints);
    let setup = start(&store);
    call_until_asked(&setup, &leaving);
    store.put_endpoint(born(2));
    wait_until("a request to reach its next start", || {
        setup.call("/a/1", &[]);
        leaving.heads().len() == 2
    });
}

#[test]
fn a_connection_that_rests_is_not_kept_to_an_endpoint_that_leaves() {
    let closed = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&closed);
    let leaving = FakeEndpoint::start(move |_, exchange| {
        exchange.answer_leaving();
        exchange.wait_closed();
        seen.store(true, Ordering::SeqCst);
    });
    let steady = steady();
    let setup = start(&store(Execution::Once, both(&leaving, &steady)));
    call_until_asked(&setup, &leaving);
    let asked = Instant::now();
    wait_until("the connection to close", || closed.load(Ordering::SeqCst));
    assert!(asked.elapsed() < RESTS_FOR / 2, "by its time");
}

#[test]
fn a_stream_of_an_endpoint_that_leaves_ends_whole_and_another_goes_on_elsewhere() {
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
    call_until_asked(&setup, &leaving);
    for _ in 0..REQUESTS {
        let answer = setup.call("/a/1", &[]);
        assert!(answer.is_complete, "{}", answer.body);
    }
    assert_eq!(leaving.heads().len(), 1);
    assert!(!breaking.heads().is_empty());
}

#[test]
fn a_request_whose_endpoints_all_paused_is_refused_at_once_with_the_time_until_one_wants_it() {
    let (first, second) = (busy(), busy());
    let mut patient = route("/a/", Execution::Repeatable);
    // An endpoint is waited for during a sixth of it.
    patient.target = Duration::from_secs(600);
    patient.timeout = Duration::from_secs(600);
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![patient]));
    for endpoint in both(&first, &second) {
        store.put_endpoint(endpoint);
    }
    let setup = start(&store);
    // Both are tried, and the time is told already.
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
fn a_pause_asked_of_one_gateway_does_not_bind_another() {
    let busy = busy();
    let endpoints = vec![endpoint("e1", busy.address)];
    let store = store(Execution::Once, endpoints);
    let (first, second) = (start(&store), start(&store.for_other_gateway()));
    assert_eq!(first.call("/a/1", &[]).status, 503);
    assert_eq!(second.call("/a/1", &[]).status, 503);
    assert_eq!(busy.heads().len(), 2);
}

#[test]
fn a_pause_asked_of_a_coordinator_does_not_bind_the_gateways_that_ask_it() {
    let busy = FakeEndpoint::start(|number, exchange| match number {
        0..3 => exchange.decline_with_pause(PAUSE),
        _ => exchange.answer(200, "x"),
    });
    let store = store(Execution::Once, vec![endpoint("e1", busy.address)]);
    let (coordinators, asking) = four(&store);
    for coordinator in &coordinators {
        assert_eq!(coordinator.call("/a/1", &[]).status, 503);
    }
    assert_eq!(asking.call("/a/1", &[]).status, 200);
}

#[test]
fn the_end_of_an_endpoint_that_said_it_leaves_says_nothing_of_what_it_ran() {
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
    wait_until("the stream's line", || lines.count("stream ended") > 0);
    assert_eq!(lines.count("endpoint cut an answer off"), 0);
}

#[test]
fn a_pause_of_one_endpoint_is_not_told_as_the_time_to_come_back_while_another_is_open() {
    let full = || FakeEndpoint::start(|_, exchange| exchange.decline());
    let wait = |gateway: &Setup| {
        let answer = gateway.call("/a/1", &[]);
        assert_eq!(answer.status, 503);
        let wait = answer.header("retry-after").unwrap().parse::<f64>();
        wait.unwrap()
    };
    let (busy, open) = (busy(), full());
    let store = store(Execution::Repeatable, both(&busy, &open));
    let (coordinators, asking) = four(&store);
    for gateway in [&coordinators[0], &asking] {
        for _ in 0..3 {
            let wait = wait(gateway);
            assert!(wait < 60.0, "{wait}");
        }
    }
    assert!(busy.heads().len() <= 2);
}
