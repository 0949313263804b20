//! An endpoint, as recorded by itself.

use std::net::SocketAddr;
use std::time::Duration;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new work.
    Ready,
    /// Finishes its requests and leaves.
    Draining {
        /// Time until it leaves, counted from its record, if known.
        leaves_in: Option<Duration>,
    },
}

/// One start of one endpoint. The same id with another `born_ms` is another process without any state of the earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of the endpoint, which may stay the same after a restart.
    pub id: String,
    /// Start time on the endpoint's wall clock, in milliseconds since 1970; `None` if not reported. It only distinguishes
    /// starts and does not order them, since the clock may step.
    pub born_ms: Option<u64>,
    /// Service that it runs.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Whether its VM may be reclaimed at short notice.
    pub reclaimable: bool,
    /// Remaining time during which it is slow after its start.
    pub cold: Duration,
    /// Version of its software.
    pub version: String,
}

impl Endpoint {
    /// Whether another record with this id belongs to the same process.
    pub fn is_same_start(&self, other: &Endpoint) -> bool {
        let owner = |endpoint: &Endpoint| (endpoint.born_ms, endpoint.address);
        owner(self) == owner(other) && self.service == other.service
    }

    /// Whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}
