//! One admitted request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use directory::Route;
use http::request;
use quarantine::Fingerprint;
use routing::placement::Work;

use crate::buffers::KeptBody;
use crate::caller::Caller;
use crate::ports::CallerHead;
use crate::versions::{is_lost_when_cut, route_hash, Asked};

/// Ranks of a route within one rank of its tenant.
pub(crate) const ROUTE_RANKS: u8 = 3;

/// A request on its way to an endpoint.
#[derive(Debug)]
pub(crate) struct Job {
    /// Head as the caller sent it.
    pub parts: request::Parts,
    /// What was read of it.
    pub head: CallerHead,
    /// Whole body, while it may be sent once more.
    pub body: KeptBody,
    /// Whose request it is.
    pub caller: Rc<Caller>,
    /// What it asks for, the same for each try of its caller.
    pub content: Fingerprint,
    /// Whether it is served for its key only.
    pub needs_key: bool,
    /// Its route.
    pub route: Route,
    /// Tenant whose key it carries.
    pub tenant: Option<String>,
    /// What it takes of its tenant's limit.
    pub cost: u64,
    /// Rank for engines, 0 is the most urgent.
    pub priority: u8,
    /// What is to be placed.
    pub work: Work,
    /// Whether its endpoints are engines.
    pub engine: bool,
    /// Connections that each endpoint accepts of all gateways together.
    pub max_connections: u32,
    /// When its head was read.
    pub arrived: Duration,
    /// When its final answer is due.
    pub expiry: Duration,
    /// Version of the configuration that it was admitted under.
    pub version: u64,
}

impl Job {
    /// What matters for the version that runs it.
    pub fn asked(&self) -> Asked {
        Asked {
            route: route_hash(&self.route.name),
            is_lost_when_cut: is_lost_when_cut(&self.route),
            home_region: 0,
        }
    }

    /// Whether it comes first where its tenant's limit is short.
    pub fn is_urgent(&self) -> bool {
        self.route.priority + 1 < ROUTE_RANKS
    }
}

/// A job shared by the tasks that work on it.
pub(crate) type SharedJob = Rc<Job>;

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Endpoints that were tried.
    pub tried: Vec<String>,
    /// Times that it was sent.
    pub sent: u32,
    /// Times that a send to an endpoint that names a limit was not granted.
    pub ungranted: usize,
    /// Whether some endpoint may have run it.
    pub maybe_run: bool,
    /// The coordinator that charged its tenant; none if that was done here.
    pub charged_by: Option<SocketAddr>,
}
