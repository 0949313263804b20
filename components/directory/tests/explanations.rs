//! Explanations of routes for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use directory::{
    Configuration, Directory, Endpoint, EndpointState, Execution, NoRouteReason, Route, Share,
    Tenant,
};

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let split = split.iter().map(|(service, weight)| Share {
        service: service.to_string(),
        weight: *weight,
    });
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        execution: Execution::Stream { resumable: false },
        timeout: Duration::from_secs(12),
        target: Duration::from_millis(800),
        gap_target: None,
        priority: 1,
        split: split.collect(),
        max_attempts: 2,
        public: false,
    }
}

fn directory() -> Directory {
    let tenant = Tenant {
        name: "t".into(),
        keys: vec!["k".into()],
        priority: None,
        quota: None,
    };
    Directory::new(Arc::new(Configuration {
        version: 7,
        routes: vec![
            route("all", "/x/", &[("old", 1)]),
            route("chat", "/x/chat/", &[("old", 1), ("new", 3)]),
        ],
        tenants: vec![tenant],
        ..Configuration::default()
    }))
}

fn endpoint(id: &str, service: &str, hall: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        born_ms: None,
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: hall.into(),
        slots: 1,
        state,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

#[test]
fn the_route_with_the_longest_prefix_is_explained_with_its_services_and_endpoints_by_hall() {
    let endpoints = [
        endpoint("1", "new", "north", EndpointState::Ready),
        endpoint("2", "new", "north", EndpointState::Ready),
        endpoint(
            "3",
            "new",
            "south",
            EndpointState::Draining { leaves_in: None },
        ),
        endpoint("4", "old", "south", EndpointState::Ready),
    ];
    let explanation = directory().explain("A.example:80", "/x/chat/1", &endpoints);
    let route = explanation.outcome.unwrap();
    assert_eq!(route.route.name, "chat");
    assert_eq!(route.shorter_matches, ["all /x/"]);
    assert!(route.needs_key);
    let shares: Vec<u64> = route.services.iter().map(|s| s.share_milli).collect();
    assert_eq!(shares, [250, 750]);
    assert_eq!(
        route.services[1].ready,
        BTreeMap::from([("north".to_string(), 2)])
    );
}

#[test]
fn without_a_matching_route_the_prefixes_of_the_host_are_listed() {
    let directory = directory();
    let explain = |host: &str, path: &str| directory.explain(host, path, &[]).outcome;
    let prefixes = vec!["/x/chat/".to_string(), "/x/".to_string()];
    assert_eq!(
        explain("a.example", "/y/"),
        Err(NoRouteReason::NoPrefix(prefixes))
    );
    assert_eq!(explain("b.example", "/x/"), Err(NoRouteReason::UnknownHost));
}

#[test]
fn a_route_is_printed_line_by_line() {
    let endpoints = [endpoint("1", "new", "north", EndpointState::Ready)];
    let shown = directory()
        .explain("a.example", "/x/chat/1", &endpoints)
        .to_string();
    let lines: Vec<&str> = shown.lines().collect();
    let expected = [
        "configuration version 7",
        "route chat: host a.example, prefix /x/chat/",
        "  fits too, with a shorter prefix: all /x/",
        "  needs a key; stream; rank 1; at most 2 endpoints a request",
        "  target 800 ms, ends at 12000 ms",
        "service old: 250 of 1000 requests, 0 endpoints ready",
        "service new: 750 of 1000 requests, 1 endpoints ready",
        "  north: 1",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn halls_are_printed_with_their_regions_if_known() {
    let endpoints = [endpoint("e1", "old", "north", EndpointState::Ready)];
    let mut explanation = directory().explain("a.example", "/x/chat/1", &endpoints);
    let hall = endpoints[0].zone.clone();
    assert!(explanation.to_string().contains(&format!("  {hall}: 1\n")));
    explanation.regions = [(hall.clone(), "r1".to_string())].into();
    let shown = explanation.to_string();
    assert!(shown.contains(&format!("  {hall} in r1: 1\n")), "{shown}");
}
