//! How the holder of the lease carries an order out.

use std::collections::VecDeque;
use std::time::Duration;

use crate::evidence::Evidence;
use crate::judgement::{judge, Finding, Judgement};
use crate::order::{Decision, Order, Stage};

/// From the switch of all requests to the write of the decision: a message to the gateways that place requests, and
/// the runs of short requests at the old endpoints, which end at the write.
const SWITCH_TIME: Duration = Duration::from_millis(250);
/// Time for the writes of the decision when the store answers as usual: 5 ms each, and the 100 ms between two
/// looks of the holder.
const WRITE_TIME: Duration = Duration::from_millis(200);
/// The slowest of the last calls of the store, taken this many times, is the time for the two writes.
const WRITES: u32 = 3;
/// Longest time that is left for writes: past it a late store costs a duty.
const LONGEST_WRITE: Duration = Duration::from_secs(3);
/// Longest time for which long requests go to the new version before the old endpoints end.
const LONGEST_RUN: Duration = Duration::from_secs(3);
/// Part of the requests that a bad version may get which is used until the deadline; the rest is for what is
/// counted late.
const USED_PART: f64 = 0.85;
/// Span whose answers are judged apart: a version may turn bad late, beside many good answers from before.
const RECENT: Duration = Duration::from_secs(4);

/// Bounds on an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Part of a service's requests that a version may get that turns out bad.
    pub fraction: f64,
    /// Requests that it may get beside.
    pub extra: f64,
}

/// What is known of an order that is carried out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// When it was ordered, on the own clock.
    pub ordered_at: Duration,
    /// Requests of the service a second that run for long.
    pub long_per_s: f64,
    /// Time of the store's slowest recent call.
    pub call_time: Duration,
    /// Whether ready endpoints of the new version have slots for what runs.
    pub can_carry: bool,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Tell the stage.
    Tell(Stage),
    /// Write the decision, then report it.
    Decide(Decision, Judgement),
}

/// An order that is carried out.
#[derive(Clone, Debug)]
pub struct Plan {
    order: Order,
    terms: Terms,
    // All answers as they stood, one look a second, the oldest first.
    earlier: VecDeque<(Duration, Evidence)>,
    // Set once the switch has begun: what it sends to the new version must not put it off.
    switch: Option<Times>,
}

impl Plan {
    /// A plan for an order.
    pub fn new(order: Order, terms: Terms) -> Self {
        Plan {
            order,
            terms,
            earlier: VecDeque::new(),
            switch: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// The next step, by all answers since the order.
    pub fn step(&mut self, now: Duration, evidence: &Evidence, progress: Progress) -> Step {
        let judgement = self.judge(now, evidence);
        if judgement.finding == Finding::Worse {
            return Step::Decide(Decision::Reverted, judgement);
        }
        let is_proven = judgement.finding == Finding::AsGood && progress.can_carry;
        let times = self
            .switch
            .unwrap_or_else(|| self.times(now, evidence, progress));
        if now >= times.long {
            self.switch = Some(times);
        }
        if now >= times.write {
            let decision = match is_proven {
                true => Decision::Completed,
                false => Decision::Reverted,
            };
            return Step::Decide(decision, judgement);
        }
        Step::Tell(match is_proven {
            true if now >= times.all => Stage::SwitchAll,
            true if now >= times.long => Stage::SwitchLong,
            _ => Stage::Sample,
        })
    }

    // All answers, and apart from them those of the last seconds.
    fn judge(&mut self, now: Duration, evidence: &Evidence) -> Judgement {
        let newest = self.earlier.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now >= at + Duration::from_secs(1)) {
            self.earlier.push_back((now, evidence.clone()));
        }
        while self
            .earlier
            .get(1)
            .is_some_and(|(at, _)| now >= *at + RECENT)
        {
            self.earlier.pop_front();
        }
        let all = judge(evidence);
        if all.finding == Finding::Worse {
            return all;
        }
        let recent = self
            .earlier
            .front()
            .map(|(_, then)| judge(&evidence.since(then)));
        let worse_lately = recent.filter(|recent| recent.finding == Finding::Worse);
        worse_lately.unwrap_or(all)
    }

    // When what happens, so that the version gets no more than a bad one may until it is due: what that leaves no
    // time for is cut off rather than the rule broken.
    fn times(&self, now: Duration, evidence: &Evidence, progress: Progress) -> Times {
        let due = progress.ordered_at + self.order.time;
        let elapsed = now.saturating_sub(progress.ordered_at).as_secs_f64();
        let per_s = evidence.answers() as f64 / elapsed.max(1.0);
        let in_all = per_s * self.order.time.as_secs_f64();
        let may_get = (self.terms.fraction * in_all + self.terms.extra) * USED_PART;
        let left = (may_get - evidence.new_answers() as f64).max(0.0);
        let write = (progress.call_time * WRITES).clamp(WRITE_TIME, LONGEST_WRITE);
        let span = (SWITCH_TIME + write).min(at_rate(left, per_s));
        let all = due.saturating_sub(span);
        let left = left - span.as_secs_f64() * per_s;
        let long_run = LONGEST_RUN.min(at_rate(left.max(0.0), progress.long_per_s));
        Times {
            long: all.saturating_sub(long_run),
            all,
            write: all.max(due.saturating_sub(write)),
        }
    }
}

// When long requests go to the new version, when all do, and when the decision is written.
#[derive(Clone, Copy, Debug)]
struct Times {
    long: Duration,
    all: Duration,
    write: Duration,
}

// Time in which so many requests come.
fn at_rate(requests: f64, per_s: f64) -> Duration {
    const LONGEST: f64 = 3600.0;
    Duration::from_secs_f64((requests / per_s.max(0.001)).clamp(0.0, LONGEST))
}
