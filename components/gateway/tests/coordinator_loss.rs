//! Detects the loss of all coordinators from requests that none of them decided.

use std::time::Duration;

use gateway::Alone;

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

// Coordinators that decide some of the requests are slow, not lost.
#[test]
fn a_decision_of_a_coordinator_resets_the_undecided_time() {
    let alone = Alone::default();
    alone.decided(s(1));
    alone.undecided(s(2));
    alone.undecided(s(4));
    assert_eq!(alone.undecided_for(s(5)), s(3));
    alone.decided(s(6));
    assert_eq!(alone.undecided_for(s(6)), Duration::ZERO);
    alone.undecided(s(7));
    assert_eq!(alone.undecided_for(s(8)), s(1));
}

#[test]
fn a_gateway_without_requests_does_not_count_as_alone() {
    let alone = Alone::default();
    assert_eq!(alone.undecided_for(s(60)), Duration::ZERO);
    assert!(!alone.is_alone(s(60)));
}
