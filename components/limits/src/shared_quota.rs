//! A tenant's limit over all gateways, enforced at each of them.
//!
//! Every gateway runs the whole limit as a bucket and charges to it what the others report that they
//! took. While some of them are silent, it uses only its part, so that the parts of gateways that
//! do not hear each other add up to the limit.

use std::collections::BTreeMap;
use std::time::Duration;

/// The longest a full bucket owes: charges of others past it are forgotten.
const MOST_DEBT_SECS: f64 = 4.0;

/// Requests like itself for which one that is not urgent leaves room. Chosen, not swept: at hafnarfell-plan that
/// is about five urgent prompts of mean size (20 times 1,800 tokens against 7,000; docs/design/hafnarfell-plan.md).
const ROOM_LEFT: f64 = 20.0;
/// Most of the bucket that is left so.
const MOST_ROOM_PART: f64 = 0.5;

/// A limit in units a second and units beyond the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate.
    pub burst: f64,
}

/// What a bucket decides from, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaState {
    /// The limit.
    pub limit: RateLimit,
    /// Part of it used here, from 0 to 1.
    pub part: f64,
    /// Units in the bucket; below zero it owes some.
    pub level: f64,
    /// Units taken here since the start.
    pub taken: u64,
    /// Units that others took, as far as they reported.
    pub others_taken: u64,
    /// When others reported that last, zero if never.
    pub others_reported_at: Duration,
}

/// One tenant's bucket at one gateway.
#[derive(Debug)]
pub struct SharedQuota {
    limit: RateLimit,
    // Part of the limit used here, from 0 to 1.
    part: f64,
    level: f64,
    filled_at: Duration,
    // Units taken here since the start.
    taken: u64,
    // Totals of other processes, by gateway and incarnation.
    others: BTreeMap<(String, i64), u64>,
    others_reported_at: Duration,
}

impl SharedQuota {
    /// A bucket that is half full: what was taken before this process started is not known yet.
    pub fn new(now: Duration, limit: RateLimit) -> Self {
        SharedQuota {
            limit,
            part: 1.0,
            level: limit.burst / 2.0,
            filled_at: now,
            taken: 0,
            others: BTreeMap::new(),
            others_reported_at: Duration::ZERO,
        }
    }

    /// Sets the limit; what is in the bucket stays, up to the new size.
    pub fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Sets the part of the limit that this gateway may use. What is in the bucket beyond that part
    /// is lost: the others, who may not hear of it, could use it as well.
    pub fn set_part(&mut self, now: Duration, part: f64) {
        self.fill(now);
        self.part = part.clamp(0.0, 1.0);
        self.level = self.level.min(self.size());
    }

    /// Takes units, or says how long until they are there. A request that is not `urgent` passes only if
    /// it leaves room for others: what is short goes to the urgent ones first.
    pub fn take(&mut self, now: Duration, units: u64, urgent: bool) -> Result<(), Duration> {
        self.fill(now);
        let room = match urgent {
            true => 0.0,
            false => (units as f64 * ROOM_LEFT).min(self.size() * MOST_ROOM_PART),
        };
        // A request larger than the bucket passes once the bucket is full.
        let wanted = (units as f64 + room).min(self.size());
        if self.level >= wanted {
            self.level -= units as f64;
            self.taken += units;
            return Ok(());
        }
        let rate = (self.limit.rate * self.part).max(1.0);
        Err(Duration::from_secs_f64((wanted - self.level) / rate))
    }

    /// Gives units back that were not used.
    pub fn give_back(&mut self, now: Duration, units: u64) {
        self.fill(now);
        self.level = (self.level + units as f64).min(self.size());
        self.taken = self.taken.saturating_sub(units);
    }

    /// Takes the total that another gateway's process reported. The first word of a process charges
    /// everything if the process is `recent`; else it is mostly history and charges nothing.
    pub fn receive(
        &mut self,
        now: Duration,
        gateway: &str,
        incarnation: i64,
        total: u64,
        recent: bool,
    ) {
        self.fill(now);
        self.others_reported_at = now;
        let key = (gateway.to_string(), incarnation);
        let known = self.others.get(&key).copied();
        let before = known.unwrap_or(if recent { 0 } else { total });
        self.others.insert(key, total.max(before));
        let charge = total.saturating_sub(before) as f64;
        self.level = (self.level - charge).max(-self.limit.rate * MOST_DEBT_SECS);
    }

    /// What the last decision came from.
    pub fn state(&self) -> QuotaState {
        QuotaState {
            limit: self.limit,
            part: self.part,
            level: self.level,
            taken: self.taken,
            others_taken: self.others.values().sum(),
            others_reported_at: self.others_reported_at,
        }
    }

    /// Units taken here since the start.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    fn size(&self) -> f64 {
        (self.limit.burst * self.part).max(1.0)
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        let gained = passed * self.limit.rate * self.part;
        if self.level < self.size() {
            self.level = (self.level + gained).min(self.size());
        }
    }
}
