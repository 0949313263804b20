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

/// One start of one endpoint: with the same id at another `born` it is another process, which holds and knows nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id, which it may keep when it starts again.
    pub id: String,
    /// When it started by its own clock, in milliseconds since 1970; `None` if it doesn't say. It only tells starts apart: the
    /// clock may step, so a lower one is as good as a higher one.
    pub born_ms: Option<u64>,
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
    /// Whether another record of this id speaks of the same process.
    pub fn is_same_start(&self, other: &Endpoint) -> bool {
        let owner = |endpoint: &Endpoint| (endpoint.born_ms, endpoint.address);
        owner(self) == owner(other) && self.service == other.service
    }

    /// Whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}
