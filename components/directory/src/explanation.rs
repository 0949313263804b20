//! Explains to operators how requests are routed.

use std::collections::BTreeMap;
use std::fmt;

use crate::configuration::{Execution, Route};
use crate::endpoint::Endpoint;
use crate::lookup::Directory;

/// How requests for a host and path are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Configuration version.
    pub version: u64,
    /// The matching route, or why there is none.
    pub outcome: Result<RouteExplanation, NoRouteReason>,
    /// Region by data hall, as far as known; filled in by the caller.
    pub regions: BTreeMap<String, String>,
}

/// A route with its services and their endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteExplanation {
    /// The matching route with the longest prefix.
    pub route: Route,
    /// Names and prefixes of the other matching routes, longest prefix first.
    pub shorter_matches: Vec<String>,
    /// Whether a request needs a key.
    pub needs_key: bool,
    /// The route's services, in its order.
    pub services: Vec<ServiceShare>,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub name: String,
    /// Share of the requests that the service gets, in thousandths.
    pub share_milli: u64,
    /// Number of ready endpoints by data hall.
    pub ready: BTreeMap<String, usize>,
}

/// Why no route matches a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoRouteReason {
    /// No route serves the host.
    UnknownHost,
    /// The path begins with none of these prefixes of the host's routes.
    NoPrefix(Vec<String>),
}

impl Directory {
    /// Explains how requests for a host and path are routed. `endpoints` holds all known endpoints.
    pub fn explain(&self, host: &str, path: &str, endpoints: &[Endpoint]) -> Explanation {
        Explanation {
            version: self.configuration().version,
            outcome: self.explain_route(host, path, endpoints),
            regions: BTreeMap::new(),
        }
    }

    fn explain_route(
        &self,
        host: &str,
        path: &str,
        endpoints: &[Endpoint],
    ) -> Result<RouteExplanation, NoRouteReason> {
        let routes = self
            .routes_for_host(host)
            .ok_or(NoRouteReason::UnknownHost)?;
        let mut matching = routes
            .iter()
            .filter(|route| path.starts_with(&route.prefix));
        let Some(route) = matching.next() else {
            let prefixes = routes.iter().map(|route| route.prefix.clone());
            return Err(NoRouteReason::NoPrefix(prefixes.collect()));
        };
        let shorter_matches = matching.map(|route| format!("{} {}", route.name, route.prefix));
        let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
        let services = route.split.iter().map(|share| ServiceShare {
            name: share.service.clone(),
            share_milli: u64::from(share.weight) * 1000 / total.max(1),
            ready: ready_by_hall(&share.service, endpoints),
        });
        Ok(RouteExplanation {
            route: (*route).clone(),
            shorter_matches: shorter_matches.collect(),
            needs_key: self.needs_key(route),
            services: services.collect(),
        })
    }
}

fn ready_by_hall(service: &str, endpoints: &[Endpoint]) -> BTreeMap<String, usize> {
    let mut ready = BTreeMap::new();
    let of_service = endpoints.iter().filter(|e| e.service == service);
    for endpoint in of_service.filter(|e| e.is_ready()) {
        *ready.entry(endpoint.zone.clone()).or_default() += 1;
    }
    ready
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "configuration version {}", self.version)?;
        match &self.outcome {
            Ok(route) => route.fmt_lines(f, &self.regions),
            Err(NoRouteReason::UnknownHost) => writeln!(f, "no route: no route names this host"),
            Err(NoRouteReason::NoPrefix(prefixes)) => {
                writeln!(f, "no route: none of these prefixes begins the path")?;
                prefixes.iter().try_for_each(|p| writeln!(f, "  {p}"))
            }
        }
    }
}

impl RouteExplanation {
    fn fmt_lines(
        &self,
        f: &mut fmt::Formatter<'_>,
        regions: &BTreeMap<String, String>,
    ) -> fmt::Result {
        let route = &self.route;
        writeln!(
            f,
            "route {}: host {}, prefix {}",
            route.name, route.host, route.prefix
        )?;
        for other in &self.shorter_matches {
            writeln!(f, "  fits too, with a shorter prefix: {other}")?;
        }
        let key = if self.needs_key {
            "needs a key"
        } else {
            "public"
        };
        let kind = match route.execution {
            Execution::Repeatable => "may be repeated",
            Execution::Once => "runs at most once",
            Execution::Stream { resumable: true } => "stream that may go on at another endpoint",
            Execution::Stream { resumable: false } => "stream",
        };
        writeln!(
            f,
            "  {key}; {kind}; rank {}; at most {} endpoints a request",
            route.priority, route.max_attempts
        )?;
        writeln!(
            f,
            "  target {} ms, ends at {} ms",
            route.target.as_millis(),
            route.timeout.as_millis()
        )?;
        for service in &self.services {
            let total: usize = service.ready.values().sum();
            writeln!(
                f,
                "service {}: {} of 1000 requests, {total} endpoints ready",
                service.name, service.share_milli
            )?;
            for (hall, count) in &service.ready {
                match regions.get(hall) {
                    Some(region) => writeln!(f, "  {hall} in {region}: {count}")?,
                    None => writeln!(f, "  {hall}: {count}")?,
                }
            }
        }
        Ok(())
    }
}
