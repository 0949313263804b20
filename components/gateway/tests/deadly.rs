//! A request that ends each endpoint which begins it.
//!
//! Seen: one caller's request came again and again, at any gateway, and ended 37 endpoints within seconds, with all that
//! ran on them. Its tries had new ids, so each gateway took each of them for a new request; and a stream whose endpoint had
//! ended was sent on to the next one. What proved it: lines of attempts that carry a fingerprint of what was asked for show
//! the same one at each end.

mod common;

use common::mortal::DEADLY;
use common::{
    configuration, endpoint, route, settings, wait_until, Answer, Lines, Mortal, Setup,
    StoreStandin,
};
use directory::Execution;
use schema::settings::GatewaySettings;

/// Endpoints that may end under one request before a gateway knows: three prove it, and the second gateway may send it once
/// more before it heard of the first one's.
const MAY_END: usize = 4;
const ENDPOINTS: usize = 12;
/// What a gateway logs once it sends a request to no endpoint any more.
const HELD: &str = "request quarantined";

/// A gateway and what it logs.
struct Logged {
    setup: Setup,
    lines: Lines,
}

impl Logged {
    fn start(name: &str, seeds: Vec<String>, store: StoreStandin) -> Self {
        let lines = Lines::default();
        let settings = GatewaySettings {
            name: name.into(),
            seeds,
            ..settings()
        };
        let setup = Setup::start_with_log(settings, store, lines.logger());
        wait_until("readiness", || setup.is_ready());
        Logged { setup, lines }
    }

    fn holds(&self) -> bool {
        self.lines.count(HELD) > 0
    }

    /// Asks for what is deadly, with an id of its own each time.
    fn ask_deadly(&self, number: usize) -> Answer {
        self.setup
            .call(DEADLY, &[&format!("x-id: deadly-{number}")])
    }
}

fn start_endpoints() -> Vec<Mortal> {
    (0..ENDPOINTS).map(|_| Mortal::start()).collect()
}

fn store(endpoints: &[Mortal]) -> StoreStandin {
    let store = StoreStandin::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
    for (i, mortal) in endpoints.iter().enumerate() {
        store.put_endpoint(endpoint(&format!("e{i}"), mortal.address));
    }
    store
}

/// Gateways that know each other.
fn three(store: &StoreStandin) -> Vec<Logged> {
    let first = Logged::start("g1", Vec::new(), store.clone());
    let seeds = || vec![first.setup.gateway.peer_address().to_string()];
    let second = Logged::start("g2", seeds(), store.for_another());
    let third = Logged::start("g3", seeds(), store.for_another());
    vec![first, second, third]
}

fn ended(endpoints: &[Mortal]) -> usize {
    endpoints.iter().filter(|mortal| mortal.has_ended()).count()
}

#[test]
fn a_request_that_ends_its_endpoints_reaches_no_more_of_them_through_any_gateway() {
    let endpoints = start_endpoints();
    let gateways = three(&store(&endpoints));
    gateways[0].ask_deadly(0);
    gateways[1].ask_deadly(1);
    wait_until("all gateways to know of it", || {
        gateways.iter().all(Logged::holds)
    });
    for number in 2..2 + ENDPOINTS {
        let refused = gateways[number % gateways.len()].ask_deadly(number);
        assert_eq!(refused.status, 503, "{}", refused.head);
        assert!(refused.field("retry-after").is_some(), "{}", refused.head);
    }
    let ended = ended(&endpoints);
    assert!(ended <= MAY_END, "{ended} endpoints ended");
    for gateway in &gateways {
        assert_eq!(gateway.setup.call("/a/other", &[]).status, 200);
    }
}
