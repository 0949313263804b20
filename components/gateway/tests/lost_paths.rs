//! Gateways that lose their paths to the endpoints while callers, the store and other gateways reach them.

mod common;

use common::paths::{EndpointPaths, PathState};
use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;
use telemetry::Gauge;

const ENDPOINTS: usize = 6;
const REQUESTS: usize = 20;

struct CutGateway {
    setup: Setup,
    paths: EndpointPaths,
}

impl CutGateway {
    fn start(name: &str, seeds: Vec<String>, store: FakeStore) -> Self {
        let paths = EndpointPaths::default();
        let settings = GatewaySettings {
            name: name.into(),
            seeds,
            ..settings()
        };
        let setup = Setup::start_with_dialer(settings, store, telemetry::discard(), paths.dialer());
        wait_until("readiness", || setup.is_ready());
        setup.wait_for_retry_budget();
        CutGateway { setup, paths }
    }

    /// Statuses of new requests, sent one after the other.
    fn statuses(&self, path: &str) -> Vec<u16> {
        let call = |number| {
            let id = format!("x-id: {path}{number}");
            self.setup.call(path, &[&id]).status
        };
        (0..REQUESTS).map(call).collect()
    }
}

fn start_endpoints() -> Vec<FakeEndpoint> {
    let answer = |_: usize, exchange: &mut common::Exchange| exchange.answer(200, "x");
    (0..ENDPOINTS)
        .map(|_| FakeEndpoint::start(answer))
        .collect()
}

fn store(endpoints: &[FakeEndpoint]) -> FakeStore {
    let store = FakeStore::default();
    let routes = vec![
        route("/a/", Execution::Repeatable),
        route("/once/", Execution::Once),
    ];
    store.put_configuration(configuration(1, routes));
    for (i, fake) in endpoints.iter().enumerate() {
        store.put_endpoint(endpoint(&format!("e{i}"), fake.address));
    }
    store
}

/// Starts gateways that know each other.
fn start_gateways(count: usize, store: &FakeStore) -> Vec<CutGateway> {
    let mut all = vec![CutGateway::start("g1", Vec::new(), store.clone())];
    while all.len() < count {
        let seed = all[0].setup.gateway.peer_address().to_string();
        let name = format!("g{}", all.len() + 1);
        all.push(CutGateway::start(
            &name,
            vec![seed],
            store.for_other_gateway(),
        ));
    }
    wait_until("the gateways to know each other", || {
        let knows_all = |gateway: &CutGateway| {
            let metrics = gateway.setup.gateway.metrics();
            metrics.gauge(Gauge::AlivePeers) as usize == count - 1
        };
        all.iter().all(knows_all)
    });
    all
}

// Guards against failing all callers of a gateway whose connects to endpoints hang, while another gateway reaches them.
#[test]
fn a_gateway_whose_connects_to_endpoints_get_no_answer_serves_through_another_gateway() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    gateways[0].paths.set(PathState::Unanswered);
    assert_eq!(gateways[0].statuses("/a/"), [200; REQUESTS]);
    assert_eq!(gateways[0].statuses("/once/"), [200; REQUESTS]);
}
// Guards against failing all callers of a gateway whose connects to endpoints are refused, while another gateway reaches
// them.
#[test]
fn a_gateway_whose_connects_to_endpoints_are_refused_serves_through_another_gateway() {
    let endpoints = start_endpoints();
    let gateways = start_gateways(2, &store(&endpoints));
    gateways[0].paths.set(PathState::Refused);
    assert_eq!(gateways[0].statuses("/a/"), [200; REQUESTS]);
    assert_eq!(gateways[0].statuses("/once/"), [200; REQUESTS]);
}
