//! Start of all gateways at once: calls to the store, and answers to callers until the coordinators are ready.
//!
//! Guards against overload of the store: when hundreds of gateways started together, each of them wrote into one part of
//! the store, read the list of all gateways, took itself for a coordinator, read the lease and kept long polls open.
//! Gateways whose coordinators were still reading the endpoints read them too, or refused requests by their own small part
//! of a limit.

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
/// Time in which a gateway checks several times whether the holder of the lease is missing.
const LEASE_CHECKS_TIME: Duration = Duration::from_millis(400);

/// A fake coordinator that answers as one that has just started until `knows_endpoints` is set.
struct FakeCoordinator {
    port: u16,
    knows_endpoints: Arc<AtomicBool>,
}

impl FakeCoordinator {
    fn start(endpoint: Endpoint) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let port = socket.local_addr().unwrap().port();
        let knows_endpoints = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&knows_endpoints);
        thread::spawn(move || serve(&socket, &endpoint, &flag));
        FakeCoordinator {
            port,
            knows_endpoints,
        }
    }

    /// Writes the rows of three large gateways of the hall that decide at this port.
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

fn serve(socket: &UdpSocket, endpoint: &Endpoint, knows_endpoints: &AtomicBool) {
    let mut buffer = [0; MAX_DATAGRAM];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let message: Decision = schema::decode(&buffer[..length]).unwrap();
        let Some(query) = message.query else {
            continue;
        };
        let reply = match knows_endpoints.load(Ordering::SeqCst) {
            true => placed(&query, endpoint),
            false => DecisionReply::new(query.number, None, None, None, Some(true), None, None),
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
        software_version: None,
        has_several_versions: None,
    };
    DecisionReply::new(query.number, None, Some(placed), None, None, None, None)
}

/// Starts a small gateway in one of two halls, whose coordinators have just started.
fn start(fake: &FakeEndpoint) -> (Setup, FakeCoordinator) {
    let store = FakeStore::default();
    let endpoint = endpoint("e1", fake.address);
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
    store.put_endpoint(endpoint.clone());
    let coordinator = FakeCoordinator::start(endpoint);
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
fn requests_are_refused_with_retry_after_while_coordinators_start_and_served_afterwards() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let (asking, coordinator) = start(&fake);
    let refused = asking.call("/a/1", &[]);
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(refused.body.contains("have just begun"), "{refused:?}");
    assert!(fake.heads().is_empty());
    coordinator.knows_endpoints.store(true, Ordering::SeqCst);
    assert_eq!(asking.call("/a/1", &[]).status, 200);
}

#[test]
fn a_gateway_that_asks_coordinators_reads_only_its_hall_and_the_configuration_from_the_store() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let (asking, coordinator) = start(&fake);
    coordinator.knows_endpoints.store(true, Ordering::SeqCst);
    let started = Instant::now();
    while started.elapsed() < LEASE_CHECKS_TIME {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    let call_count = |topic| asking.store.call_count(topic);
    assert_eq!(call_count(Topic::Gateways), 1, "the list of its own hall");
    assert_eq!(call_count(Topic::Configuration), 1);
    assert_eq!(call_count(Topic::Lease), 0);
    assert_eq!(call_count(Topic::Endpoints), 0);
}
