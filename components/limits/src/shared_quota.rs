//! A tenant's rate limit over all gateways, enforced at each of them.
//!
//! Every gateway runs a token bucket with the whole limit, and charges to it the units that the other
//! gateways report as taken. While some gateways are silent, it uses only a part of the limit, so
//! that the parts of gateways that cannot reach each other add up to the limit.

use std::collections::BTreeMap;
use std::time::Duration;

/// Largest debt of a bucket, in seconds of its rate. Charges from other gateways beyond it are dropped.
const MAX_DEBT_SECS: f64 = 4.0;

/// A request that is not urgent leaves room for this many requests of its own size. In the workload of
/// docs/design/hafnarfell-plan.md that is about five urgent prompts of mean size (20 times 1,800 tokens
/// against 7,000).
const HEADROOM_REQUESTS: f64 = 20.0;
/// Largest part of the bucket's capacity that such a request has to leave.
const MAX_HEADROOM_PART: f64 = 0.5;

/// The rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
}

/// The state that a decision is based on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaState {
    /// The limit.
    pub limit: RateLimit,
    /// Part of the limit that this gateway uses, from 0 to 1.
    pub part: f64,
    /// Units in the bucket; negative if it is in debt.
    pub level: f64,
    /// Units taken at this gateway since its process started.
    pub taken: u64,
    /// Units that the other gateways reported as taken.
    pub others_taken: u64,
    /// When one of the others last reported, zero if never.
    pub others_reported_at: Duration,
}

/// One tenant's bucket at one gateway.
#[derive(Debug)]
pub struct SharedQuota {
    limit: RateLimit,
    // Part of the limit that this gateway uses, from 0 to 1.
    part: f64,
    level: f64,
    refilled_at: Duration,
    // Units taken at this gateway since its process started.
    taken: u64,
    // Units taken by each other process, by gateway and incarnation.
    other_totals: BTreeMap<(String, i64), u64>,
    others_reported_at: Duration,
}

impl SharedQuota {
    /// A half-full bucket: what was taken before this process started is not known yet.
    pub fn new(now: Duration, limit: RateLimit) -> Self {
        SharedQuota {
            limit,
            part: 1.0,
            level: limit.burst / 2.0,
            refilled_at: now,
            taken: 0,
            other_totals: BTreeMap::new(),
            others_reported_at: Duration::ZERO,
        }
    }

    /// Sets the limit. The units in the bucket stay, up to the new burst.
    pub fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Sets the part of the limit that this gateway may use, from 0 to 1. Units beyond that part are
    /// dropped: other gateways, which may not receive this one's reports, could use the same units.
    pub fn set_part(&mut self, now: Duration, part: f64) {
        self.refill(now);
        self.part = part.clamp(0.0, 1.0);
        self.level = self.level.min(self.capacity());
    }

    /// Takes units, or returns the time until there are enough. A request that is not `urgent` passes
    /// only if it leaves headroom, so that urgent requests come first when units are scarce.
    pub fn take(&mut self, now: Duration, units: u64, urgent: bool) -> Result<(), Duration> {
        self.refill(now);
        let headroom = match urgent {
            true => 0.0,
            false => (units as f64 * HEADROOM_REQUESTS).min(self.capacity() * MAX_HEADROOM_PART),
        };
        // A request larger than the capacity passes once the bucket is full.
        let required = (units as f64 + headroom).min(self.capacity());
        if self.level >= required {
            self.level -= units as f64;
            self.taken += units;
            return Ok(());
        }
        let rate = (self.limit.rate * self.part).max(1.0);
        Err(Duration::from_secs_f64((required - self.level) / rate))
    }

    /// Returns units that were taken but not used.
    pub fn give_back(&mut self, now: Duration, units: u64) {
        self.refill(now);
        self.level = (self.level + units as f64).min(self.capacity());
        self.taken = self.taken.saturating_sub(units);
    }

    /// Charges what another gateway's process took since its last report; `total` counts from its
    /// start. The first report of a process charges its whole total if `is_recent`, that is, if the
    /// process started recently. Otherwise most of the total is old, and nothing is charged.
    pub fn receive(
        &mut self,
        now: Duration,
        gateway: &str,
        incarnation: i64,
        total: u64,
        is_recent: bool,
    ) {
        self.refill(now);
        self.others_reported_at = now;
        let key = (gateway.to_string(), incarnation);
        let known = self.other_totals.get(&key).copied();
        let before = known.unwrap_or(if is_recent { 0 } else { total });
        self.other_totals.insert(key, total.max(before));
        let charge = total.saturating_sub(before) as f64;
        self.level = (self.level - charge).max(-self.limit.rate * MAX_DEBT_SECS);
    }

    /// The current state, for logs.
    pub fn state(&self) -> QuotaState {
        QuotaState {
            limit: self.limit,
            part: self.part,
            level: self.level,
            taken: self.taken,
            others_taken: self.other_totals.values().sum(),
            others_reported_at: self.others_reported_at,
        }
    }

    /// Units taken at this gateway since its process started.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    fn capacity(&self) -> f64 {
        (self.limit.burst * self.part).max(1.0)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now.max(self.refilled_at);
        let gained = elapsed * self.limit.rate * self.part;
        if self.level < self.capacity() {
            self.level = (self.level + gained).min(self.capacity());
        }
    }
}
