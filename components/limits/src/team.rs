//! The limits of one team at one node: rate, concurrency and spending.

use std::time::Duration;

use crate::bucket::TokenBucket;

/// Time to come back when the team's concurrency is used up.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(200);
const SECONDS_AN_HOUR: u64 = 3600;
/// A team may spend this many seconds' worth of its budget at once.
const SPENDING_BURST_SECS: u64 = 60;

/// A node's part of a team's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamLimits {
    /// Requests a second, in thousandths.
    pub rate_milli: u64,
    /// Requests at once.
    pub concurrency: u64,
    /// Spending an hour, in thousandths of the currency unit.
    pub budget_milli: u64,
}

/// Which limit refused a request, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate.
    Rate(Duration),
    /// The concurrency.
    Concurrency(Duration),
    /// The spending.
    Budget(Duration),
}

impl LimitExceeded {
    /// When to come back.
    pub fn retry_after(self) -> Duration {
        match self {
            LimitExceeded::Rate(d) | LimitExceeded::Concurrency(d) | LimitExceeded::Budget(d) => d,
        }
    }

    /// Name of the limit.
    pub fn limit_name(self) -> &'static str {
        match self {
            LimitExceeded::Rate(_) => "rate",
            LimitExceeded::Concurrency(_) => "concurrency",
            LimitExceeded::Budget(_) => "budget",
        }
    }
}

/// What a team uses at one node.
#[derive(Clone, Debug)]
pub struct TeamMeter {
    limits: TeamLimits,
    rate: TokenBucket,
    spending: TokenBucket,
    running: u64,
    asked: u64,
}

impl TeamMeter {
    /// A meter with full buckets.
    pub fn new(now: Duration, limits: TeamLimits) -> Self {
        TeamMeter {
            limits,
            rate: TokenBucket::new(now, limits.rate_milli),
            spending: TokenBucket::with_burst(now, spending_rate(limits), SPENDING_BURST_SECS),
            running: 0,
            asked: 0,
        }
    }

    /// Sets this node's part of the limits.
    pub fn set_limits(&mut self, now: Duration, limits: TeamLimits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.rate.set_rate(now, limits.rate_milli);
        self.spending.set_rate(now, spending_rate(limits));
    }

    /// Admits a request that will cost about `cost_milli`, or says which limit refuses it.
    pub fn admit(&mut self, now: Duration, cost_milli: u64) -> Result<(), LimitExceeded> {
        self.asked += 1;
        if self.running >= self.limits.concurrency.max(1) {
            return Err(LimitExceeded::Concurrency(CONCURRENCY_RETRY));
        }
        self.rate.take(now, 1).map_err(LimitExceeded::Rate)?;
        self.spending
            .take(now, cost_milli)
            .map_err(LimitExceeded::Budget)?;
        self.running += 1;
        Ok(())
    }

    /// Notes that an admitted request ended; what it cost less than it was charged comes back.
    pub fn release(&mut self, now: Duration, unspent_milli: u64) {
        self.running = self.running.saturating_sub(1);
        self.spending.give_back(now, unspent_milli);
    }

    /// Requests asked for since the last call, admitted or not: the demand reported to other nodes.
    pub fn take_demand(&mut self) -> u64 {
        std::mem::take(&mut self.asked)
    }

    /// Requests running.
    pub fn running(&self) -> u64 {
        self.running
    }
}

// Thousandths of a thousandth of the currency unit a second.
fn spending_rate(limits: TeamLimits) -> u64 {
    limits.budget_milli * 1000 / SECONDS_AN_HOUR
}
