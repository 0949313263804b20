//! The state that a node keeps of one endpoint.

use std::time::Duration;

use schema::settings::{Endpoint, PriceClass};

/// A reading of an endpoint's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Requests that run at the endpoint.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub queued: u32,
    /// Time of the reading, on this node's clock.
    pub at: Duration,
}

/// Configuration, load and health of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Its entry in the configuration.
    pub spec: Endpoint,
    /// Latest load reading.
    pub reading: Reading,
    /// Requests of this node that are in flight there.
    pub own: u32,
    /// [`EndpointState::own`] when the reading was taken.
    pub own_at_reading: u32,
    /// Time its VM goes away; cleared only when the VM is replaced.
    pub leaving_at: Option<Duration>,
    /// End of the time for which it is skipped after failures.
    pub suspected_until: Duration,
    /// Consecutive failures.
    pub failures: u32,
}

impl EndpointState {
    /// Creates the state of an endpoint without readings or requests.
    pub fn new(spec: Endpoint) -> Self {
        EndpointState {
            spec,
            reading: Reading::default(),
            own: 0,
            own_at_reading: 0,
            leaving_at: None,
            suspected_until: Duration::ZERO,
            failures: 0,
        }
    }

    /// Whether new requests may be sent there.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.leaving_at.is_none() && now >= self.suspected_until
    }

    /// Whether its VM can be reclaimed.
    pub fn is_reclaimable(&self) -> bool {
        self.spec.price_class == PriceClass::RECLAIMABLE
    }

    /// Returns the requests expected there: those of the latest reading, corrected by what this
    /// node has sent and seen end since.
    pub fn load(&self) -> u32 {
        let read = self.reading.running + self.reading.queued;
        (read + self.own)
            .saturating_sub(self.own_at_reading)
            .max(self.own)
    }

    /// Records a reading unless a newer one is known.
    pub fn take_reading(&mut self, reading: Reading) {
        if reading.at >= self.reading.at {
            self.reading = reading;
            self.own_at_reading = self.own;
        }
    }
}
