//! The rate at which an endpoint takes requests.

/// Requests a second that an endpoint takes of all gateways together; 0 or more.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct SendRate(f64);

impl SendRate {
    /// `None` for what is no rate: a negative or infinite number, or none at all.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(SendRate(per_s))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}
