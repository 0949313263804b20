//! Streams of a service whose endpoints run several software versions side by side, without a roll-out order.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint_with_version, request_text, route, send, settings, wait_until, Answer,
    FakeEndpoint, FakeStore, Setup,
};
use directory::{Execution, Route};
use schema::settings::GatewaySettings;
use telemetry::Gauge;

const RESUMABLE: Execution = Execution::Stream { resumable: true };
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Event after which an endpoint breaks a stream off that it began.
const BREAKS_AFTER: u64 = 2;
const LAST_EVENT: u64 = 4;
/// A quarter of the latency target of the route.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(1250);
/// Streams of one test.
const STREAMS: usize = 40;

/// An endpoint whose events contain its version. It breaks each stream off that it began itself and completes those that
/// it continues.
fn versioned_endpoint(version: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, exchange| {
        let after: Option<u64> = exchange
            .header("x-last-event")
            .and_then(|id| id.parse().ok());
        exchange.begin_stream();
        let last = after.map_or(BREAKS_AFTER, |_| LAST_EVENT);
        for id in after.unwrap_or_default() + 1..=last {
            exchange.chunk(&format!("id: {id}\ndata: {version}\n\n"));
        }
        match after {
            Some(_) => exchange.end_stream(),
            None => exchange.close(),
        }
    })
}

fn store_with(route: Route) -> FakeStore {
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route]));
    for version in VERSIONS {
        put_endpoints(&store, version);
    }
    store
}

/// Starts two endpoints of a version.
fn put_endpoints(store: &FakeStore, version: &'static str) {
    for number in 0..2 {
        let fake = versioned_endpoint(version);
        let id = format!("{version}-{number}");
        store.put_endpoint(endpoint_with_version(version, &id, fake.address));
    }
}

fn delete_endpoints(store: &FakeStore, version: &str) {
    for number in 0..2 {
        store.delete_endpoint(&format!("{version}-{number}"));
    }
}

/// Ends all gateways and waits until nothing is left of what they knew.
fn end_all(gateways: Vec<Setup>) {
    let readiness = |setup: &Setup| setup.gateway.listening().readiness;
    let addresses: Vec<SocketAddr> = gateways.iter().map(readiness).collect();
    drop(gateways);
    wait_until("all gateways to end", || {
        let has_ended = |address: &SocketAddr| TcpStream::connect(address).is_err();
        addresses.iter().all(has_ended)
    });
}

/// Starts gateways of one data hall that know each other.
fn start_gateways(store: &FakeStore, count: usize) -> Vec<Setup> {
    let mut gateways: Vec<Setup> = Vec::new();
    for number in 0..count {
        let first = gateways.first();
        let seeds = first.map(|setup| setup.gateway.peer_address().to_string());
        let settings = GatewaySettings {
            name: format!("g{number}"),
            seeds: seeds.into_iter().collect(),
            ..settings()
        };
        let setup = Setup::start(settings, store.for_other_gateway());
        wait_until("readiness", || setup.is_ready());
        gateways.push(setup);
    }
    let alive = |setup: &Setup| setup.gateway.metrics().gauge(Gauge::AlivePeers) as usize;
    wait_until("the gateways to know each other", || {
        gateways.iter().all(|setup| alive(setup) == count - 1)
    });
    gateways
}

/// Versions in the events of an answer, in order.
fn versions_in(answer: &Answer) -> Vec<String> {
    let lines = answer.body.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_string).collect()
}

fn begin(gateway: SocketAddr, id: &str) -> Answer {
    send(gateway, &request_text("/a/", &[&format!("x-id: {id}")]))
}

/// Continues a stream whose first event came with the attempt `first`.
fn resume(gateway: SocketAddr, id: &str, first: &str, after: usize) -> Answer {
    let lines = [
        format!("x-id: {id}"),
        format!("x-resumes: {first}"),
        format!("x-last-event: {after}"),
    ];
    send(
        gateway,
        &request_text("/a/", &lines.each_ref().map(String::as_str)),
    )
}

/// Waits until new streams begin at endpoints of all versions.
fn wait_for_all_versions(gateway: SocketAddr) {
    let mut seen = Vec::new();
    wait_until("streams of all versions", || {
        seen.extend(versions_in(&begin(
            gateway,
            &format!("first-{}", seen.len()),
        )));
        VERSIONS
            .iter()
            .all(|version| seen.iter().any(|known| known == version))
    });
}

// Guards against streams that callers continue at another gateway, which hold events of two software versions.
#[test]
fn a_stream_that_its_caller_continues_at_another_gateway_goes_on_at_the_version_that_began_it() {
    let route = Route {
        // The gateway doesn't resume the stream itself.
        max_attempts: 1,
        ..route("/a/", RESUMABLE)
    };
    let gateways = start_gateways(&store_with(route), 3);
    wait_for_all_versions(gateways[0].address());
    let (mut mixed, mut continued) = (Vec::new(), 0);
    for number in 0..STREAMS {
        let id = format!("a{number}");
        let from = gateways[number % gateways.len()].address();
        let to = gateways[(number + 1) % gateways.len()].address();
        let begun = versions_in(&begin(from, &id));
        let answer = resume(to, &format!("b{number}"), &id, begun.len());
        continued += usize::from(answer.is_complete);
        let versions = [begun, versions_in(&answer)].concat();
        if versions.iter().any(|version| *version != versions[0]) {
            mixed.push(versions);
        }
    }
    assert!(mixed.is_empty(), "{} of {STREAMS}: {mixed:?}", mixed.len());
    assert!(continued > STREAMS / 2, "{continued} of {STREAMS} went on");
}

// Guards against a guess where nothing is known of the stream: a made-up attempt, one of another team, or none at all.
#[test]
fn a_stream_whose_version_is_not_known_is_refused_as_not_run() {
    let gateways = start_gateways(&store_with(route("/a/", RESUMABLE)), 2);
    let resumes: [&[&str]; 2] = [&["x-resumes: made-up"], &[]];
    for lines in resumes {
        let mut headers = vec!["x-id: b", "x-last-event: 2"];
        headers.extend(lines);
        let answer = send(gateways[0].address(), &request_text("/a/", &headers));
        assert_eq!(answer.status, 503, "{lines:?}");
        assert!(answer.header("retry-after").is_some());
    }
}

// Guards against streams that are lost with the gateway at which they began.
#[test]
fn a_stream_goes_on_at_its_version_after_the_gateway_that_began_it_is_gone() {
    let route = Route {
        max_attempts: 1,
        ..route("/a/", RESUMABLE)
    };
    let mut gateways = start_gateways(&store_with(route), 3);
    let first = gateways.remove(0);
    wait_for_all_versions(first.address());
    let begun: Vec<Vec<String>> = (0..STREAMS)
        .map(|number| versions_in(&begin(first.address(), &format!("a{number}"))))
        .collect();
    drop(first);
    let continued = begun.iter().enumerate().filter(|(number, begun)| {
        let gateway = gateways[number % gateways.len()].address();
        let answer = resume(
            gateway,
            &format!("b{number}"),
            &format!("a{number}"),
            begun.len(),
        );
        let versions = [(*begun).clone(), versions_in(&answer)].concat();
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{versions:?}"
        );
        answer.is_complete
    });
    let continued = continued.count();
    assert!(continued > STREAMS / 2, "{continued} of {STREAMS} went on");
}

// Guards against streams that began before a second version was there, and are unknown once it is.
#[test]
fn a_stream_that_began_while_one_version_served_goes_on_there_beside_another_version() {
    let route = Route {
        max_attempts: 1,
        ..route("/a/", RESUMABLE)
    };
    let store = FakeStore::default();
    store.put_configuration(configuration(1, vec![route]));
    let old = versioned_endpoint("v1");
    store.put_endpoint(endpoint_with_version("v1", "old", old.address));
    let gateways = start_gateways(&store, 2);
    let begun = versions_in(&begin(gateways[0].address(), "a"));
    assert_eq!(begun, ["v1", "v1"]);
    for number in 0..3 {
        let fake = versioned_endpoint("v2");
        store.put_endpoint(endpoint_with_version(
            "v2",
            &format!("new{number}"),
            fake.address,
        ));
    }
    wait_for_all_versions(gateways[1].address());
    let answer = resume(gateways[1].address(), "b", "a", begun.len());
    assert_eq!(versions_in(&answer), ["v1", "v1"]);
    assert!(answer.is_complete);
}

// Guards against a stream that goes on at another version when none of its own serves any more.
#[test]
fn a_stream_whose_version_no_longer_serves_is_refused_at_once() {
    let route = Route {
        max_attempts: 1,
        ..route("/a/", RESUMABLE)
    };
    let store = store_with(route);
    let gateways = start_gateways(&store, 1);
    let begun = versions_in(&begin(gateways[0].address(), "a"));
    delete_endpoints(&store, &begun[0]);
    wait_until("a refusal", || {
        resume(gateways[0].address(), "b", "a", begun.len()).status == 503
    });
    let asked = Instant::now();
    assert_eq!(resume(gateways[0].address(), "c", "a", 2).status, 503);
    assert!(asked.elapsed() < MAX_REFUSAL_TIME);
}

// Guards against streams that are joined from two versions after all gateways, and with them what they knew of the streams, were
// gone: the version that is left, or the only one that a new gateway has seen, may not be the one that began them.
#[test]
fn no_stream_is_joined_from_two_versions_after_all_gateways_were_gone() {
    // Versions that serve before and after.
    let cases: [(&[&'static str], &[&'static str]); 4] = [
        (&VERSIONS, &VERSIONS),
        (&VERSIONS, &["v2"]),
        (&["v1"], &["v2"]),
        (&["v1"], &VERSIONS),
    ];
    let route = Route {
        max_attempts: 1,
        ..route("/a/", RESUMABLE)
    };
    for (before, after) in cases {
        let store = FakeStore::default();
        store.put_configuration(configuration(1, vec![route.clone()]));
        before
            .iter()
            .for_each(|version| put_endpoints(&store, version));
        let gateways = start_gateways(&store, 2);
        let begun: Vec<Vec<String>> = (0..STREAMS)
            .map(|number| {
                let gateway = gateways[number % gateways.len()].address();
                versions_in(&begin(gateway, &format!("a{number}")))
            })
            .collect();
        end_all(gateways);
        for version in VERSIONS {
            match (before.contains(&version), after.contains(&version)) {
                (true, false) => delete_endpoints(&store, version),
                (false, true) => put_endpoints(&store, version),
                _ => {}
            }
        }
        let gateways = start_gateways(&store, 2);
        for (number, begun) in begun.iter().enumerate() {
            let gateway = gateways[number % gateways.len()].address();
            let (id, first) = (format!("b{number}"), format!("a{number}"));
            let answer = resume(gateway, &id, &first, begun.len());
            let versions = [begun.clone(), versions_in(&answer)].concat();
            let is_joined = versions.iter().any(|version| *version != versions[0]);
            assert!(!is_joined, "{before:?} {after:?}: {versions:?}");
        }
    }
}

// Guards against streams that the gateway resumes within one answer at an endpoint of another software version.
#[test]
fn a_stream_that_breaks_goes_on_within_its_answer_at_the_version_that_began_it() {
    // Three of them decide, and the fourth asks them.
    let gateways = start_gateways(&store_with(route("/a/", RESUMABLE)), 4);
    for gateway in &gateways {
        gateway.wait_for_retry_budget();
    }
    wait_for_all_versions(gateways[0].address());
    let answers = (0..STREAMS).map(|number| {
        let gateway = gateways[number % gateways.len()].address();
        begin(gateway, &format!("a{number}"))
    });
    let answers: Vec<Answer> = answers.collect();
    let mixed = answers
        .iter()
        .map(versions_in)
        .filter(|versions| versions.iter().any(|version| *version != versions[0]));
    let mixed: Vec<_> = mixed.collect();
    assert!(mixed.is_empty(), "{} of {STREAMS}: {mixed:?}", mixed.len());
    let whole = answers.iter().filter(|answer| answer.is_complete).count();
    assert!(whole > STREAMS / 2, "{whole} of {STREAMS} went on");
}
