//! Properties of several gateways whose paths to the endpoints come and go, under requests from several callers.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use common::paths::{EndpointPaths, PathState};
use common::{
    configuration, endpoint, request_text, route, send, settings, wait_until, FakeEndpoint,
    FakeStore, Setup,
};
use directory::Execution;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::settings::GatewaySettings;
use telemetry::Gauge;

/// Three of them are coordinators, which the others ask.
const GATEWAYS: usize = 5;
const ENDPOINTS: usize = 4;
const CALLERS: usize = 6;
/// Changes of paths in one run; the next one is made after this many more answers.
const CHANGES: usize = 40;
const ANSWERS_BETWEEN_CHANGES: usize = 5;
/// Seeds of a run in CI; `PATH_SEEDS=FIRST..END` runs others.
const SEEDS: std::ops::Range<u64> = 7200..7203;

/// Requests sent by callers, with the statuses of their answers.
type Statuses = BTreeMap<String, u16>;

struct Fleet {
    gateways: Vec<(Setup, EndpointPaths)>,
    endpoints: Vec<FakeEndpoint>,
}

impl Fleet {
    fn start() -> Self {
        let answer = |_: usize, exchange: &mut common::Exchange| exchange.answer(200, "x");
        let endpoints: Vec<FakeEndpoint> = (0..ENDPOINTS)
            .map(|_| FakeEndpoint::start(answer))
            .collect();
        let store = FakeStore::default();
        let routes = vec![
            route("/a/", Execution::Repeatable),
            route("/once/", Execution::Once),
        ];
        store.put_configuration(configuration(1, routes));
        for (i, fake) in endpoints.iter().enumerate() {
            store.put_endpoint(endpoint(&format!("e{i}"), fake.address));
        }
        let mut gateways: Vec<(Setup, EndpointPaths)> = Vec::new();
        for number in 0..GATEWAYS {
            let first = gateways.first();
            let seeds = first.map(|(setup, _)| setup.gateway.peer_address().to_string());
            let settings = GatewaySettings {
                name: format!("g{number}"),
                seeds: seeds.into_iter().collect(),
                ..settings()
            };
            let (paths, store) = (EndpointPaths::default(), store.for_other_gateway());
            let log = telemetry::discard();
            let setup = Setup::start_with_dialer(settings, store, log, paths.dialer());
            wait_until("readiness", || setup.is_ready());
            gateways.push((setup, paths));
        }
        let fleet = Fleet {
            gateways,
            endpoints,
        };
        wait_until("the gateways to know each other", || {
            let alive = |(setup, _): &(Setup, EndpointPaths)| {
                setup.gateway.metrics().gauge(Gauge::AlivePeers) as usize
            };
            fleet
                .gateways
                .iter()
                .all(|gateway| alive(gateway) == GATEWAYS - 1)
        });
        fleet
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways.iter();
        gateways.map(|(setup, _)| setup.address()).collect()
    }

    fn set_paths(&self, state: impl Fn(usize) -> PathState) {
        for (number, (_, paths)) in self.gateways.iter().enumerate() {
            paths.set(state(number));
        }
    }

    /// How often each request was received, by its id.
    fn received(&self) -> BTreeMap<String, usize> {
        let mut received = BTreeMap::new();
        for head in self.endpoints.iter().flat_map(FakeEndpoint::heads) {
            let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
            *received
                .entry(id.unwrap_or_default().to_string())
                .or_default() += 1;
        }
        received
    }
}

// Sends requests through all gateways in turn until told to stop. Counts its answers.
fn call_until(
    is_over: &AtomicBool,
    answers: &AtomicUsize,
    caller: usize,
    gateways: &[SocketAddr],
) -> Statuses {
    let mut statuses = Statuses::new();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let path = ["/a/", "/once/"][number % 2];
        let id = format!("{path}{caller}-{number}");
        let gateway = gateways[(caller + number) % gateways.len()];
        let answer = send(gateway, &request_text(path, &[&format!("x-id: {id}")]));
        statuses.insert(id, answer.status);
        answers.fetch_add(1, Ordering::Relaxed);
        number += 1;
    }
    statuses
}

fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::start();
    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&answers));
            let gateways = fleet.addresses();
            thread::spawn(move || call_until(&is_over, &answers, caller, &gateways))
        })
        .collect();
    for _ in 0..CHANGES {
        let gateway = rng.random_range(0..GATEWAYS);
        let states = [PathState::Open, PathState::Unanswered, PathState::Refused];
        fleet.gateways[gateway]
            .1
            .set(states[rng.random_range(0..states.len())]);
        let next = answers.load(Ordering::Relaxed) + ANSWERS_BETWEEN_CHANGES;
        wait_until("further answers", || {
            answers.load(Ordering::Relaxed) >= next
        });
    }
    is_over.store(true, Ordering::Relaxed);
    let statuses: Vec<Statuses> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let statuses: Statuses = statuses.into_iter().flatten().collect();
    let received = fleet.received();
    for (id, count) in &received {
        let status = statuses[id];
        assert!(status != 503, "seed {seed}: {id} got 503 and was received");
        if id.starts_with("/once/") {
            assert_eq!(*count, 1, "seed {seed}: {id} was received more than once");
        }
    }
    for (id, status) in &statuses {
        assert!(
            [200, 503].contains(status),
            "seed {seed}: {id} got {status}"
        );
        let is_received = received.contains_key(id);
        assert!(
            is_received || *status == 503,
            "seed {seed}: {id} got {status}"
        );
    }
    // All but one gateway are without paths, and all requests are served.
    let sound = rng.random_range(0..GATEWAYS);
    fleet.set_paths(|number| match number == sound {
        true => PathState::Open,
        false => PathState::Refused,
    });
    for (number, gateway) in fleet.addresses().into_iter().enumerate() {
        wait_until("each gateway to serve", || {
            let id = format!("x-id: /once/last-{number}");
            send(gateway, &request_text("/once/", &[&id])).status == 200
        });
    }
}

fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("PATH_SEEDS").ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    range.map_or(SEEDS, |(first, end)| {
        first.parse().unwrap()..end.parse().unwrap()
    })
}

// Guards against requests that run twice, are refused although they ran, or are not served at all, when gateways lose
// their paths to the endpoints and pass connections through each other.
#[test]
fn requests_run_at_most_once_and_are_served_while_gateways_lose_their_paths_and_get_them_back() {
    for seed in seeds() {
        run(seed);
    }
}
