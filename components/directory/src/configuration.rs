//! Typed values of one configuration version.

use std::collections::BTreeMap;
use std::time::Duration;

/// Everything that operators set for callers and endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number. It increases with each configuration, not always by one.
    pub version: u64,
    /// Routes that map requests to services.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Tenants; if there are none, requests need no key.
    pub tenants: Vec<Tenant>,
    /// Limits on what callers send.
    pub bounds: CallerBounds,
}

/// Whether and how a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events.
    Stream {
        /// Whether a run at another endpoint may resume the stream after the last event.
        resumable: bool,
    },
}

impl Execution {
    /// Whether a request may run again after a run that may have begun.
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
    /// Name, used in logs.
    pub name: String,
    /// Host that the route serves.
    pub host: String,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// Whether and how requests may run more than once.
    pub execution: Execution,
    /// Time after which a request is ended.
    pub timeout: Duration,
    /// Latency target of an answer.
    pub target: Duration,
    /// Target for the longest gap between events of a stream.
    pub gap_target: Option<Duration>,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<Share>,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service's weight within a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections that each endpoint accepts from all gateways together.
    pub max_connections: u32,
    /// Set if the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Set if endpoints can be ordered.
    pub scaling: Option<Scaling>,
}

/// Capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the cache for prompts and answers, in tokens.
    pub cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Limits and prices for ordering endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of endpoints in each zone, both price classes together.
    pub min_per_zone: u32,
    /// Maximum number of endpoints in each zone, both price classes together.
    pub max_per_zone: u32,
    /// Time from the order of an endpoint until it serves.
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint relative to an on-demand one; `None` if there are no reclaimable endpoints.
    pub relative_reclaimable_price: Option<f64>,
    /// Price of an on-demand endpoint per second, by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name that is passed to endpoints.
    pub name: String,
    /// API keys of the tenant's callers.
    pub keys: Vec<String>,
    /// Priority rank that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Rate limit over all gateways, if any.
    pub quota: Option<Quota>,
}

/// A tenant's rate limit over all gateways, in tokens if `default_token_cost` is set, else in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Burst: units in excess of the rate.
    pub burst: f64,
    /// Cost in tokens of a request without a token count.
    pub default_token_cost: Option<u64>,
}

/// Limits on the size of requests and on how long callers may take or idle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
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
