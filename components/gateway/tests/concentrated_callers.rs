//! Callers that nearly all connect to one gateway for some time.
//!
//! Guards against requests that are refused although endpoints have room: a gateway's part of an endpoint's connections is
//! fixed, and the parts of the others are idle.

mod common;

use std::collections::BTreeMap;
use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};

use common::{
    configuration, endpoint, open, request_text, route, settings, wait_until, Exchange,
    FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use schema::settings::GatewaySettings;
use telemetry::{Counter, Gauge};

const GATEWAYS: usize = 4;
const ENDPOINTS: usize = 2;
/// Four fifths are used: four connections of each endpoint for each gateway.
const MAX_CONNECTIONS: u32 = 20;
static ALL_OPEN: AtomicBool = AtomicBool::new(false);
const STREAM: Execution = Execution::Stream { resumable: false };

struct Fleet {
    gateways: Vec<Setup>,
    endpoints: Vec<FakeEndpoint>,
}

impl Fleet {
    fn start() -> Self {
        Self::start_with(|exchange| {
            exchange.begin_stream();
            exchange.event(1);
            exchange.wait_closed();
        })
    }

    fn start_with(serve: fn(&mut Exchange)) -> Self {
        let serve = move |_: usize, exchange: &mut Exchange| serve(exchange);
        let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| FakeEndpoint::start(serve)).collect();
        let store = FakeStore::default();
        let mut configuration = configuration(1, vec![route("/a/", STREAM)]);
        let service = configuration.services.get_mut("s").unwrap();
        service.max_connections = MAX_CONNECTIONS;
        store.put_configuration(configuration);
        for (i, fake) in endpoints.iter().enumerate() {
            store.put_endpoint(Endpoint {
                slots: 64,
                ..endpoint(&format!("e{i}"), fake.address)
            });
        }
        let mut gateways: Vec<Setup> = Vec::new();
        for number in 0..GATEWAYS {
            let first = gateways.first();
            let seeds = first.map(|first| first.gateway.peer_address().to_string());
            let settings = GatewaySettings {
                name: format!("g{number}"),
                seeds: seeds.into_iter().collect(),
                ..settings()
            };
            let setup = Setup::start(settings, store.for_other_gateway());
            wait_until("readiness", || setup.is_ready());
            gateways.push(setup);
        }
        let knows_all = |setup: &Setup| {
            let part_milli = setup.gateway.metrics().gauge(Gauge::RetryPart);
            part_milli > 0 && part_milli <= 1000 / GATEWAYS as u64
        };
        wait_until("all gateways to know each other", || {
            gateways.iter().all(knows_all)
        });
        Fleet {
            gateways,
            endpoints,
        }
    }

    /// Opens streams at a gateway and returns those that were served.
    fn open_streams(&self, gateway: usize, count: usize) -> Vec<TcpStream> {
        let address = self.gateways[gateway].address();
        let request = |n| request_text("/a/1", &[&format!("x-id: {gateway}-{n}")]);
        let mut callers: Vec<_> = (0..count).map(|n| open(address, &request(n))).collect();
        callers.retain_mut(|caller| {
            let mut status = [0; 12];
            caller.read_exact(&mut status).unwrap();
            &status == b"HTTP/1.1 200"
        });
        callers
    }

    fn received(&self) -> usize {
        self.endpoints.iter().map(|fake| fake.heads().len()).sum()
    }
}

// Guards against refusals at the gateway that nearly all callers reach, while the parts of the others are idle.
#[test]
fn a_gateway_that_nearly_all_callers_reach_uses_idle_connection_parts_of_the_others() {
    const STREAMS: usize = 20;
    let fleet = Fleet::start();
    let served = fleet.open_streams(0, STREAMS);
    assert_eq!(served.len(), STREAMS, "{} received", fleet.received());
    let metrics = fleet.gateways[0].gateway.metrics();
    assert!(metrics.get(Counter::BorrowedConnections) > 0);
}

// Guards against more connections to an endpoint than it accepts, when the gateways that lend need their parts themselves.
#[test]
fn borrowed_connections_count_at_the_gateway_that_lends_them() {
    let fleet = Fleet::start();
    let mut kept: BTreeMap<usize, Vec<TcpStream>> = BTreeMap::new();
    for gateway in [0, 1, 2, 3, 0] {
        let served = fleet.open_streams(gateway, 24);
        kept.entry(gateway).or_default().extend(served);
    }
    let used = MAX_CONNECTIONS as usize * ENDPOINTS * 4 / 5;
    let open: usize = kept.values().map(Vec::len).sum();
    assert!(open <= used, "{open} of {used}");
    // Each gateway kept some connections for its own callers.
    assert!(kept.values().all(|served| !served.is_empty()));
}

// Guards against whole answers over borrowed connections that are refused, because only the end of their connection marks
// their end.
#[test]
fn an_answer_without_a_length_over_a_borrowed_connection_is_whole() {
    const STREAMS: usize = 16;
    let fleet = Fleet::start_with(|exchange| {
        let id = exchange.header("x-id").unwrap_or_default();
        exchange.write(&format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-signature: s\r\nconnection: close\r\n\r\n\
             id: 1\ndata: a\n\n"
        ));
        // All streams are open at once, so that some need borrowed connections.
        wait_until("all streams to be open", || ALL_OPEN.load(Ordering::SeqCst));
        exchange.write("id: 2\ndata: b\n\n");
        exchange.close();
    });
    let callers = fleet.open_streams(0, STREAMS);
    assert_eq!(callers.len(), STREAMS);
    let metrics = fleet.gateways[0].gateway.metrics();
    assert!(metrics.get(Counter::BorrowedConnections) > 0);
    ALL_OPEN.store(true, Ordering::SeqCst);
    for mut caller in callers {
        let mut rest = String::new();
        caller.read_to_string(&mut rest).unwrap();
        assert!(rest.ends_with("0\r\n\r\n"), "{rest}");
    }
}
