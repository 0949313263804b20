//! One version of the configuration, as typed values.

use std::collections::BTreeMap;
use std::time::Duration;

/// Everything that operators set for callers and endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; later ones are higher, not always by one.
    pub version: u64,
    /// Routes by which requests find their service.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Tenants; without any, requests need no key.
    pub tenants: Vec<Tenant>,
    /// Bounds on what callers send.
    pub bounds: CallerBounds,
}

/// Whether and how a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events; a resumable one may go on at another endpoint.
    Stream {
        /// Whether another run may go on after the last event.
        resumable: bool,
    },
}

impl Execution {
    /// Whether a second run is allowed after a first one that may have begun.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            Execution::Repeatable | Execution::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Execution::Stream { .. })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Path prefix, from slash to slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub execution: Execution,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub target: Duration,
    /// Longest pause between events that is in time.
    pub gap_target: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub split: Vec<Share>,
    /// Most endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service's weight within a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight against the other shares.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that each endpoint accepts from all gateways together.
    pub max_connections: u32,
    /// Set if its endpoints are model engines.
    pub engine: Option<Engine>,
    /// Set if its endpoints can be ordered.
    pub scaling: Option<Scaling>,
}

/// What model engines can do.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory for prompts and answers holds.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// How endpoints are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Least endpoints in each zone, both price classes together.
    pub min_per_zone: u32,
    /// Most endpoints in each zone, both price classes together.
    pub max_per_zone: u32,
    /// Time until an ordered endpoint serves.
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint as a part of an on-demand one's, if there are any.
    pub relative_reclaimable_price: Option<f64>,
    /// Price of an on-demand endpoint a second, by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name that endpoints see.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank before that of the route, 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit over all gateways, if it has one.
    pub quota: Option<Quota>,
}

/// A tenant's limit over all gateways, in tokens if `plain_cost` is set, else in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate.
    pub burst: f64,
    /// Tokens that a request without a token count costs.
    pub default_token_cost: Option<u64>,
}

/// Bounds on what callers send and on how long they pause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a head may take.
    pub head_timeout: Duration,
    /// Longest time that a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    fn default() -> Self {
        CallerBounds {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
