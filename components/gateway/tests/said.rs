//! Endpoints that say in an answer that they leave, or ask for a pause.
//!
//! Seen: while the store was silent, gateways went on sending to an endpoint for six seconds after they had passed on an
//! answer of it which said that it leaves; and an endpoint that had turned a request away and asked for 3 s of rest got
//! five more from the same gateway meanwhile, since it looked idle. The words stood in the answers and nobody read them.
//! What proved it: every such request was a new one, placed by the gateway itself within milliseconds, and the endpoint's
//! record could not have told of it.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::{
    configuration, endpoint, route, settings, wait_until, EndpointStandin, Setup, StoreStandin,
};
use directory::{Endpoint, Execution};
use gateway::Clock;
use schema::settings::GatewaySettings;

/// Requests after the word; half of them would go to an endpoint that is as good as the other.
const REQUESTS: usize = 30;
/// Longer than any test runs.
const PAUSE: Duration = Duration::from_secs(600);

fn steady() -> EndpointStandin {
    EndpointStandin::start(|_, exchange| exchange.answer(200, "steady"))
}

fn leaving() -> EndpointStandin {
    EndpointStandin::start(|_, exchange| exchange.answer_leaving())
}

fn busy() -> EndpointStandin {
    EndpointStandin::start(|_, exchange| exchange.decline_for(PAUSE))
}

fn store(execution: Execution, endpoints: Vec<Endpoint>) -> StoreStandin {
    let store = StoreStandin::default();
    store.put_configuration(configuration(1, vec![route("/a/", execution)]));
    for endpoint in endpoints {
        store.put_endpoint(endpoint);
    }
    store
}

fn both(first: &EndpointStandin, second: &EndpointStandin) -> Vec<Endpoint> {
    vec![
        endpoint("e1", first.address),
        endpoint("e2", second.address),
    ]
}

fn start(store: &StoreStandin) -> Setup {
    let setup = Setup::start(settings(), store.clone());
    wait_until("readiness", || setup.is_ready());
    setup
}

/// Calls until an endpoint has been asked once.
fn call_until_asked(setup: &Setup, standin: &EndpointStandin) {
    wait_until("a request to reach it", || {
        setup.call("/a/1", &[]);
        !standin.heads().is_empty()
    });
}

fn call_all_served(setup: &Setup) {
    for _ in 0..REQUESTS {
        assert_eq!(setup.call("/a/1", &[]).status, 200);
    }
}

/// Three gateways that decide, and one that asks them.
fn four(store: &StoreStandin) -> (Vec<Setup>, Setup) {
    let named = |name: &str, cores_milli, seeds| GatewaySettings {
        name: name.into(),
        cores_milli,
        seeds,
        ..settings()
    };
    let first = Setup::start(named("g1", 500, Vec::new()), store.clone());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let second = Setup::start(named("g2", 500, seeds.clone()), store.for_another());
    let third = Setup::start(named("g3", 500, seeds.clone()), store.for_another());
    let asking = Setup::start(named("g4", 120, seeds), store.for_another());
    wait_until("readiness", || asking.is_ready());
    (vec![first, second, third], asking)
}

#[test]
fn an_endpoint_that_says_it_leaves_gets_nothing_more_while_the_store_is_silent() {
    let (leaving, steady) = (leaving(), steady());
    let store = store(Execution::Once, both(&leaving, &steady));
    let setup = start(&store);
    store.say_nothing();
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
