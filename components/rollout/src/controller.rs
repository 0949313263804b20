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
const MIN_WRITE_TIME: Duration = Duration::from_millis(200);
/// The slowest of the last calls of the store, taken this many times, is the time for the two writes.
const WRITE_TIME_FACTOR: u32 = 3;
/// Longest time that is left for writes: past it a late store costs a duty.
const MAX_WRITE_TIME: Duration = Duration::from_secs(3);
/// Longest time for which long requests go to the new version before the old endpoints end.
const MAX_LONG_SWITCH_TIME: Duration = Duration::from_secs(3);
/// Part of the requests that a bad version may get which is used until the deadline; the rest is for what is
/// counted late.
const SWITCH_BUDGET_PART: f64 = 0.85;
/// Span whose answers are judged apart: a version may turn bad late, beside many good answers from before.
const RECENT_WINDOW: Duration = Duration::from_secs(4);

/// Bounds on an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
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
    pub long_requests_per_s: f64,
    /// Time of the store's slowest recent call.
    pub store_call_time: Duration,
    /// Whether ready endpoints of the new version have slots for what runs.
    pub has_capacity: bool,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Tell the stage.
    Announce(Stage),
    /// Write the decision, then report it.
    Decide(Decision, Judgement),
}

/// An order that is carried out.
#[derive(Clone, Debug)]
pub struct RolloutController {
    order: Order,
    exposure_limit: ExposureLimit,
    // All answers as they stood, one look a second, the oldest first.
    snapshots: VecDeque<(Duration, Evidence)>,
    // Set once the switch has begun: what it sends to the new version must not put it off.
    switch: Option<Schedule>,
}

impl RolloutController {
    /// A plan for an order.
    pub fn new(order: Order, exposure_limit: ExposureLimit) -> Self {
        RolloutController {
            order,
            exposure_limit,
            snapshots: VecDeque::new(),
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
        let is_proven = judgement.finding == Finding::AsGood && progress.has_capacity;
        let schedule = self
            .switch
            .unwrap_or_else(|| self.schedule(now, evidence, progress));
        if now >= schedule.long {
            self.switch = Some(schedule);
        }
        if now >= schedule.write {
            let decision = match is_proven {
                true => Decision::Completed,
                false => Decision::Reverted,
            };
            return Step::Decide(decision, judgement);
        }
        Step::Announce(match is_proven {
            true if now >= schedule.all => Stage::SwitchAll,
            true if now >= schedule.long => Stage::SwitchLong,
            _ => Stage::Sample,
        })
    }

    // All answers, and apart from them those of the last seconds.
    fn judge(&mut self, now: Duration, evidence: &Evidence) -> Judgement {
        let newest = self.snapshots.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now >= at + Duration::from_secs(1)) {
            self.snapshots.push_back((now, evidence.clone()));
        }
        while self
            .snapshots
            .get(1)
            .is_some_and(|(at, _)| now >= *at + RECENT_WINDOW)
        {
            self.snapshots.pop_front();
        }
        let all = judge(evidence);
        if all.finding == Finding::Worse {
            return all;
        }
        let recent = self
            .snapshots
            .front()
            .map(|(_, then)| judge(&evidence.since(then)));
        let worse_lately = recent.filter(|recent| recent.finding == Finding::Worse);
        worse_lately.unwrap_or(all)
    }

    // When what happens, so that the version gets no more than a bad one may until it is due: what that leaves no
    // time for is cut off rather than the rule broken.
    fn schedule(&self, now: Duration, evidence: &Evidence, progress: Progress) -> Schedule {
        let due = progress.ordered_at + self.order.time_limit;
        let elapsed = now.saturating_sub(progress.ordered_at).as_secs_f64();
        let per_s = evidence.answers() as f64 / elapsed.max(1.0);
        let in_all = per_s * self.order.time_limit.as_secs_f64();
        let may_get = (self.exposure_limit.fraction * in_all + self.exposure_limit.extra)
            * SWITCH_BUDGET_PART;
        let left = (may_get - evidence.new_answers() as f64).max(0.0);
        let write =
            (progress.store_call_time * WRITE_TIME_FACTOR).clamp(MIN_WRITE_TIME, MAX_WRITE_TIME);
        let span = (SWITCH_TIME + write).min(time_at_rate(left, per_s));
        let all = due.saturating_sub(span);
        let left = left - span.as_secs_f64() * per_s;
        let long_run =
            MAX_LONG_SWITCH_TIME.min(time_at_rate(left.max(0.0), progress.long_requests_per_s));
        Schedule {
            long: all.saturating_sub(long_run),
            all,
            write: all.max(due.saturating_sub(write)),
        }
    }
}

// When long requests go to the new version, when all do, and when the decision is written.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    long: Duration,
    all: Duration,
    write: Duration,
}

// Time in which so many requests come.
fn time_at_rate(requests: f64, per_s: f64) -> Duration {
    const MAX_S: f64 = 3600.0;
    Duration::from_secs_f64((requests / per_s.max(0.001)).clamp(0.0, MAX_S))
}
