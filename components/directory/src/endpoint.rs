//! One endpoint as it recorded itself.

use std::net::SocketAddr;
use std::time::Duration;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes what it has and leaves.
    Draining {
        /// Time left when it said so, if it said.
        leaves_in: Option<Duration>,
    },
}

/// One start of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique id of this start.
    pub id: String,
    /// Service it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Whether it may be taken away at short notice.
    pub reclaimable: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Version of its software.
    pub version: String,
}

impl Endpoint {
    /// Whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}
