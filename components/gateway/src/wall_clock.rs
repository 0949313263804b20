//! The time of day as a belief: steady time and what the clocks of all gateways say.
//!
//! A clock that jumps is outvoted: it has to stay where it jumped to before its gateway speaks for it, and then counts as one
//! among all. Pure; offsets are between a gateway's own clock, which goes on steadily, and the time of day, in microseconds.

use std::collections::BTreeMap;
use std::time::Duration;

/// Readings this close are of one clock that goes on: it is corrected by less than that between two looks, and a window of
/// usage may be off by 5% of its requests (windows last 5 s).
const MAX_DRIFT_US: u64 = 250_000;
/// A clock that jumped and stays there for so long is believed by its gateway. Steps that somebody takes back last seconds.
const JUMP_CONFIRM_TIME: Duration = Duration::from_secs(120);
/// Votes older than this don't count: some messages of each gateway that is alive.
const MAX_VOTE_AGE: Duration = Duration::from_secs(3);

/// What a look at the clock of the day showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallClockReading {
    /// The offset that is believed.
    pub estimated_us: i64,
    /// By how much the own clock just jumped away from where it was.
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

/// What a gateway believes of the time of day.
#[derive(Clone, Debug)]
pub struct WallClockEstimate {
    // What this gateway votes for.
    own_us: i64,
    jump: Option<Jump>,
    votes: BTreeMap<String, Vote>,
}

impl WallClockEstimate {
    /// Nothing is known but the own clock's first reading, which is believed until others are heard.
    pub fn new(offset_us: i64) -> Self {
        WallClockEstimate {
            own_us: offset_us,
            jump: None,
            votes: BTreeMap::new(),
        }
    }

    /// What this gateway votes for.
    pub fn vote_us(&self) -> i64 {
        self.own_us
    }

    /// Another gateway's vote.
    pub fn receive(&mut self, now: Duration, gateway: &str, offset_us: i64) {
        let vote = Vote { at: now, offset_us };
        self.votes.insert(gateway.to_string(), vote);
    }

    /// Takes a reading of the own clock.
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

    // The lower one of the two in the middle where their number is even.
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
