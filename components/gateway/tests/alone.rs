//! For how long coordinators have left requests undecided.

use std::time::Duration;

use gateway::CoordinatorContact;

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn coordinators_that_decide_now_and_then_are_slow_and_not_lost() {
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
fn a_gateway_without_requests_has_lost_nobody() {
    let alone = CoordinatorContact::default();
    assert_eq!(alone.time_without_decision(s(60)), Duration::ZERO);
    assert!(!alone.is_lost(s(60)));
}
