//! Gateways of an earlier message set beside today's, as while a fleet is replaced one by one.

mod common;

use std::net::UdpSocket;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use routing::placement::endpoint_hash;
use schema::messages::{Decision, DecisionQuery, DecisionReply, GatewayRow, PlacedAt};
use schema::settings::GatewaySettings;

/// Longer than any test runs.
const PAUSE: Duration = Duration::from_secs(600);
const REQUESTS: usize = 20;
const MAX_DATAGRAM: usize = 8192;

/// A coordinator that knows neither what endpoints told the gateway that asks, nor their starts.
struct EarlierCoordinator {
    port: u16,
    decided: Arc<AtomicUsize>,
}

impl EarlierCoordinator {
    /// Places each request at the first of the endpoints that it was not tried at.
    fn start(endpoints: Vec<Endpoint>) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let port = socket.local_addr().unwrap().port();
        let decided = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&decided);
        thread::spawn(move || serve(&socket, &endpoints, &counted));
        EarlierCoordinator { port, decided }
    }

    fn decided(&self) -> usize {
        self.decided.load(Ordering::SeqCst)
    }

    /// Rows of three gateways of the hall that decide at its port.
    fn list(&self, store: &FakeStore) {
        for (i, name) in ["old1", "old2", "old3"].into_iter().enumerate() {
            let row = GatewayRow {
                address: format!("127.0.0.1:{}", 9 + i),
                incarnation: 1,
                hall: Some("z1".into()),
                cores_milli: Some(500),
                decisions_port: Some(i32::from(self.port)),
            };
            store.put_gateway(name, &row);
        }
    }
}

fn serve(socket: &UdpSocket, endpoints: &[Endpoint], decided: &AtomicUsize) {
    let mut buffer = [0; MAX_DATAGRAM];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let message: Decision = schema::decode(&buffer[..length]).unwrap();
        let Some(query) = message.query else {
            continue;
        };
        decided.fetch_add(1, Ordering::SeqCst);
        let reply = Decision {
            reply: Some(reply_to(&query, endpoints)),
            ..Decision::default()
        };
        socket
            .send_to(&schema::encode(&reply).unwrap(), from)
            .unwrap();
    }
}

fn reply_to(query: &DecisionQuery, endpoints: &[Endpoint]) -> DecisionReply {
    let is_excluded = |e: &Endpoint| query.excluded.contains(&(endpoint_hash(&e.id) as i64));
    let chosen = endpoints.iter().find(|endpoint| !is_excluded(endpoint));
    let placed = chosen.map(|chosen| PlacedAt {
        endpoint: chosen.id.clone(),
        address: chosen.address.to_string(),
        unread_tokens: 0,
        shared_prompt: 0,
        expected_ms: 1,
        hold_ms: 1,
        weighed: endpoints.len() as i32,
        version: None,
        hall: None,
        home_ms: None,
        incarnation: None,
        slowdown_percent: None,
        limit: None,
        keeper: None,
    });
    DecisionReply::new(query.number, None, placed, None, None)
}

/// An earlier coordinator, and a gateway of today that asks it.
fn earlier_and_asking(endpoints: Vec<Endpoint>) -> (EarlierCoordinator, Setup) {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
    for endpoint in endpoints.clone() {
        store.put_endpoint(endpoint);
    }
    let coordinator = EarlierCoordinator::start(endpoints);
    coordinator.list(&store);
    let settings = GatewaySettings {
        cores_milli: 120,
        ..settings()
    };
    let asking = Setup::start(settings, store);
    wait_until("readiness", || asking.is_ready());
    (coordinator, asking)
}

#[test]
fn what_endpoints_told_a_gateway_binds_it_whatever_an_earlier_coordinator_decides() {
    let leaving = FakeEndpoint::start(|_, exchange| exchange.answer_leaving());
    let busy = FakeEndpoint::start(|_, exchange| exchange.decline_with_pause(PAUSE));
    let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let fakes = [("e1", &leaving), ("e2", &busy), ("e3", &steady)];
    let endpoints = fakes.map(|(id, fake)| endpoint(id, fake.address));
    let (coordinator, asking) = earlier_and_asking(endpoints.to_vec());
    wait_until("both to tell it", || {
        asking.call("/a/1", &[]);
        !leaving.heads().is_empty() && !busy.heads().is_empty()
    });
    let before = coordinator.decided();
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    // It names each of the two first, and is asked again.
    assert!(coordinator.decided() >= before + 3 * REQUESTS);
    assert_eq!((leaving.heads().len(), busy.heads().len()), (1, 1));
    assert!(steady.heads().len() >= REQUESTS);
}

// Guards against sends past an endpoint's limit while those who place requests keep no account of it.
#[test]
fn an_endpoint_that_names_a_limit_gets_nothing_where_earlier_coordinators_keep_no_account() {
    let in_need = FakeEndpoint::start(|_, exchange| exchange.answer_with_limit("1"));
    let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let endpoints = [("e1", &in_need), ("e2", &steady)];
    let endpoints = endpoints.map(|(id, fake)| endpoint(id, fake.address));
    let (_coordinator, asking) = earlier_and_asking(endpoints.to_vec());
    wait_until("it to tell its limit", || {
        asking.call("/a/1", &[]);
        !in_need.heads().is_empty()
    });
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    assert_eq!(in_need.heads().len(), 1);
    assert!(steady.heads().len() >= REQUESTS);
}
