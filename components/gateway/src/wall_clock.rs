//! Estimate of the wall-clock time from the monotonic clock and the wall clocks of all gateways.
//!
//! Each gateway votes for an offset, and the estimate is the median of the votes, so a single clock that jumps
//! is outvoted. A clock has to stay where it jumped to before its gateway votes for the new time. No I/O.
//! Offsets are between a gateway's own monotonic clock and the wall clock, in microseconds.

use std::collections::BTreeMap;
use std::time::Duration;

/// Readings this close belong to one clock that did not jump: clock corrections between two readings are
/// smaller. It also bounds the error of a usage window to 5% of its requests (windows last 5 s).
const MAX_DRIFT_US: u64 = 250_000;
/// A gateway accepts a jump of its clock after this time. Clock steps that are reverted last only seconds.
const JUMP_CONFIRM_TIME: Duration = Duration::from_secs(120);
/// Older votes do not count. Live gateways send several messages within this time.
const MAX_VOTE_AGE: Duration = Duration::from_secs(3);

/// Result of a reading of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallClockReading {
    /// The estimated offset.
    pub estimated_us: i64,
    /// How far the own clock has just jumped, reported once per jump.
    pub jumped_us: Option<i64>,
}

#[derive(Clone, Copy, Debug)]
struct Jump {
    at: Duration,
    offset_us: i64,
}

#[derive(Clone, Copy, Debug)]
struct Vote {
    at: Duration,
    offset_us: i64,
}

/// Estimate of the wall-clock offset.
#[derive(Clone, Debug)]
pub struct WallClockEstimate {
    // The vote of this gateway.
    own_us: i64,
    jump: Option<Jump>,
    votes: BTreeMap<String, Vote>,
}

impl WallClockEstimate {
    /// Starts from the own clock's first reading, which is the estimate until votes of others arrive.
    pub fn new(offset_us: i64) -> Self {
        WallClockEstimate {
            own_us: offset_us,
            jump: None,
            votes: BTreeMap::new(),
        }
    }

    /// The vote of this gateway.
    pub fn vote_us(&self) -> i64 {
        self.own_us
    }

    /// Records another gateway's vote.
    pub fn receive(&mut self, now: Duration, gateway: &str, offset_us: i64) {
        let vote = Vote { at: now, offset_us };
        self.votes.insert(gateway.to_string(), vote);
    }

    /// Records a reading of the own clock and returns the new estimate.
    pub fn observe_reading(&mut self, now: Duration, reading_us: i64) -> WallClockReading {
        let jumped_us = self.update_own_vote(now, reading_us);
        self.votes.retain(|_, vote| now < vote.at + MAX_VOTE_AGE);
        WallClockReading {
            estimated_us: self.median_us(),
            jumped_us,
        }
    }

    fn update_own_vote(&mut self, now: Duration, reading_us: i64) -> Option<i64> {
        if is_near(reading_us, self.own_us) {
            self.own_us = reading_us;
            self.jump = None;
            return None;
        }
        let held = self.jump.filter(|jump| is_near(reading_us, jump.offset_us));
        let Some(jump) = held else {
            self.jump = Some(Jump {
                at: now,
                offset_us: reading_us,
            });
            return Some(reading_us.saturating_sub(self.own_us));
        };
        if now >= jump.at + JUMP_CONFIRM_TIME {
            self.own_us = reading_us;
            self.jump = None;
        }
        None
    }

    // The lower median if the number of votes is even.
    fn median_us(&self) -> i64 {
        let others = self.votes.values().map(|vote| vote.offset_us);
        let mut offsets: Vec<i64> = others.chain([self.own_us]).collect();
        let middle = (offsets.len() - 1) / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        *median
    }
}

fn is_near(one_us: i64, other_us: i64) -> bool {
    one_us.abs_diff(other_us) <= MAX_DRIFT_US
}
