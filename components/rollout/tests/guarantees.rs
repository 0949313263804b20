//! Guarantees of a roll-out order, for good and bad versions.

mod common;

use std::time::Duration;

use common::{order, Fault, Outcome, Simulation, EXPOSURE_LIMIT};
use rollout::{Allowance, Decision, Request, Stage, VersionFilter, VersionSelector};

const SEEDS: u64 = 300;

/// Requests per second and time limits in seconds of orders, as the specification names or allows them.
fn sizes() -> impl Iterator<Item = (f64, u64)> {
    let rates = [60.0, 170.0, 540.0, 1000.0];
    rates
        .into_iter()
        .flat_map(|rate| [6, 12, 30].map(|seconds| (rate, seconds)))
}

fn outcomes(fault: Fault) -> impl Iterator<Item = (Simulation, Outcome)> {
    let simulations = sizes().map(move |(rate, seconds)| Simulation::new(rate, seconds, fault));
    simulations
        .flat_map(|simulation| (0..SEEDS / 12).map(move |seed| (simulation, simulation.run(seed))))
}

fn share_of(outcomes: &[(Simulation, Outcome)], decision: Decision) -> f64 {
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
fn a_bad_version_never_gets_more_requests_than_the_exposure_limit() {
    for fault in FAULTS {
        for (simulation, outcome) in outcomes(fault) {
            let limit = EXPOSURE_LIMIT.fraction * outcome.requests as f64 + EXPOSURE_LIMIT.extra;
            assert!(outcome.to_new as f64 <= limit, "{simulation:?} {outcome:?}");
        }
    }
}

#[test]
fn a_bad_version_is_never_completed() {
    for fault in FAULTS {
        for (simulation, outcome) in outcomes(fault) {
            assert_eq!(
                outcome.decision,
                Decision::Reverted,
                "{simulation:?} {outcome:?}"
            );
        }
    }
}

#[test]
fn a_bad_version_is_reverted_before_its_fiftieth_bad_answer() {
    for fault in [Fault::Fails(0.3), Fault::Fails(1.0), Fault::FailsOnOneRoute] {
        for (simulation, outcome) in outcomes(fault) {
            assert!(outcome.bad_answers < 50, "{simulation:?} {outcome:?}");
        }
    }
}

#[test]
fn a_good_version_with_enough_answers_is_completed_within_the_time_limit() {
    let all: Vec<_> = outcomes(Fault::None).collect();
    // With fewer requests, the sample of a twentieth is too small for a route with a base failure rate of one in seven.
    let enough =
        |simulation: &Simulation| simulation.per_s * simulation.time_limit.as_secs_f64() >= 5000.0;
    let (many, few): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|(simulation, _)| enough(simulation));
    assert!(share_of(&many, Decision::Completed) > 0.95);
    assert!(share_of(&few, Decision::Completed) > 0.2);
    for (simulation, outcome) in many.iter().chain(&few) {
        assert!(
            outcome.at <= simulation.time_limit,
            "{simulation:?} {outcome:?}"
        );
    }
}

#[test]
fn failures_common_to_both_versions_do_not_revert_the_new_one() {
    let simulation = Simulation::new(540.0, 12, Fault::BothFail(0.2));
    let reverted = (0..100).filter(|seed| simulation.run(*seed).decision == Decision::Reverted);
    // 5 of 100 seeds revert.
    assert!(reverted.count() <= 10);
}

#[test]
fn one_failing_endpoint_does_not_revert_the_version() {
    let simulation = Simulation::new(540.0, 30, Fault::OneEndpointFails);
    let completed = (0..100).filter(|seed| simulation.run(*seed).decision == Decision::Completed);
    assert!(completed.count() >= 90);
}

fn allowance() -> Allowance {
    Allowance {
        fraction: 0.1,
        extra: 50.0,
        placing_gateways: 3,
    }
}

const REQUEST: Request = Request {
    route: 1,
    runs_long: false,
    is_repeat: false,
};

fn select_versions(selector: &VersionSelector, now: Duration) -> VersionFilter {
    selector.select_versions(now, allowance(), REQUEST, 0.0)
}

#[test]
fn without_a_current_stage_no_request_goes_to_the_ordered_version() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    assert_eq!(
        select_versions(&selector, Duration::ZERO),
        VersionFilter::Not("v2".into())
    );
    selector.receive(Duration::ZERO, 7, Stage::SwitchAll);
    assert_eq!(
        select_versions(&selector, Duration::from_secs(1)),
        VersionFilter::Only("v2".into())
    );
    assert_eq!(
        select_versions(&selector, Duration::from_secs(3)),
        VersionFilter::Not("v2".into())
    );
}

// Guards against a process that starts during an order and uses the part of the extra requests that the process before it
// may have used.
#[test]
fn a_process_that_started_during_an_order_exposes_only_the_fraction_of_its_own_requests() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    selector.withhold_extra();
    selector.receive(Duration::ZERO, 7, Stage::SwitchAll);
    let mut exposed = 0;
    for placed in 1..=1000 {
        let versions = select_versions(&selector, Duration::from_millis(1));
        let is_new = versions == VersionFilter::Only("v2".into());
        selector.record_placement(1, is_new);
        exposed += u32::from(is_new);
        assert!(exposed <= placed / 10, "{exposed} of {placed}");
    }
    assert!(exposed > 0);
}

#[test]
fn a_known_decision_is_not_replaced_by_a_later_stage() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    selector.receive(Duration::ZERO, 7, Stage::Decided(Decision::Completed));
    selector.receive(Duration::from_secs(1), 7, Stage::Sample);
    assert_eq!(selector.decision(), Some(Decision::Completed));
    assert_eq!(
        select_versions(&selector, Duration::from_secs(60)),
        VersionFilter::Only("v2".into())
    );
}

#[test]
fn a_stage_for_another_revision_is_ignored() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    selector.receive(Duration::ZERO, 6, Stage::Decided(Decision::Completed));
    assert_eq!(selector.decision(), None);
}

#[test]
fn a_repeated_request_never_goes_to_an_undecided_version() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    selector.receive(Duration::ZERO, 7, Stage::Sample);
    let now = Duration::from_millis(1);
    let select_versions = |is_repeat| {
        let request = Request {
            is_repeat,
            ..REQUEST
        };
        selector.select_versions(now, allowance(), request, 0.0)
    };
    assert_eq!(select_versions(true), VersionFilter::Not("v2".into()));
    assert_eq!(select_versions(false), VersionFilter::Only("v2".into()));
}

#[test]
fn long_requests_switch_before_the_others() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    selector.receive(Duration::ZERO, 7, Stage::SwitchLong);
    let now = Duration::from_millis(1);
    let select_versions = |runs_long| {
        let request = Request {
            runs_long,
            ..REQUEST
        };
        selector.select_versions(now, allowance(), request, 0.9)
    };
    assert_eq!(select_versions(true), VersionFilter::Only("v2".into()));
    assert_eq!(select_versions(false), VersionFilter::Not("v2".into()));
}

#[test]
fn an_expired_stage_is_ignored_and_does_not_replace_a_newer_one() {
    let mut selector = VersionSelector::new(order(Duration::from_secs(12)));
    selector.receive(Duration::from_secs(1), 7, Stage::SwitchAll);
    assert_eq!(
        select_versions(&selector, Duration::from_secs(4)),
        VersionFilter::Not("v2".into())
    );
    // An expired stage does not replace a newer one.
    selector.receive(Duration::from_secs(4), 7, Stage::Sample);
    selector.receive(Duration::from_secs(2), 7, Stage::SwitchAll);
    assert_eq!(selector.stage(Duration::from_secs(5)), Some(Stage::Sample));
}

// Guards against a stream of a version that was reverted going on there, and against streams that exceed the exposure limit of
// a version that is not decided yet.
#[test]
fn a_stream_goes_on_at_the_ordered_version_only_within_its_limit_and_not_after_it_was_reverted() {
    let now = Duration::from_secs(1);
    let allowance = Allowance {
        fraction: EXPOSURE_LIMIT.fraction,
        extra: EXPOSURE_LIMIT.extra,
        placing_gateways: 1,
    };
    let continues = |selector: &VersionSelector, version: &str| {
        selector.allows_continuation(now, allowance, version)
    };
    let ordered = order(Duration::from_secs(30));
    let (new, revision) = (ordered.version.clone(), ordered.revision);
    let mut selector = VersionSelector::new(ordered);
    assert!(continues(&selector, "old"));
    assert!(!continues(&selector, &new));
    selector.receive(now, revision, Stage::Sample);
    assert!(continues(&selector, &new));
    for _ in 0..1000 {
        selector.record_placement(1, true);
    }
    assert!(!continues(&selector, &new));
    let mut completed = selector.clone();
    completed.receive(now, revision, Stage::Decided(Decision::Completed));
    assert!(continues(&completed, &new));
    selector.receive(now, revision, Stage::Decided(Decision::Reverted));
    assert!(!continues(&selector, &new));
    assert!(continues(&selector, "old"));
}
