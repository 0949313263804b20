//! Endpoints that fail if they have to turn too many requests away in a second.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, request_text, route, send, settings, wait_until, Exchange,
    FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use schema::messages::GatewayRow;
use schema::settings::GatewaySettings;
use telemetry::Gauge;

const SLOTS: u32 = 4;
const GATEWAYS: usize = 3;
const CALLERS: usize = 24;
/// Requests that an endpoint may turn away in a second.
const MAX_REFUSALS: usize = 5;
/// Time that the fake endpoint works on a request.
const WORK_TIME: Duration = Duration::from_millis(40);
/// Time from the first answer until the bound applies.
const IN_FORCE_AFTER: Duration = Duration::from_secs(1);
const LOAD_TIME: Duration = Duration::from_secs(4);

fn refuse(exchange: &mut Exchange, max_refusals: usize) {
    let id = exchange.header("x-id").unwrap_or_default();
    exchange.write(&format!(
        "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\nx-fragile: {max_refusals}\r\ncontent-length: 0\r\n\r\n"
    ));
}

/// A fake endpoint that lets no request wait. Returns it with the times of its refusals.
fn endpoint_without_queue() -> (FakeEndpoint, Arc<Mutex<Vec<Instant>>>) {
    let refusals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (seen, running) = (Arc::clone(&refusals), AtomicUsize::new(0));
    let fake = FakeEndpoint::start(move |_, exchange| {
        let before = running.fetch_add(1, Ordering::SeqCst);
        if before >= SLOTS as usize {
            running.fetch_sub(1, Ordering::SeqCst);
            seen.lock().unwrap().push(Instant::now());
            return refuse(exchange, MAX_REFUSALS);
        }
        thread::sleep(WORK_TIME);
        let now = running.fetch_sub(1, Ordering::SeqCst) - 1;
        let id = exchange.header("x-id").unwrap_or_default();
        exchange.write(&format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-signature: s\r\nx-load: {now}\r\nx-fragile: {MAX_REFUSALS}\r\ncontent-length: 1\r\n\r\nx"
        ));
    });
    (fake, refusals)
}

fn small(id: &str, fake: &FakeEndpoint) -> Endpoint {
    Endpoint {
        slots: SLOTS,
        ..endpoint(id, fake.address)
    }
}

fn store() -> FakeStore {
    let store = FakeStore::default();
    let mut route = route("/a/", Execution::Once);
    route.target = Duration::from_millis(300);
    store.put_configuration(configuration(1, vec![route]));
    store
}

// Guards against requests that are sent to a fragile endpoint although it has just turned one away.
#[test]
fn a_fragile_endpoint_that_turned_a_request_away_gets_no_other_for_a_while() {
    let fake = FakeEndpoint::start(|_, exchange| refuse(exchange, 1));
    let store = store();
    store.put_endpoint(small("e", &fake));
    // With 30 other gateways, which may cause a refusal too, the time is half a minute.
    for number in 0..30 {
        let silent = GatewayRow {
            // Nothing listens on these ports.
            address: format!("127.0.0.1:{}", 10 + number),
            incarnation: 1,
            hall: None,
            cores_milli: None,
            decisions_port: None,
        };
        store.put_gateway(&format!("silent-{number}"), &silent);
    }
    let setup = Setup::start(settings(), store);
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    for _ in 0..10 {
        let answer = setup.call("/a/1", &[]);
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
    assert_eq!(fake.heads().len(), 1);
}

// Guards against an overload in which a fragile endpoint has to turn away more than it withstands, from several gateways
// together.
#[test]
fn several_gateways_under_overload_stay_within_the_refusals_that_an_endpoint_withstands() {
    let (fake, refusals) = endpoint_without_queue();
    let store = store();
    store.put_endpoint(small("e", &fake));
    let mut gateways: Vec<Setup> = Vec::new();
    for number in 0..GATEWAYS {
        let first = gateways.first();
        let seeds = first.map(|setup| setup.gateway.peer_address().to_string());
        let settings = GatewaySettings {
            name: format!("g{number}"),
            seeds: seeds.into_iter().collect(),
            ..settings()
        };
        let setup = Setup::start(settings, store.for_other_gateway());
        wait_until("readiness", || setup.is_ready());
        gateways.push(setup);
    }
    wait_until("the gateways to know each other", || {
        let alive = |setup: &Setup| setup.gateway.metrics().gauge(Gauge::AlivePeers) as usize;
        gateways.iter().all(|setup| alive(setup) == GATEWAYS - 1)
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let address = gateways[caller % GATEWAYS].address();
            let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("x-id: {caller}-{number}");
                    let answer = send(address, &request_text("/a/1", &[&id]));
                    served.fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
                    number += 1;
                }
            })
        })
        .collect();
    let started = Instant::now();
    wait_until("the load to end", || started.elapsed() >= LOAD_TIME);
    is_over.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    let refusals = refusals.lock().unwrap();
    let bound: Vec<Instant> = refusals
        .iter()
        .copied()
        .filter(|at| *at >= started + IN_FORCE_AFTER)
        .collect();
    let within = |from: &Instant| {
        let window = *from..*from + Duration::from_secs(1);
        bound.iter().filter(|at| window.contains(*at)).count()
    };
    let worst = bound.iter().map(within).max().unwrap_or(0);
    assert!(
        worst <= MAX_REFUSALS,
        "{worst} refusals in a second, {} in all",
        refusals.len()
    );
    assert!(served.load(Ordering::Relaxed) > 0);
}
