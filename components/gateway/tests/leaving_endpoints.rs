//! Endpoints that leave while the store answers some gateways and not others.
//!
//! Guards against requests to endpoints that have left: gateways that reach the store ask coordinators that don't.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, EndpointState, Execution};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::settings::GatewaySettings;

/// Time in which a change has to be in force.
const CHANGE_DUE: Duration = Duration::from_millis(2000);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_millis(1500);
const COORDINATORS: usize = 3;
const GATEWAYS: usize = 6;
/// Rounds of the random test, each with other gateways cut off from the store.
const ROUNDS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreFault {
    Refuses,
    NeverAnswers,
}

struct Fleet {
    gateways: Vec<Setup>,
    stable: FakeEndpoint,
    leaving: FakeEndpoint,
}

fn named(index: usize, seeds: Vec<String>) -> GatewaySettings {
    GatewaySettings {
        name: format!("g{index}"),
        cores_milli: if index < COORDINATORS { 500 } else { 120 },
        change_due_ms: CHANGE_DUE.as_millis() as i64,
        seeds,
        ..settings()
    }
}

fn leaving_record(record: Endpoint) -> Endpoint {
    Endpoint {
        state: EndpointState::Draining { leaves_in: None },
        ..record
    }
}

impl Fleet {
    /// Starts three coordinators and the gateways that ask them.
    fn start(count: usize) -> Self {
        let sound = || FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
        let (stable, leaving) = (sound(), sound());
        let store = FakeStore::default();
        store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
        store.put_endpoint(endpoint("stable", stable.address));
        let first = Setup::start(named(0, Vec::new()), store.clone());
        let seeds = vec![first.gateway.peer_address().to_string()];
        let mut gateways = vec![first];
        for index in 1..count {
            let settings = named(index, seeds.clone());
            gateways.push(Setup::start(settings, store.for_other_gateway()));
        }
        for gateway in &gateways {
            wait_until("readiness", || gateway.is_ready());
        }
        Fleet {
            gateways,
            stable,
            leaving,
        }
    }

    fn call(&self, gateway: usize) -> u16 {
        let id = format!("x-id: g{gateway}");
        self.gateways[gateway].call("/a/1", &[&id]).status
    }

    /// Adds the endpoint that will leave, and waits until requests of all gateways reach it.
    fn add_leaving_endpoint(&self, id: &str) {
        let store = &self.gateways[0].store;
        store.put_endpoint(endpoint(id, self.leaving.address));
        for gateway in 0..self.gateways.len() {
            let sender = format!("x-id: g{gateway}");
            let before = self.sent_by(&sender);
            wait_until("a request to the endpoint that will leave", || {
                self.call(gateway);
                self.sent_by(&sender) > before
            });
        }
    }

    fn sent_by(&self, sender: &str) -> usize {
        let heads = self.leaving.heads();
        heads.iter().filter(|head| head.contains(sender)).count()
    }

    fn set_fault(&self, gateway: usize, fault: StoreFault) {
        let store = &self.gateways[gateway].store;
        match fault {
            StoreFault::Refuses => store.refuse(true),
            StoreFault::NeverAnswers => store.stop_responding(),
        }
    }

    /// Lets the endpoint leave, and asserts that no request through these gateways reaches it once that is due.
    fn assert_left(&self, id: &str, gateways: &BTreeSet<usize>, context: &str) {
        let store = &self.gateways[0].store;
        store.put_endpoint(leaving_record(endpoint(id, self.leaving.address)));
        let acknowledged = Instant::now();
        while acknowledged.elapsed() < CHANGE_DUE {
            gateways.iter().for_each(|gateway| {
                self.call(*gateway);
            });
        }
        let before = self.leaving.heads().len();
        while acknowledged.elapsed() < CHANGE_DUE + WATCHED {
            for gateway in gateways {
                assert_eq!(self.call(*gateway), 200, "{context}, gateway {gateway}");
            }
        }
        let late = self.leaving.heads().len() - before;
        assert_eq!(late, 0, "requests to an endpoint that left, {context}");
        assert!(!self.stable.heads().is_empty());
    }
}

// Gateways that reach the store sent requests to an endpoint for as long as the store refused their coordinators.
#[test]
fn an_endpoint_that_leaves_while_the_store_refuses_all_coordinators_gets_no_requests() {
    let fleet = Fleet::start(COORDINATORS + 1);
    fleet.add_leaving_endpoint("e");
    for coordinator in 0..COORDINATORS {
        fleet.set_fault(coordinator, StoreFault::Refuses);
    }
    fleet.assert_left("e", &BTreeSet::from([COORDINATORS]), "all refused");
}

// The same while calls of the coordinators never return, which is no failure that they could see.
#[test]
fn an_endpoint_that_leaves_while_the_store_answers_no_coordinator_gets_no_requests() {
    let fleet = Fleet::start(COORDINATORS + 1);
    fleet.add_leaving_endpoint("e");
    for coordinator in 0..COORDINATORS {
        fleet.set_fault(coordinator, StoreFault::NeverAnswers);
    }
    fleet.assert_left("e", &BTreeSet::from([COORDINATORS]), "none answered");
}

// Whichever gateways the store refuses, those that it answers are bound by what it acknowledged.
#[test]
fn gateways_that_reach_the_store_send_nothing_to_an_endpoint_that_left() {
    let seed = 20261204;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::start(GATEWAYS);
    for round in 0..ROUNDS {
        let id = format!("e{round}");
        fleet.add_leaving_endpoint(&id);
        let mut reached: BTreeSet<usize> = (0..GATEWAYS).collect();
        while reached.len() > 1 && rng.random_bool(0.8) {
            let cut = rng.random_range(0..GATEWAYS);
            reached.remove(&cut);
            fleet.set_fault(cut, StoreFault::Refuses);
        }
        let context = format!("seed {seed}, round {round}, reached by {reached:?}");
        fleet.assert_left(&id, &reached, &context);
        for gateway in &fleet.gateways {
            gateway.store.refuse(false);
        }
    }
}
