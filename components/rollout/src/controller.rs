//! Steps by which the lease holder carries out an order.

use std::collections::VecDeque;
use std::time::Duration;

use crate::evidence::Evidence;
use crate::judgement::{judge, Finding, Judgement};
use crate::order::{Decision, Order, Stage};

/// Time between switching all requests and writing the decision. It covers the message to the gateways that place
/// requests and the short requests that still run at the old endpoints, which stop at the write.
const SWITCH_TIME: Duration = Duration::from_millis(250);
/// Time reserved for the writes of the decision if the store is fast: 5 ms each, and the 100 ms between two steps of
/// the lease holder.
const MIN_WRITE_TIME: Duration = Duration::from_millis(200);
/// The time of the slowest recent store call times this factor is reserved for the two writes.
const WRITE_TIME_FACTOR: u32 = 3;
/// Upper limit of the time reserved for the writes; if the store is slower than that, the deadline is missed.
const MAX_WRITE_TIME: Duration = Duration::from_secs(3);
/// Upper limit of the time for which all long-running requests go to the new version before all requests do.
const MAX_LONG_SWITCH_TIME: Duration = Duration::from_secs(3);
/// Part of the exposure limit that may be used until the deadline; the rest covers requests that are counted late.
const SWITCH_BUDGET_PART: f64 = 0.85;
/// Time window whose answers are also judged separately: a version may turn bad late, when many earlier good answers
/// would hide it.
const RECENT_WINDOW: Duration = Duration::from_secs(4);

/// Limit on the requests that a version may get before it is known to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Fraction of a service's requests that a bad version may get.
    pub fraction: f64,
    /// Requests that it may get in addition.
    pub extra: f64,
}

/// State of an order that is being carried out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Time of the order on the local clock.
    pub ordered_at: Duration,
    /// Long-running requests of the service per second.
    pub long_requests_per_s: f64,
    /// Duration of the slowest recent store call.
    pub store_call_time: Duration,
    /// Whether the ready endpoints of the new version have slots for all running requests.
    pub has_capacity: bool,
}

/// The next action of the lease holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Announce the stage to the gateways.
    Announce(Stage),
    /// Write the decision to the store, then report it.
    Decide(Decision, Judgement),
}

/// Carries out one order.
#[derive(Clone, Debug)]
pub struct RolloutController {
    order: Order,
    exposure_limit: ExposureLimit,
    // Snapshots of the evidence, one per second, oldest first.
    snapshots: VecDeque<(Duration, Evidence)>,
    // Set once the switch has begun: the requests that the switch itself sends to the new version must not delay it.
    switch: Option<Schedule>,
}

impl RolloutController {
    /// A controller for an order.
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

    /// The next step. `evidence` holds all answers since the order.
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

    // Judges all answers and, separately, those within `RECENT_WINDOW`.
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

    // Schedules the switch so that the version stays within the exposure limit until the deadline. If the limit leaves
    // too little time, the old endpoints cut requests off; the limit is not exceeded.
    fn schedule(&self, now: Duration, evidence: &Evidence, progress: Progress) -> Schedule {
        let due = progress.ordered_at + self.order.time_limit;
        let elapsed = now.saturating_sub(progress.ordered_at).as_secs_f64();
        let per_s = evidence.answers() as f64 / elapsed.max(1.0);
        let expected_requests = per_s * self.order.time_limit.as_secs_f64();
        let usable_exposure = (self.exposure_limit.fraction * expected_requests
            + self.exposure_limit.extra)
            * SWITCH_BUDGET_PART;
        let left = (usable_exposure - evidence.new_answers() as f64).max(0.0);
        let write =
            (progress.store_call_time * WRITE_TIME_FACTOR).clamp(MIN_WRITE_TIME, MAX_WRITE_TIME);
        let switch_time = (SWITCH_TIME + write).min(time_at_rate(left, per_s));
        let all = due.saturating_sub(switch_time);
        let left = left - switch_time.as_secs_f64() * per_s;
        let long_switch_time =
            MAX_LONG_SWITCH_TIME.min(time_at_rate(left.max(0.0), progress.long_requests_per_s));
        Schedule {
            long: all.saturating_sub(long_switch_time),
            all,
            write: all.max(due.saturating_sub(write)),
        }
    }
}

// When all long-running requests go to the new version, when all requests do, and when the decision is written.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    long: Duration,
    all: Duration,
    write: Duration,
}

// Time in which so many requests arrive.
fn time_at_rate(requests: f64, per_s: f64) -> Duration {
    const MAX_S: f64 = 3600.0;
    Duration::from_secs_f64((requests / per_s.max(0.001)).clamp(0.0, MAX_S))
}
