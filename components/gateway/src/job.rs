//! An admitted request and its attempts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use directory::Route;
use http::request;
use quarantine::Fingerprint;
use routing::placement::{Placement, Work};

use crate::buffers::KeptBody;
use crate::caller::Caller;
use crate::ports::CallerHead;
use crate::versions::{is_lost_when_cut, route_hash, RequestTraits};

/// Number of route ranks within each rank of a tenant.
pub(crate) const ROUTE_RANKS: u8 = 3;

/// Upper limit of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// A request that was admitted.
#[derive(Debug)]
pub(crate) struct Job {
    /// Head of the request as the caller sent it.
    pub parts: request::Parts,
    /// Values read from the head.
    pub head: CallerHead,
    /// Body, kept while the request may be sent again.
    pub body: KeptBody,
    /// Connection that the request came on.
    pub caller: Rc<Caller>,
    /// Fingerprint of the content, the same for each retry by its caller.
    pub content: Fingerprint,
    /// Fingerprints of the prompt's parts that other requests may share, which are all but the last.
    pub shared_parts: Vec<Fingerprint>,
    /// Whether it is sent as a trial of parts that are held back.
    pub is_trial: Cell<bool>,
    /// Whether the route requires a key.
    pub needs_key: bool,
    /// Route.
    pub route: Route,
    /// Tenant that the request's key belongs to.
    pub tenant: Option<String>,
    /// Cost in units of the tenant's limit.
    pub cost: u64,
    /// Rank for engines; 0 is the most urgent.
    pub priority: u8,
    /// Work to place.
    pub work: Work,
    /// Whether the endpoints are engines.
    pub is_engine: bool,
    /// Connections that each endpoint accepts from all gateways together.
    pub max_connections: u32,
    /// When the head was read.
    pub arrived: Duration,
    /// Deadline of the final answer.
    pub expiry: Duration,
    /// Version of the configuration that admitted the request.
    pub version: u64,
}

impl Job {
    /// The request's properties that decide which version runs it.
    pub fn request_traits(&self) -> RequestTraits<'static> {
        RequestTraits {
            route: route_hash(&self.route.name),
            is_lost_when_cut: is_lost_when_cut(&self.route),
            home_region: 0,
            required_version: None,
            can_continue: self.can_continue(),
        }
    }

    /// Ids of the prompt's parts for log lines, the first ones only.
    pub fn logged_parts(&self) -> String {
        let parts = self.work.parts.iter().take(MAX_LOGGED_PARTS);
        let ids: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// Whether the answer is a stream that another endpoint may continue.
    pub fn can_continue(&self) -> bool {
        let execution = self.route.execution;
        execution.is_stream() && execution.is_repeatable()
    }

    /// Whether the request has precedence when its tenant's limit is nearly used up.
    pub fn is_urgent(&self) -> bool {
        self.route.priority + 1 < ROUTE_RANKS
    }
}

/// A job shared by the tasks that work on it.
pub(crate) type SharedJob = Rc<Job>;

impl Progress {
    /// Whether the request may go to a chosen endpoint. A coordinator of an earlier build does not know which version is
    /// required.
    pub fn allows_version_of(&self, placement: &Placement) -> bool {
        self.required_version.is_none() || self.required_version == placement.version
    }
}

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Endpoints that are excluded from further attempts.
    pub tried: Vec<String>,
    /// Number of times the request was sent.
    pub sent: u32,
    /// Number of sends that weren't granted, to endpoints that announced a limit.
    pub ungranted: usize,
    /// Whether any endpoint may have run the request.
    pub maybe_run: bool,
    /// Version of endpoint software that began the stream, once an event of it was forwarded or if the caller continues it; no
    /// other may run the request.
    pub required_version: Option<String>,
    /// Coordinator that charged the tenant; `None` if this gateway did.
    pub charged_by: Option<SocketAddr>,
}
