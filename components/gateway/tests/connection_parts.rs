//! A gateway's part of the connections that an endpoint accepts from all gateways together.

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{
    configuration, endpoint, open, request_text, route, settings, wait_until, FakeEndpoint,
    FakeStore, LogLines, Setup,
};
use directory::Execution;
use gateway::Clock;
use schema::messages::GatewayRow;

/// Time after which a listed gateway that was never heard is no longer counted, in milliseconds.
const FORGOTTEN_AFTER_MS: u64 = 20_000;

// Guards against a part that grows while the other gateways, which are not heard, keep their connections.
#[test]
fn a_gateway_opens_no_more_connections_to_an_endpoint_once_it_no_longer_counts_another_gateway() {
    const REQUESTS: usize = 8;
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.wait_closed();
    });
    let store = FakeStore::default();
    let stream = route("/a/", Execution::Stream { resumable: false });
    let mut configuration = configuration(1, vec![stream]);
    // Four fifths are used: four connections for each of two gateways.
    configuration.services.get_mut("s").unwrap().max_connections = 10;
    store.put_configuration(configuration);
    store.put_endpoint(endpoint("e0", fake.address));
    let silent = GatewayRow {
        // Nothing listens on this port.
        address: "127.0.0.1:9".into(),
        incarnation: 1,
        hall: None,
        cores_milli: None,
        decisions_port: None,
    };
    store.put_gateway("silent", &silent);
    let suspended_ms: &'static AtomicU64 = Box::leak(Box::default());
    let clock = Clock::start_suspendable(suspended_ms);
    let lines = LogLines::default();
    let setup = Setup::start_with_clock(settings(), store, lines.logger(), clock);
    wait_until("readiness", || setup.is_ready());
    setup.wait_for_retry_budget();
    let counts = lines.count("gateways changed");
    suspended_ms.fetch_add(FORGOTTEN_AFTER_MS, Ordering::Relaxed);
    wait_until("the silent gateway to be forgotten", || {
        lines.count("gateways changed") > counts
    });
    let request = request_text("/a/1", &[]);
    let mut callers: Vec<TcpStream> = (0..REQUESTS)
        .map(|_| open(setup.address(), &request))
        .collect();
    let served = callers.iter_mut().filter_map(|caller| {
        let mut status_line = [0; "HTTP/1.1 200".len()];
        caller.read_exact(&mut status_line).unwrap();
        (status_line == *b"HTTP/1.1 200").then_some(())
    });
    assert_eq!(served.count(), 4);
    assert_eq!(fake.heads().len(), 4);
}
