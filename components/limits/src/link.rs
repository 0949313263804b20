//! A gateway's part of the bandwidth of the link between two regions.
//!
//! The bandwidth is not assigned centrally: each gateway that places requests computes its part from figures that all
//! gateways know, so that the parts never add up to more than the link carries. A region's requests travel in one
//! direction and their answers in the other, together with the other region's requests, so the bytes of both count in
//! both directions.

use std::time::Duration;

/// Part of the link for requests and their answers together. The rest is for traffic that must not be queued behind
/// them: the configuration, keys and endpoints, the lease, and messages between coordinators.
const REQUEST_PART: f64 = 0.5;
/// Part of [`REQUEST_PART`] for gateways that place requests without a coordinator; how many do so is not known.
const ALONE_PART: f64 = 0.25;
/// Time for which unused bandwidth is saved up. It lets large requests pass, and bounds how long the link is backlogged.
const BURST: Duration = Duration::from_secs(1);
/// Gain in milliseconds that is required per 1,000 bytes when half of the saved-up bytes are left: the largest requests
/// of the workload sheets (72 KB) must then gain as much as the network delay between the regions (60 ms).
const GAIN_MS_PER_KB: f64 = 0.8;

/// The kind of gateway that uses a part of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// A coordinator. The number is the maximum number of coordinators in both regions.
    Coordinator(usize),
    /// A gateway that places requests without a coordinator. The number is the maximum number of gateways in both regions.
    Alone(usize),
}

/// Bytes per second of one gateway's part of a link that carries `kbit` kilobits per second in each direction.
pub fn link_part_bytes_per_s(kbit: u64, decider: Decider) -> f64 {
    let bytes = kbit as f64 * 125.0 * REQUEST_PART;
    match decider {
        Decider::Coordinator(max_coordinators) => {
            bytes * (1.0 - ALONE_PART) / max_coordinators.max(1) as f64
        }
        Decider::Alone(gateways) => bytes * ALONE_PART / gateways.max(1) as f64,
    }
}

/// A token bucket of bytes for one gateway's part of a link.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    // Negative after a request larger than the capacity passed.
    level_bytes: f64,
    refilled_at: Duration,
}

impl LinkBudget {
    /// An empty bucket with this rate. It starts empty, so that a process that restarts does not get a second burst.
    pub fn new(now: Duration, bytes_per_s: f64) -> Self {
        LinkBudget {
            bytes_per_s: bytes_per_s.max(1.0),
            level_bytes: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate. The saved-up bytes stay, up to the new capacity.
    pub fn set_rate(&mut self, now: Duration, bytes_per_s: f64) {
        self.refill(now);
        self.bytes_per_s = bytes_per_s.max(1.0);
        self.level_bytes = self.level_bytes.min(self.capacity_bytes());
    }

    /// The rate.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Whether a request of this size may pass now. One larger than the capacity passes when the bucket is full.
    pub fn has_room(&mut self, now: Duration, bytes: u64) -> bool {
        self.refill(now);
        self.level_bytes >= self.required_bytes(bytes)
    }

    /// Minimum gain, in milliseconds, for which a request of this size may use the link although it could also run in
    /// its own region; infinite if there is no room. The gain required per byte grows as the bucket empties, so that
    /// requests with a high gain per byte pass first.
    pub fn min_gain_ms(&mut self, now: Duration, bytes: u64) -> f64 {
        if !self.has_room(now, bytes) {
            return f64::INFINITY;
        }
        let left_part = ((self.level_bytes - self.required_bytes(bytes)) / self.capacity_bytes())
            .max(f64::MIN_POSITIVE);
        bytes as f64 / 1000.0 * GAIN_MS_PER_KB * (1.0 / left_part - 1.0)
    }

    /// Charges a request that uses the link.
    pub fn take(&mut self, now: Duration, bytes: u64) {
        self.refill(now);
        self.level_bytes -= bytes as f64;
    }

    /// Time until a request of this size may pass.
    pub fn time_until_room(&mut self, now: Duration, bytes: u64) -> Duration {
        self.refill(now);
        let missing_bytes = (self.required_bytes(bytes) - self.level_bytes).max(0.0);
        Duration::from_secs_f64(missing_bytes / self.bytes_per_s)
    }

    fn capacity_bytes(&self) -> f64 {
        self.bytes_per_s * BURST.as_secs_f64()
    }

    fn required_bytes(&self, bytes: u64) -> f64 {
        (bytes as f64).min(self.capacity_bytes())
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now.max(self.refilled_at);
        self.level_bytes =
            (self.level_bytes + elapsed * self.bytes_per_s).min(self.capacity_bytes());
    }
}
