//! A gateway's part of the link between two regions.
//!
//! Nobody hands the link out: each gateway that decides keeps to a part that it reckons from what all of them know,
//! so that the parts of all never add up to more than the link carries. A region's requests go one way and their
//! answers the other, where the other region's requests go as well; so both count on both ways.

use std::time::Duration;

/// Part of the link that requests and their answers may use together. The rest is for what must not wait behind them:
/// the configuration, keys and endpoints, the lease, and messages between coordinators.
const REQUESTS_PART: f64 = 0.5;
/// Part of that for gateways that decide alone, which nobody can count.
const ALONE_PART: f64 = 0.25;
/// Time that a part may be saved up for: a request of many bytes passes, and the link is not behind for longer.
const BURST: Duration = Duration::from_secs(1);
/// Gain asked for each thousand bytes when half of the part is left, in milliseconds: chosen, so that the largest
/// requests of the sheets (72 KB) gain as much as the way itself (60 ms).
const GAIN_MS_PER_KB: f64 = 0.8;

/// Who keeps to a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// A coordinator, beside the others of both regions; so many there are at most.
    Coordinator(usize),
    /// A gateway that decides without any coordinator; so many gateways there may be in both regions.
    Alone(usize),
}

/// Bytes a second of a decider's part of a link that carries `kbit` kilobits a second each way.
pub fn link_part_bytes_per_s(kbit: u64, decider: Decider) -> f64 {
    let bytes = kbit as f64 * 125.0 * REQUESTS_PART;
    match decider {
        Decider::Coordinator(most) => bytes * (1.0 - ALONE_PART) / most.max(1) as f64,
        Decider::Alone(gateways) => bytes * ALONE_PART / gateways.max(1) as f64,
    }
}

/// What is left of a part.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    // Bytes a second.
    rate: f64,
    // Bytes; below zero when a request larger than the whole passed.
    level: f64,
    filled_at: Duration,
}

impl LinkBudget {
    /// A part of so many bytes a second. Nothing is saved up at first: a process that starts again takes no second
    /// helping.
    pub fn new(now: Duration, rate: f64) -> Self {
        LinkBudget {
            rate: rate.max(1.0),
            level: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate. What is saved up stays, up to the new size.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.fill(now);
        self.rate = rate.max(1.0);
        self.level = self.level.min(self.size());
    }

    /// Bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether a request of so many bytes may pass now. One larger than the whole part passes when nothing was used.
    pub fn has_room(&mut self, now: Duration, bytes: u64) -> bool {
        self.fill(now);
        self.level >= self.wanted(bytes)
    }

    /// What a request of so many bytes must gain to pass while there is another place for it, in milliseconds: more
    /// for each byte the less is left, so that those of least bytes for their gain pass first.
    pub fn min_gain_ms(&mut self, now: Duration, bytes: u64) -> f64 {
        if !self.has_room(now, bytes) {
            return f64::INFINITY;
        }
        let left = ((self.level - self.wanted(bytes)) / self.size()).max(f64::MIN_POSITIVE);
        bytes as f64 / 1000.0 * GAIN_MS_PER_KB * (1.0 / left - 1.0)
    }

    /// A request passes.
    pub fn take(&mut self, now: Duration, bytes: u64) {
        self.fill(now);
        self.level -= bytes as f64;
    }

    /// Time until a request of so many bytes may pass.
    pub fn time_until_room(&mut self, now: Duration, bytes: u64) -> Duration {
        self.fill(now);
        let lacking = (self.wanted(bytes) - self.level).max(0.0);
        Duration::from_secs_f64(lacking / self.rate)
    }

    fn size(&self) -> f64 {
        self.rate * BURST.as_secs_f64()
    }

    fn wanted(&self, bytes: u64) -> f64 {
        (bytes as f64).min(self.size())
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        self.level = (self.level + passed * self.rate).min(self.size());
    }
}
