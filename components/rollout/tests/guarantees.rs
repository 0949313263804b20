//! What an order of a version keeps, whatever the version is.

mod common;

use std::time::Duration;

use common::{order, Fault, Outcome, World, TERMS};
use rollout::{Allowance, Decision, Gate, Lane, Request, Stage};

const SEEDS: u64 = 300;

/// Rates and times of orders that the sheets name or allow.
fn sizes() -> impl Iterator<Item = (f64, u64)> {
    let rates = [60.0, 170.0, 540.0, 1000.0];
    rates
        .into_iter()
        .flat_map(|rate| [6, 12, 30].map(|seconds| (rate, seconds)))
}

fn outcomes(fault: Fault) -> impl Iterator<Item = (World, Outcome)> {
    let worlds = sizes().map(move |(rate, seconds)| World::new(rate, seconds, fault));
    worlds.flat_map(|world| (0..SEEDS / 12).map(move |seed| (world, world.play(seed))))
}

fn share_of(outcomes: &[(World, Outcome)], decision: Decision) -> f64 {
    let wanted = outcomes.iter().filter(|(_, o)| o.decision == decision);
    wanted.count() as f64 / outcomes.len() as f64
}

const FAULTS: [Fault; 7] = [
    Fault::Fails(0.3),
    Fault::Fails(0.6),
    Fault::Fails(1.0),
    Fault::Slow(4.0),
    Fault::Slow(8.0),
    Fault::FailsLater(0.5),
    Fault::FailsOnOneRoute,
];

#[test]
fn a_bad_version_gets_no_more_than_its_part_whatever_is_decided() {
    for fault in FAULTS {
        for (world, outcome) in outcomes(fault) {
            let most = TERMS.fraction * outcome.requests as f64 + TERMS.extra;
            assert!(outcome.to_new as f64 <= most, "{world:?} {outcome:?}");
        }
    }
}

#[test]
fn a_bad_version_is_never_completed() {
    for fault in FAULTS {
        for (world, outcome) in outcomes(fault) {
            assert_eq!(
                outcome.decision,
                Decision::Reverted,
                "{world:?} {outcome:?}"
            );
        }
    }
}

#[test]
fn a_bad_version_is_reverted_before_its_fiftieth_bad_answer() {
    for fault in [Fault::Fails(0.3), Fault::Fails(1.0), Fault::FailsOnOneRoute] {
        for (world, outcome) in outcomes(fault) {
            assert!(outcome.bad < 50, "{world:?} {outcome:?}");
        }
    }
}

#[test]
fn a_good_version_is_completed_in_time_where_it_gets_answers_enough() {
    let all: Vec<_> = outcomes(Fault::None).collect();
    // With fewer a twentieth of them says too little of a route on which one in seven fails by nature.
    let enough = |world: &World| world.per_s * world.time.as_secs_f64() >= 5000.0;
    let (many, few): (Vec<_>, Vec<_>) = all.into_iter().partition(|(world, _)| enough(world));
    assert!(share_of(&many, Decision::Completed) > 0.95);
    assert!(share_of(&few, Decision::Completed) > 0.2);
    for (world, outcome) in many.iter().chain(&few) {
        assert!(outcome.at <= world.time, "{world:?} {outcome:?}");
    }
}

#[test]
fn failures_that_both_versions_have_are_not_the_new_ones() {
    let world = World::new(540.0, 12, Fault::BothFail(0.2));
    let reverted = (0..100).filter(|seed| world.play(*seed).decision == Decision::Reverted);
    // Measured: 5.
    assert!(reverted.count() <= 10);
}

#[test]
fn one_ill_endpoint_is_no_bad_version() {
    let world = World::new(540.0, 30, Fault::OneEndpointIll);
    let completed = (0..100).filter(|seed| world.play(*seed).decision == Decision::Completed);
    assert!(completed.count() >= 90);
}

fn allowance() -> Allowance {
    Allowance {
        fraction: 0.1,
        extra: 50.0,
        placing: 3,
    }
}

const REQUEST: Request = Request {
    route: 1,
    runs_long: false,
    is_repeat: false,
};

fn lane(gate: &Gate, now: Duration) -> Lane {
    gate.lane(now, allowance(), REQUEST, 0.0)
}

#[test]
fn without_word_of_the_holder_nothing_goes_to_the_ordered_version() {
    let mut gate = Gate::new(order(Duration::from_secs(12)));
    assert_eq!(lane(&gate, Duration::ZERO), Lane::Not("v2".into()));
    gate.receive(Duration::ZERO, 7, Stage::SwitchAll);
    assert_eq!(lane(&gate, Duration::from_secs(1)), Lane::Only("v2".into()));
    assert_eq!(lane(&gate, Duration::from_secs(3)), Lane::Not("v2".into()));
}

#[test]
fn a_decision_stays_whoever_says_otherwise_later() {
    let mut gate = Gate::new(order(Duration::from_secs(12)));
    gate.receive(Duration::ZERO, 7, Stage::Decided(Decision::Completed));
    gate.receive(Duration::from_secs(1), 7, Stage::Sample);
    assert_eq!(gate.decision(), Some(Decision::Completed));
    assert_eq!(
        lane(&gate, Duration::from_secs(60)),
        Lane::Only("v2".into())
    );
}

#[test]
fn word_of_another_order_says_nothing() {
    let mut gate = Gate::new(order(Duration::from_secs(12)));
    gate.receive(Duration::ZERO, 6, Stage::Decided(Decision::Completed));
    assert_eq!(gate.decision(), None);
}

#[test]
fn a_repeat_never_goes_to_a_version_that_is_not_proven() {
    let mut gate = Gate::new(order(Duration::from_secs(12)));
    gate.receive(Duration::ZERO, 7, Stage::Sample);
    let now = Duration::from_millis(1);
    let lane = |is_repeat| {
        let request = Request {
            is_repeat,
            ..REQUEST
        };
        gate.lane(now, allowance(), request, 0.0)
    };
    assert_eq!(lane(true), Lane::Not("v2".into()));
    assert_eq!(lane(false), Lane::Only("v2".into()));
}

#[test]
fn long_requests_switch_before_the_others() {
    let mut gate = Gate::new(order(Duration::from_secs(12)));
    gate.receive(Duration::ZERO, 7, Stage::SwitchLong);
    let now = Duration::from_millis(1);
    let lane = |runs_long| {
        let request = Request {
            runs_long,
            ..REQUEST
        };
        gate.lane(now, allowance(), request, 0.9)
    };
    assert_eq!(lane(true), Lane::Only("v2".into()));
    assert_eq!(lane(false), Lane::Not("v2".into()));
}

#[test]
fn what_the_holder_said_long_ago_holds_no_more_however_it_came() {
    let mut gate = Gate::new(order(Duration::from_secs(12)));
    gate.receive(Duration::from_secs(1), 7, Stage::SwitchAll);
    assert_eq!(lane(&gate, Duration::from_secs(4)), Lane::Not("v2".into()));
    // Nor does it hide what was said later.
    gate.receive(Duration::from_secs(4), 7, Stage::Sample);
    gate.receive(Duration::from_secs(2), 7, Stage::SwitchAll);
    assert_eq!(gate.stage(Duration::from_secs(5)), Some(Stage::Sample));
}
