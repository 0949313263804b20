//! Gateways beside coordinators with an earlier version of the messages, as during a rolling update.

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

/// A fake coordinator of an earlier version: it ignores what endpoints reported to the asking gateway, and their restarts.
struct EarlierCoordinator {
    port: u16,
    decided: Arc<AtomicUsize>,
}

impl EarlierCoordinator {
    /// Places each request on the first endpoint that the query does not exclude.
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

    /// Writes the rows of three gateways of the hall that decide at this port.
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
        software_version: None,
        has_several_versions: None,
    });
    DecisionReply::new(query.number, None, placed, None, None, None, None)
}

/// Starts an earlier coordinator and a gateway of the current version that asks it.
fn start_with_earlier_coordinator(endpoints: Vec<Endpoint>) -> (EarlierCoordinator, Setup) {
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
fn a_gateway_avoids_leaving_and_paused_endpoints_that_an_earlier_coordinator_chooses() {
    let leaving = FakeEndpoint::start(|_, exchange| exchange.answer_leaving());
    let busy = FakeEndpoint::start(|_, exchange| exchange.decline_with_pause(PAUSE));
    let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let fakes = [("e1", &leaving), ("e2", &busy), ("e3", &steady)];
    let endpoints = fakes.map(|(id, fake)| endpoint(id, fake.address));
    let (coordinator, asking) = start_with_earlier_coordinator(endpoints.to_vec());
    wait_until(
        "a request to reach the leaving and the busy endpoint",
        || {
            asking.call("/a/1", &[]);
            !leaving.heads().is_empty() && !busy.heads().is_empty()
        },
    );
    let before = coordinator.decided();
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    // For each request the coordinator chooses each of the two endpoints first, so it is asked three times.
    assert!(coordinator.decided() >= before + 3 * REQUESTS);
    assert_eq!((leaving.heads().len(), busy.heads().len()), (1, 1));
    assert!(steady.heads().len() >= REQUESTS);
}

// Guards against requests beyond an endpoint's limit when coordinators keep no account of the limit.
#[test]
fn an_endpoint_with_a_limit_gets_no_requests_if_the_coordinator_keeps_no_account_of_it() {
    let limited = FakeEndpoint::start(|_, exchange| exchange.answer_with_limit("1"));
    let steady = FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"));
    let endpoints = [("e1", &limited), ("e2", &steady)];
    let endpoints = endpoints.map(|(id, fake)| endpoint(id, fake.address));
    let (_coordinator, asking) = start_with_earlier_coordinator(endpoints.to_vec());
    wait_until("the endpoint to name its limit", || {
        asking.call("/a/1", &[]);
        !limited.heads().is_empty()
    });
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
    assert_eq!(limited.heads().len(), 1);
    assert!(steady.heads().len() >= REQUESTS);
}
