//! Simulates a service in virtual time: gateways that place its requests, and endpoints of two versions.

#![allow(dead_code)]

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rollout::{
    Allowance, Answer, Decision, Evidence, ExposureLimit, Order, Progress, Request,
    RolloutController, Side, Stage, Step, VersionFilter, VersionSelector,
};

pub const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    fraction: 0.1,
    extra: 50.0,
};
/// Time between steps of the lease holder.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
const GATEWAYS: usize = 12;

/// How a version misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Fails this fraction of its answers, besides the base failure rate.
    Fails(f64),
    /// Answers slower by this factor.
    Slow(f64),
    /// Fails half of its answers after this part of the order's time limit.
    FailsLater(f64),
    /// Fails half of its answers on the first route.
    FailsOnOneRoute,
    /// One of its endpoints fails all of its answers.
    OneEndpointFails,
    /// Both versions fail this fraction of their answers.
    BothFail(f64),
}

/// A service and an order for it.
#[derive(Clone, Copy, Debug)]
pub struct Simulation {
    pub per_s: f64,
    pub time_limit: Duration,
    pub fault: Fault,
    /// Fraction of answers that fail without a fault, by route.
    pub base_failure_rates: [f64; 2],
}

/// The result of the order.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub decision: Decision,
    pub at: Duration,
    pub requests: u64,
    pub to_new: u64,
    /// Failed answers of the new version until the decision.
    pub bad_answers: u64,
}

pub fn order(time_limit: Duration) -> Order {
    Order {
        service: "s".into(),
        version: "v2".into(),
        revision: 7,
        time_limit,
    }
}

impl Simulation {
    pub fn new(per_s: f64, seconds: u64, fault: Fault) -> Self {
        Simulation {
            per_s,
            time_limit: Duration::from_secs(seconds),
            fault,
            base_failure_rates: [0.004, 0.14],
        }
    }

    /// Simulates the order until its time limit.
    pub fn run(&self, seed: u64) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let allowance = Allowance {
            fraction: EXPOSURE_LIMIT.fraction,
            extra: EXPOSURE_LIMIT.extra,
            placing_gateways: GATEWAYS,
        };
        let mut selectors = vec![VersionSelector::new(order(self.time_limit)); GATEWAYS];
        let mut controller = RolloutController::new(order(self.time_limit), EXPOSURE_LIMIT);
        let mut evidence = Evidence::default();
        let mut outcome = Outcome {
            decision: Decision::Reverted,
            at: Duration::MAX,
            requests: 0,
            to_new: 0,
            bad_answers: 0,
        };
        let mut now = Duration::ZERO;
        let (mut next_step, mut decided) = (Duration::ZERO, None);
        while now < self.time_limit {
            now += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / self.per_s);
            if now >= next_step {
                next_step = now + STEP_INTERVAL;
                let progress = Progress {
                    ordered_at: Duration::ZERO,
                    long_requests_per_s: self.per_s * 0.2,
                    store_call_time: Duration::from_millis(6),
                    has_capacity: true,
                };
                let step = match decided {
                    Some(decision) => Step::Announce(Stage::Decided(decision)),
                    None => controller.step(now, &evidence, progress),
                };
                let stage = match step {
                    Step::Announce(stage) => stage,
                    Step::Decide(decision, _) => {
                        decided = Some(decision);
                        (outcome.decision, outcome.at) = (decision, now);
                        outcome.bad_answers = bad_answers(&evidence);
                        Stage::Decided(decision)
                    }
                };
                selectors
                    .iter_mut()
                    .for_each(|selector| selector.receive(now, 7, stage));
            }
            let selector = &mut selectors[rng.random_range(0..GATEWAYS)];
            let route = u64::from(rng.random::<f64>() < 0.19);
            let request = Request {
                route,
                runs_long: rng.random::<f64>() < 0.2,
                is_repeat: false,
            };
            let versions = selector.select_versions(now, allowance, request, rng.random());
            let side = match versions {
                VersionFilter::Only(_) => Side::New,
                VersionFilter::Any | VersionFilter::Not(_) => Side::Old,
            };
            selector.record_placement(route, side == Side::New);
            outcome.requests += 1;
            outcome.to_new += u64::from(side == Side::New);
            let endpoint = rng.random_range(0..4);
            let answer = self.answer(now, route, side, endpoint, &mut rng);
            evidence.record(route, side, endpoint, answer);
        }
        outcome
    }

    fn answer(
        &self,
        now: Duration,
        route: u64,
        side: Side,
        endpoint: u64,
        rng: &mut ChaCha8Rng,
    ) -> Answer {
        let late = |part: f64| now >= self.time_limit.mul_f64(part);
        let (extra, times) = match (self.fault, side) {
            (Fault::BothFail(part), _) => (part, 1.0),
            (_, Side::Old) | (Fault::None, _) => (0.0, 1.0),
            (Fault::Fails(part), _) => (part, 1.0),
            (Fault::Slow(times), _) => (0.0, times),
            (Fault::FailsLater(part), _) => (if late(part) { 0.5 } else { 0.0 }, 1.0),
            (Fault::FailsOnOneRoute, _) => (if route == 0 { 0.5 } else { 0.0 }, 1.0),
            (Fault::OneEndpointFails, _) => (if endpoint == 0 { 1.0 } else { 0.0 }, 1.0),
        };
        let fails = self.base_failure_rates[route as usize] + extra;
        if rng.random::<f64>() < fails {
            return Answer::Failed;
        }
        // Log-normal with sigma 0.5, as in the specification, whose mean of 15 ms is used as the median.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        Answer::Complete(15.0 * times * (0.5 * normal).exp())
    }
}

fn bad_answers(evidence: &Evidence) -> u64 {
    let new = evidence
        .routes
        .values()
        .flat_map(|route| route.new.values());
    new.map(|counts| counts.failed).sum()
}
