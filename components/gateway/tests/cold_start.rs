//! A whole fleet that starts at once: what a gateway asks the store, and what it tells its callers meanwhile.
//!
//! Of hundreds of gateways that started together each wrote into one part of the store, read the list of all of them, took
//! itself for a coordinator, looked at the lease and held calls; and those whose coordinators were still reading the
//! endpoints read these too, or refused requests with their own small part of a limit.

mod common;

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use gateway::ports::Topic;
use schema::messages::{Decision, DecisionQuery, DecisionReply, GatewayRow, PlacedAt};
use schema::settings::GatewaySettings;

const MAX_DATAGRAM: usize = 8192;
/// Within this time a gateway has looked several times at whether a holder of the lease is missed.
const FIRST_LOOKS: Duration = Duration::from_millis(400);

/// A coordinator that has just begun until it is told that it knows the endpoints.
struct Coordinator {
    port: u16,
    knows: Arc<AtomicBool>,
}

impl Coordinator {
    fn start(endpoint: Endpoint) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let port = socket.local_addr().unwrap().port();
        let knows = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&knows);
        thread::spawn(move || serve(&socket, &endpoint, &seen));
        Coordinator { port, knows }
    }

    /// Rows of three large gateways of the hall that decide at its port.
    fn list(&self, store: &FakeStore) {
        for (i, name) in ["c1", "c2", "c3"].into_iter().enumerate() {
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

fn serve(socket: &UdpSocket, endpoint: &Endpoint, knows: &AtomicBool) {
    let mut buffer = [0; MAX_DATAGRAM];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let message: Decision = schema::decode(&buffer[..length]).unwrap();
        let Some(query) = message.query else {
            continue;
        };
        let reply = match knows.load(Ordering::SeqCst) {
            true => placed(&query, endpoint),
            false => DecisionReply::new(query.number, None, None, None, Some(true)),
        };
        let message = Decision {
            reply: Some(reply),
            ..Decision::default()
        };
        let bytes = schema::encode(&message).unwrap();
        socket.send_to(&bytes, from).unwrap();
    }
}

fn placed(query: &DecisionQuery, endpoint: &Endpoint) -> DecisionReply {
    let placed = PlacedAt {
        endpoint: endpoint.id.clone(),
        address: endpoint.address.to_string(),
        unread_tokens: 0,
        shared_prompt: 0,
        expected_ms: 1,
        hold_ms: 1,
        weighed: 1,
        version: None,
        hall: None,
        home_ms: None,
        incarnation: None,
        slowdown_percent: None,
        limit: None,
        keeper: None,
    };
    DecisionReply::new(query.number, None, Some(placed), None, None)
}

/// One small gateway of a hall among two, whose coordinators have just begun.
fn start(fake: &FakeEndpoint) -> (Setup, Coordinator) {
    let store = FakeStore::default();
    let endpoint = endpoint("e1", fake.address);
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
    store.put_endpoint(endpoint.clone());
    let coordinator = Coordinator::start(endpoint);
    coordinator.list(&store);
    let halls = ["z1", "z2"].map(|hall| (hall.to_string(), "r".to_string()));
    let settings = GatewaySettings {
        cores_milli: 120,
        reports_usage: true,
        region: "r".into(),
        halls: halls.into(),
        ..settings()
    };
    let setup = Setup::start(settings, store);
    wait_until("readiness", || setup.is_ready());
    (setup, coordinator)
}

#[test]
fn while_coordinators_begin_a_request_is_refused_with_the_time_to_come_back_and_served_then() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let (asking, coordinator) = start(&fake);
    let refused = asking.call("/a/1", &[]);
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(refused.body.contains("have just begun"), "{refused:?}");
    assert!(fake.heads().is_empty());
    coordinator.knows.store(true, Ordering::SeqCst);
    assert_eq!(asking.call("/a/1", &[]).status, 200);
}

#[test]
fn a_gateway_that_asks_calls_the_store_for_its_hall_and_the_configuration_only() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let (asking, coordinator) = start(&fake);
    coordinator.knows.store(true, Ordering::SeqCst);
    let started = Instant::now();
    while started.elapsed() < FIRST_LOOKS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    let asks = |topic| asking.store.call_count(topic);
    assert_eq!(asks(Topic::Gateways), 1, "its own hall's list");
    assert_eq!(asks(Topic::Configuration), 1);
    assert_eq!(asks(Topic::Lease), 0);
    assert_eq!(asks(Topic::Endpoints), 0);
}
