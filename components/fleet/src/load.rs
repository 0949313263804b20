//! The load of a service, in endpoints that would be busy all the time.

/// An engine reads prompts and makes tokens in the same steps: of the smaller of the two loads only
/// this part comes on top.
const BESIDE_PART: f64 = 0.3;
/// Part of the slots of a service that its requests should need at most: gateways choose by gossip that
/// are a little old, so some endpoints run full while others have room.
const SLOTS_USED: f64 = 0.7;

/// What is asked of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Tokens of prompts that are to be read in a second.
    pub tokens_per_s: f64,
    /// Tokens that one endpoint reads in a millisecond; `None` while that is not known, and if it reads
    /// none.
    pub rate: Option<f64>,
    /// Requests at the endpoints.
    pub requests: u32,
    /// Requests that one endpoint works on at once.
    pub slots: u32,
}

impl Load {
    /// Endpoints that would be busy all the time.
    pub fn endpoints(self) -> f64 {
        let reading = self
            .rate
            .map_or(0.0, |rate| self.tokens_per_s / 1000.0 / rate);
        let usable_slots = f64::from(self.slots.max(1)) * SLOTS_USED;
        let holding = f64::from(self.requests) / usable_slots;
        reading.max(holding) + BESIDE_PART * reading.min(holding)
    }
}
