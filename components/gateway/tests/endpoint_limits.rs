//! Endpoints that name a rate for all gateways together.
//!
//! Seen: an endpoint that had named 4 requests a second got 32 in 4 s, and one that had named 1 got 12, from gateways that it
//! had told; no gateway by itself sent more than the limit. The limit stood in the answers and nobody read it.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;

/// The users' rule counts requests in this time.
const WINDOW: Duration = Duration::from_secs(4);
/// Word that a gateway has passed on binds it after this time.
const BINDS_AFTER: Duration = Duration::from_millis(500);

/// Requests that the users' rule allows in a window.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// An endpoint that names a limit, and when requests reached it.
struct InNeed {
    fake: FakeEndpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    limit: Arc<Mutex<Option<String>>>,
}

impl InNeed {
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
        InNeed {
            fake,
            arrivals,
            limit,
        }
    }

    /// Names another limit, or none, from now on.
    fn name(&self, limit: Option<&str>) {
        *self.limit.lock().unwrap() = limit.map(str::to_string);
    }

    fn arrived_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at >= since).count()
    }

    fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    /// The most that arrived in a window, counted from then on.
    fn most_in_window(&self, since: Instant) -> usize {
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

/// Gateways of one hall: the first three decide, any others ask them.
fn fleet(store: &FakeStore, count: usize) -> Vec<Setup> {
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

/// Each gateway is called without a pause for a time. Returns how often each status came.
fn press(gateways: &[Setup], time: Duration) -> Vec<u16> {
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

/// Calls each gateway until the endpoint has told it its limit.
fn tell(gateways: &[Setup], in_need: &InNeed) {
    for gateway in gateways {
        let told = in_need.count();
        wait_until("the limit to be told", || {
            gateway.call("/a/1", &[]);
            in_need.count() > told
        });
    }
}

// Guards against gateways that each keep to an endpoint's limit, or to none, while their sum is past it.
#[test]
fn gateways_together_send_an_endpoint_no_more_than_the_limit_it_names() {
    for (count, per_s) in [(3, 4.0), (5, 1.0)] {
        let in_need = InNeed::start(&per_s.to_string());
        let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
        let store = store(&[("e1", &in_need.fake), ("e2", &steady)]);
        let gateways = fleet(&store, count);
        let since = Instant::now() + BINDS_AFTER;
        let statuses = press(&gateways, BINDS_AFTER + WINDOW);
        assert!(
            statuses.iter().all(|status| *status == 200),
            "the other one serves"
        );
        let most = in_need.most_in_window(since);
        assert!(
            most <= allowed(per_s),
            "{most} at {per_s} a second, {count} gateways"
        );
    }
}

// Guards against a limit that is kept by sending nothing.
#[test]
fn an_endpoint_without_another_beside_it_gets_what_its_limit_allows_and_the_rest_is_refused_at_once(
) {
    let per_s = 4.0;
    let in_need = InNeed::start(&per_s.to_string());
    let store = store(&[("e1", &in_need.fake)]);
    let gateways = fleet(&store, 3);
    tell(&gateways, &in_need);
    let since = Instant::now() + BINDS_AFTER;
    let statuses = press(&gateways, BINDS_AFTER + WINDOW);
    let most = in_need.most_in_window(since);
    let least = (0.9 * per_s * WINDOW.as_secs_f64()) as usize;
    assert!(most <= allowed(per_s), "{most}");
    assert!(in_need.arrived_since(since) >= least, "{most}");
    let answer = gateways[0].call("/a/1", &[]);
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)));
    assert!(answer.status == 200 || answer.header("retry-after").is_some());
}

// Guards against a limit that outlives the answers that name it, 0 included: nobody would hear that it ended.
#[test]
fn an_endpoint_that_names_no_limit_any_more_gets_requests_as_before() {
    for limit in ["0", "-1", "nan"] {
        let in_need = InNeed::start(limit);
        let store = store(&[("e1", &in_need.fake)]);
        let gateways = fleet(&store, 3);
        tell(&gateways[..1], &in_need);
        in_need.name(None);
        for gateway in &gateways {
            wait_until("it to be sent requests without a pause", || {
                (0..30).all(|_| gateway.call("/a/1", &[]).status == 200)
            });
        }
    }
}
