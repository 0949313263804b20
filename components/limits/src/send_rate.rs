//! The rate limit that an endpoint declares.

/// Requests per second that an endpoint accepts from all gateways together; finite, 0 or more.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct SendRate(f64);

impl SendRate {
    /// `None` if the number is negative, infinite or NaN.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(SendRate(per_s))
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}
