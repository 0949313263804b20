//! Decisions that a coordinator makes from endpoint records of some age.
//!
//! Guards against requests to endpoints that have left: a coordinator that no longer learned of changes decided for gateways
//! that did.

mod common;

use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use common::{
    configuration, endpoint, route, settings, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use routing::placement::endpoint_hash;
use schema::messages::{Decision, DecisionQuery, DecisionReply, GatewayRow, PlacedAt};
use schema::settings::GatewaySettings;

const MAX_DATAGRAM: usize = 8192;
const REQUESTS: usize = 30;
/// Ages of records: far below and far above the two seconds in which a change has to be in force.
const FRESH: Duration = Duration::from_millis(10);
const OUTDATED: Duration = Duration::from_secs(30);

/// How a fake coordinator decides.
#[derive(Clone)]
struct Coordinator {
    /// Its endpoints; the first one that is not excluded is chosen.
    endpoints: Vec<Endpoint>,
    /// Age of its records; `None` for a build that reports none.
    age: Option<Duration>,
    /// Whether it decides although its records are older than asked for.
    ignores_max_age: bool,
}

impl Coordinator {
    fn new(fake: &FakeEndpoint, id: &str, age: Option<Duration>) -> Self {
        Coordinator {
            endpoints: vec![endpoint(id, fake.address)],
            age,
            ignores_max_age: false,
        }
    }

    fn reply_to(&self, query: &DecisionQuery) -> DecisionReply {
        let age_ms = self.age.map(|age| age.as_millis() as i32);
        let mut reply = DecisionReply::new(query.number, None, None, None, None, age_ms, None);
        let is_outdated = query
            .max_age_ms
            .zip(age_ms)
            .is_some_and(|(max, age)| age >= max);
        if is_outdated && !self.ignores_max_age {
            reply.outdated = Some(true);
            return reply;
        }
        let is_excluded = |e: &&Endpoint| query.excluded.contains(&(endpoint_hash(&e.id) as i64));
        let chosen = self.endpoints.iter().find(|e| !is_excluded(e));
        reply.placed = chosen.map(placed_at);
        reply
    }

    /// Serves queries, and returns the port.
    fn start(self) -> u16 {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let port = socket.local_addr().unwrap().port();
        thread::spawn(move || {
            let mut buffer = [0; MAX_DATAGRAM];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let message: Decision = schema::decode(&buffer[..length]).unwrap();
                let Some(query) = message.query else {
                    continue;
                };
                let reply = Decision {
                    reply: Some(self.reply_to(&query)),
                    ..Decision::default()
                };
                let bytes = schema::encode(&reply).unwrap();
                socket.send_to(&bytes, from).unwrap();
            }
        });
        port
    }
}

fn placed_at(endpoint: &Endpoint) -> PlacedAt {
    PlacedAt {
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
    }
}

/// Starts a gateway that reaches the store and asks these coordinators.
fn start(coordinators: [Coordinator; 3]) -> Setup {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route("/a/", Execution::Repeatable)]));
    for (i, coordinator) in coordinators.into_iter().enumerate() {
        let row = GatewayRow {
            address: format!("127.0.0.1:{}", 9 + i),
            incarnation: 1,
            hall: Some("z1".into()),
            cores_milli: Some(500),
            decisions_port: Some(i32::from(coordinator.start())),
        };
        store.put_gateway(&format!("c{i}"), &row);
    }
    let settings = GatewaySettings {
        cores_milli: 120,
        ..settings()
    };
    let asking = Setup::start(settings, store);
    wait_until("readiness", || asking.is_ready());
    asking
}

fn sound_endpoint() -> FakeEndpoint {
    FakeEndpoint::start(|_, exchange| exchange.answer(200, "x"))
}

fn assert_all_served(asking: &Setup) {
    for _ in 0..REQUESTS {
        assert_eq!(asking.call("/a/1", &[]).status, 200);
    }
}

// A coordinator that the store refuses went on deciding from its last records.
#[test]
fn a_coordinator_with_outdated_records_is_passed_over_while_another_has_newer_ones() {
    let (left, sound) = (sound_endpoint(), sound_endpoint());
    let outdated = Coordinator::new(&left, "left", Some(OUTDATED));
    let fresh = Coordinator::new(&sound, "sound", Some(FRESH));
    let asking = start([outdated.clone(), outdated, fresh]);
    assert_all_served(&asking);
    assert_eq!(left.heads().len(), 0);
    assert_eq!(sound.heads().len(), REQUESTS);
}

// Refusing requests because no coordinator has newer records would end the service while the store is away.
#[test]
fn requests_are_placed_from_the_newest_records_if_all_coordinators_have_outdated_ones() {
    let (older, newer) = (sound_endpoint(), sound_endpoint());
    let oldest = Coordinator::new(&older, "older", Some(OUTDATED * 2));
    let newest = Coordinator::new(&newer, "newer", Some(OUTDATED));
    let asking = start([oldest.clone(), newest, oldest]);
    assert_all_served(&asking);
    assert_eq!(older.heads().len(), 0);
    assert_eq!(newer.heads().len(), REQUESTS);
}

// Two builds decide for each other while gateways are replaced.
#[test]
fn a_coordinator_that_reports_no_age_still_decides() {
    let sound = sound_endpoint();
    let earlier = Coordinator::new(&sound, "sound", None);
    let asking = start([earlier.clone(), earlier.clone(), earlier]);
    assert_all_served(&asking);
    assert_eq!(sound.heads().len(), REQUESTS);
}

// A decision that waits for a connection, or in a thread that is behind, ages before its request is sent.
#[test]
fn a_request_is_placed_again_if_its_decision_has_become_outdated_before_it_is_sent() {
    let (left, sound) = (sound_endpoint(), sound_endpoint());
    let endpoints = vec![
        endpoint("left", left.address),
        endpoint("sound", sound.address),
    ];
    let late = Coordinator {
        endpoints,
        age: Some(OUTDATED),
        ignores_max_age: true,
    };
    let asking = start([late.clone(), late.clone(), late]);
    // Each waits for an endpoint to appear.
    for _ in 0..3 {
        assert_eq!(asking.call("/a/1", &[]).status, 503);
    }
    assert_eq!(left.heads().len() + sound.heads().len(), 0);
}
