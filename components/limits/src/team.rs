//! One node's part of a team's limits: rate, concurrency and spending.

use std::time::Duration;

use crate::bucket::TokenBucket;

/// Time after which to retry when the team's concurrency limit is reached.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(200);
const SECS_PER_HOUR: u64 = 3600;
/// Seconds' worth of its budget that a team may spend at once.
const SPENDING_BURST_SECS: u64 = 60;

/// A node's part of a team's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamLimits {
    /// Requests per second, in thousandths.
    pub rate_milli: u64,
    /// Concurrent requests.
    pub concurrency: u64,
    /// Spending per hour, in thousandths of the currency unit.
    pub budget_milli: u64,
}

/// The limit that refused a request, and the time after which to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Rate limit.
    Rate(Duration),
    /// Concurrency limit.
    Concurrency(Duration),
    /// Spending limit.
    Budget(Duration),
}

impl LimitExceeded {
    /// Time after which to retry.
    pub fn retry_after(self) -> Duration {
        match self {
            LimitExceeded::Rate(d) | LimitExceeded::Concurrency(d) | LimitExceeded::Budget(d) => d,
        }
    }

    /// Name of the limit, as it appears in logs and error messages.
    pub fn limit_name(self) -> &'static str {
        match self {
            LimitExceeded::Rate(_) => "rate",
            LimitExceeded::Concurrency(_) => "concurrency",
            LimitExceeded::Budget(_) => "budget",
        }
    }
}

/// Usage of one team at one node, checked against the node's part of the team's limits.
#[derive(Clone, Debug)]
pub struct TeamMeter {
    limits: TeamLimits,
    rate_bucket: TokenBucket,
    spending_bucket: TokenBucket,
    running: u64,
    demand: u64,
}

impl TeamMeter {
    /// A meter with full buckets.
    pub fn new(now: Duration, limits: TeamLimits) -> Self {
        TeamMeter {
            limits,
            rate_bucket: TokenBucket::new(now, limits.rate_milli),
            spending_bucket: TokenBucket::with_burst(
                now,
                spending_rate_milli(limits),
                SPENDING_BURST_SECS,
            ),
            running: 0,
            demand: 0,
        }
    }

    /// Sets this node's part of the limits.
    pub fn set_limits(&mut self, now: Duration, limits: TeamLimits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.rate_bucket.set_rate(now, limits.rate_milli);
        self.spending_bucket
            .set_rate(now, spending_rate_milli(limits));
    }

    /// Admits a request and charges its estimated cost `cost_milli`, in thousandths of the currency unit, or returns the
    /// limit that refuses it.
    pub fn admit(&mut self, now: Duration, cost_milli: u64) -> Result<(), LimitExceeded> {
        self.demand += 1;
        if self.running >= self.limits.concurrency.max(1) {
            return Err(LimitExceeded::Concurrency(CONCURRENCY_RETRY_AFTER));
        }
        self.rate_bucket.take(now, 1).map_err(LimitExceeded::Rate)?;
        self.spending_bucket
            .take(now, cost_milli)
            .map_err(LimitExceeded::Budget)?;
        self.running += 1;
        Ok(())
    }

    /// Records the end of an admitted request, and refunds the part of its charge that was not spent.
    pub fn release(&mut self, now: Duration, unspent_milli: u64) {
        self.running = self.running.saturating_sub(1);
        self.spending_bucket.give_back(now, unspent_milli);
    }

    /// Requests since the last call, admitted or not: the demand that is reported to other nodes.
    pub fn take_demand(&mut self) -> u64 {
        std::mem::take(&mut self.demand)
    }

    /// Admitted requests that have not ended.
    pub fn running(&self) -> u64 {
        self.running
    }
}

// Rate of the spending bucket, whose unit is a thousandth of the currency unit: thousandths of that unit per second.
fn spending_rate_milli(limits: TeamLimits) -> u64 {
    limits.budget_milli * 1000 / SECS_PER_HOUR
}
