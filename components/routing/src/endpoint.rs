//! What a node knows of one endpoint.

use std::time::Duration;

use schema::settings::{Endpoint, PriceClass};

/// One reading of an endpoint's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// When it was taken, on this node's clock.
    pub at: Duration,
}

/// Everything that routing weighs about an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// What the configuration says of it.
    pub spec: Endpoint,
    /// Its latest reading.
    pub reading: Reading,
    /// Requests of this node that run there.
    pub own: u32,
    /// [`EndpointState::own`] when the reading was taken.
    pub own_at_reading: u32,
    /// When its VM goes away; set once and never taken back in this incarnation.
    pub leaving_at: Option<Duration>,
    /// Until when it is passed over after failures.
    pub suspected_until: Duration,
    /// Failures in a row.
    pub failures: u32,
}

impl EndpointState {
    /// An endpoint of which nothing is known yet.
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

    /// Whether new work may go there.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.leaving_at.is_none() && now >= self.suspected_until
    }

    /// Whether its VM can be reclaimed.
    pub fn is_reclaimable(&self) -> bool {
        self.spec.price_class == PriceClass::RECLAIMABLE
    }

    /// Requests there by the reading, corrected for what this node has sent and seen end since.
    pub fn load(&self) -> u32 {
        let read = self.reading.running + self.reading.queued;
        (read + self.own)
            .saturating_sub(self.own_at_reading)
            .max(self.own)
    }

    /// Takes a reading unless a newer one is known.
    pub fn take_reading(&mut self, reading: Reading) {
        if reading.at >= self.reading.at {
            self.reading = reading;
            self.own_at_reading = self.own;
        }
    }
}
