//! Which way a request takes, for operators who read their routes.

use std::collections::BTreeMap;
use std::fmt;

use crate::configuration::{Execution, Route};
use crate::endpoint::Endpoint;
use crate::lookup::Directory;

/// The way that requests for a host and path take.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Version of the configuration.
    pub version: u64,
    /// The route, or why there is none.
    pub outcome: Result<Way, NoWay>,
    /// Region by data hall, as far as it is known.
    pub regions: BTreeMap<String, String>,
}

/// A route and what stands behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct Way {
    /// The route: of those that fit, the one with the longest prefix.
    pub route: Route,
    /// Names and prefixes of the other routes that fit, the longest first.
    pub passed_over: Vec<String>,
    /// Whether a request needs a key.
    pub needs_key: bool,
    /// Its services, in the order of the route.
    pub services: Vec<ServiceShare>,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Its name.
    pub name: String,
    /// Part of the requests that goes there, in thousandths.
    pub milli: u64,
    /// Ready endpoints by data hall.
    pub ready: BTreeMap<String, usize>,
}

/// Why a request finds no route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoWay {
    /// No route names the host.
    UnknownHost,
    /// Prefixes of the host's routes, none of which begins the path.
    NoPrefix(Vec<String>),
}

impl Directory {
    /// Explains the way of requests for a host and path, given all endpoints.
    pub fn explain(&self, host: &str, path: &str, endpoints: &[Endpoint]) -> Explanation {
        Explanation {
            version: self.configuration().version,
            outcome: self.way(host, path, endpoints),
            regions: BTreeMap::new(),
        }
    }

    fn way(&self, host: &str, path: &str, endpoints: &[Endpoint]) -> Result<Way, NoWay> {
        let routes = self.routes_of(host).ok_or(NoWay::UnknownHost)?;
        let mut fitting = routes
            .iter()
            .filter(|route| path.starts_with(&route.prefix));
        let Some(route) = fitting.next() else {
            let prefixes = routes.iter().map(|route| route.prefix.clone());
            return Err(NoWay::NoPrefix(prefixes.collect()));
        };
        let passed_over = fitting.map(|route| format!("{} {}", route.name, route.prefix));
        let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
        let services = route.split.iter().map(|share| ServiceShare {
            name: share.service.clone(),
            milli: u64::from(share.weight) * 1000 / total.max(1),
            ready: ready_by_hall(&share.service, endpoints),
        });
        Ok(Way {
            route: (*route).clone(),
            passed_over: passed_over.collect(),
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
            Ok(way) => way.show(f, &self.regions),
            Err(NoWay::UnknownHost) => writeln!(f, "no route: no route names this host"),
            Err(NoWay::NoPrefix(prefixes)) => {
                writeln!(f, "no route: none of these prefixes begins the path")?;
                prefixes.iter().try_for_each(|p| writeln!(f, "  {p}"))
            }
        }
    }
}

impl Way {
    fn show(&self, f: &mut fmt::Formatter<'_>, regions: &BTreeMap<String, String>) -> fmt::Result {
        let route = &self.route;
        writeln!(
            f,
            "route {}: host {}, prefix {}",
            route.name, route.host, route.prefix
        )?;
        for other in &self.passed_over {
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
                service.name, service.milli
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
