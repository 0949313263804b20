//! Detects the loss of all coordinators from requests that none of them decided.

use std::time::Duration;

use gateway::CoordinatorContact;

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

// Coordinators that decide some of the requests are slow, not lost.
#[test]
fn a_decision_of_a_coordinator_resets_the_undecided_time() {
    let alone = CoordinatorContact::default();
    alone.record_decision(s(1));
    alone.record_no_decision(s(2));
    alone.record_no_decision(s(4));
    assert_eq!(alone.time_without_decision(s(5)), s(3));
    alone.record_decision(s(6));
    assert_eq!(alone.time_without_decision(s(6)), Duration::ZERO);
    alone.record_no_decision(s(7));
    assert_eq!(alone.time_without_decision(s(8)), s(1));
}

#[test]
fn a_gateway_without_requests_does_not_count_as_alone() {
    let alone = CoordinatorContact::default();
    assert_eq!(alone.time_without_decision(s(60)), Duration::ZERO);
    assert!(!alone.is_lost(s(60)));
}
