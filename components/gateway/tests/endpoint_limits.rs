//! Rate limits that endpoints name in their answers, for all gateways together.
//!
//! Guards against limits that are ignored: an endpoint that had named 4 requests a second got 32 in 4 s, and one that had
//! named 1 got 12, from gateways that had received the limit. No single gateway sent more than the limit. The limit was in
//! the answers, and the gateways did not read it.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;

/// Time over which the users' rule counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a limit has to be kept by a gateway that has passed on the answer with it.
const IN_FORCE_AFTER: Duration = Duration::from_millis(500);

/// Largest number of requests in a window under the users' rule.
fn max_allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// A fake endpoint that names a limit and records the times at which requests arrive.
struct LimitedEndpoint {
    fake: FakeEndpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    limit: Arc<Mutex<Option<String>>>,
}

impl LimitedEndpoint {
    fn start(limit: &str) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let limit = Arc::new(Mutex::new(Some(limit.to_string())));
        let (seen, named) = (Arc::clone(&arrivals), Arc::clone(&limit));
        let fake = FakeEndpoint::start(move |_, exchange| {
            seen.lock().unwrap().push(Instant::now());
            let named = named.lock().unwrap().clone();
            match named {
                Some(limit) => exchange.answer_with_limit(&limit),
                None => exchange.answer(200, "x"),
            }
        });
        LimitedEndpoint {
            fake,
            arrivals,
            limit,
        }
    }

    /// Changes the limit that the answers name; `None` for no limit.
    fn set_limit(&self, limit: Option<&str>) {
        *self.limit.lock().unwrap() = limit.map(str::to_string);
    }

    fn arrived_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at >= since).count()
    }

    fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    /// Largest number of requests in a window that begins at `since` or later.
    fn max_in_window(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= since).collect();
        let in_window = |from: &Instant| {
            let until = *from + WINDOW;
            counted
                .iter()
                .filter(|at| *at >= from && **at < until)
                .count()
        };
        counted.iter().map(in_window).max().unwrap_or_default()
    }
}

fn store(endpoints: &[(&str, &FakeEndpoint)]) -> FakeStore {
    let store = FakeStore::default();
    let mut route = route("/a/", Execution::Once);
    route.target = Duration::from_millis(600);
    store.put_configuration(configuration(1, vec![route]));
    for (id, fake) in endpoints {
        store.put_endpoint(endpoint(id, fake.address));
    }
    store
}

fn named(name: &str, cores_milli: i32, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        name: name.into(),
        cores_milli,
        seeds,
        ..settings()
    }
}

/// Starts gateways of one hall: the first three are coordinators, the others ask them.
fn start_fleet(store: &FakeStore, count: usize) -> Vec<Setup> {
    let first = Setup::start(named("g1", 500, Vec::new()), store.clone());
    let seeds = vec![first.gateway.peer_address().to_string()];
    let mut gateways = vec![first];
    for number in 2..=count {
        let cores_milli = if number <= 3 { 500 } else { 120 };
        let settings = named(&format!("g{number}"), cores_milli, seeds.clone());
        gateways.push(Setup::start(settings, store.for_other_gateway()));
    }
    for gateway in &gateways {
        wait_until("readiness", || gateway.is_ready());
    }
    gateways
}

/// Calls all gateways in parallel without pauses for a time. Returns the statuses of all answers.
fn load_all(gateways: &[Setup], time: Duration) -> Vec<u16> {
    let statuses: Mutex<Vec<u16>> = Mutex::default();
    thread::scope(|scope| {
        for gateway in gateways {
            let statuses = &statuses;
            scope.spawn(move || {
                let started = Instant::now();
                while started.elapsed() < time {
                    let status = gateway.call("/a/1", &[]).status;
                    statuses.lock().unwrap().push(status);
                }
            });
        }
    });
    statuses.into_inner().unwrap()
}

/// Calls each gateway until an answer of the endpoint has told it the limit.
fn announce_limit(gateways: &[Setup], limited: &LimitedEndpoint) {
    for gateway in gateways {
        let count_before = limited.count();
        wait_until("the endpoint to name its limit", || {
            gateway.call("/a/1", &[]);
            limited.count() > count_before
        });
    }
}

// Guards against gateways whose requests together exceed the limit of an endpoint, whether or not each one keeps it.
#[test]
fn requests_of_all_gateways_to_a_limited_endpoint_stay_within_the_users_rule() {
    for (count, per_s) in [(3, 4.0), (5, 1.0)] {
        let limited = LimitedEndpoint::start(&per_s.to_string());
        let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
        let store = store(&[("e1", &limited.fake), ("e2", &steady)]);
        let gateways = start_fleet(&store, count);
        let since = Instant::now() + IN_FORCE_AFTER;
        let statuses = load_all(&gateways, IN_FORCE_AFTER + WINDOW);
        assert!(
            statuses.iter().all(|status| *status == 200),
            "a request was not served by the other endpoint"
        );
        let max = limited.max_in_window(since);
        assert!(
            max <= max_allowed(per_s),
            "{max} at {per_s} a second, {count} gateways"
        );
    }
}

// Guards against a limit that is kept by sending far fewer requests than it allows.
#[test]
fn a_sole_endpoint_gets_nearly_what_its_limit_allows_and_other_requests_are_refused() {
    let per_s = 4.0;
    let limited = LimitedEndpoint::start(&per_s.to_string());
    let store = store(&[("e1", &limited.fake)]);
    let gateways = start_fleet(&store, 3);
    announce_limit(&gateways, &limited);
    let since = Instant::now() + IN_FORCE_AFTER;
    let statuses = load_all(&gateways, IN_FORCE_AFTER + WINDOW);
    let max = limited.max_in_window(since);
    let min = (0.9 * per_s * WINDOW.as_secs_f64()) as usize;
    assert!(max <= max_allowed(per_s), "{max}");
    assert!(limited.arrived_since(since) >= min, "{max}");
    let answer = gateways[0].call("/a/1", &[]);
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)));
    assert!(answer.status == 200 || answer.header("retry-after").is_some());
}

// Guards against a limit that stays in force after the endpoint names none. With a limit of 0 no answer could end it.
#[test]
fn an_endpoint_that_no_longer_names_a_limit_gets_requests_without_limit() {
    for limit in ["0", "-1", "nan"] {
        let limited = LimitedEndpoint::start(limit);
        let store = store(&[("e1", &limited.fake)]);
        let gateways = start_fleet(&store, 3);
        announce_limit(&gateways[..1], &limited);
        limited.set_limit(None);
        for gateway in &gateways {
            wait_until("30 requests in a row to be served", || {
                (0..30).all(|_| gateway.call("/a/1", &[]).status == 200)
            });
        }
    }
}
