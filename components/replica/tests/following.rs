//! Whether and when the store or another gateway is asked for changes.

use std::time::Duration;

use replica::{Follower, PreferredSource, Revision, Step};

const CHANGE_DUE: Duration = Duration::from_secs(2);

fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn follower(preferred_source: PreferredSource) -> Follower {
    Follower::new(preferred_source, CHANGE_DUE)
}

#[test]
fn unknown_rows_are_listed_from_the_store() {
    assert_eq!(
        follower(PreferredSource::Peer).step(ms(0), false, false),
        Step::List
    );
}

#[test]
fn a_watcher_long_polls_the_store() {
    let mut watcher = follower(PreferredSource::Peer);
    watcher.store_answered(rev(1));
    watcher.confirmed(ms(10));
    let step = watcher.step(ms(11), true, true);
    assert!(
        matches!(step, Step::PollChanges { hold } if hold > Duration::ZERO && hold < CHANGE_DUE / 2)
    );
}

#[test]
fn the_store_is_not_asked_while_other_gateways_confirm_the_rows() {
    let mut follower = follower(PreferredSource::Peer);
    for now in (0..20_000).step_by(400) {
        follower.confirmed(ms(now));
        assert!(matches!(
            follower.step(ms(now + 399), false, true),
            Step::Wait(_)
        ));
    }
}

#[test]
fn the_store_is_asked_without_a_long_poll_once_confirmations_stop() {
    let mut follower = follower(PreferredSource::Peer);
    follower.confirmed(ms(1000));
    let Step::Wait(rest) = follower.step(ms(1000), false, true) else {
        panic!("no call is due yet");
    };
    // A change has to be in force within two seconds.
    assert!(rest < ms(1500), "{rest:?}");
    let step = follower.step(ms(1000) + rest, false, true);
    assert_eq!(
        step,
        Step::PollChanges {
            hold: Duration::ZERO
        }
    );
}

#[test]
fn a_reported_change_is_pulled_from_its_reporter_and_after_a_failure_read_from_the_store() {
    let mut follower = follower(PreferredSource::Peer);
    follower.confirmed(ms(0));
    follower.newer_reported(rev(7));
    assert_eq!(follower.step(ms(1), false, true), Step::PullFromPeer);
    follower.pull_failed(ms(1));
    let step = follower.step(ms(2), false, true);
    assert_eq!(
        step,
        Step::PollChanges {
            hold: Duration::ZERO
        }
    );
    follower.store_answered(rev(7));
    follower.confirmed(ms(3));
    assert!(matches!(follower.step(ms(3), false, true), Step::Wait(_)));
}

#[test]
fn a_store_answer_older_than_the_reported_revision_does_not_end_the_pull() {
    let mut follower = follower(PreferredSource::Peer);
    follower.newer_reported(rev(7));
    follower.store_answered(rev(6));
    assert_eq!(follower.step(ms(1), false, true), Step::PullFromPeer);
}

#[test]
fn large_rows_are_read_from_the_store_and_pulled_only_if_it_does_not_answer() {
    let mut follower = follower(PreferredSource::Store);
    follower.confirmed(ms(0));
    follower.newer_reported(rev(7));
    let step = follower.step(ms(1), false, true);
    assert_eq!(
        step,
        Step::PollChanges {
            hold: Duration::ZERO
        }
    );
    follower.store_failed(ms(2));
    assert_eq!(follower.step(ms(2), false, true), Step::PullFromPeer);
    follower.caught_up(rev(7));
    assert!(matches!(follower.step(ms(3), false, true), Step::Wait(_)));
}

#[test]
fn calls_to_an_unresponsive_store_back_off_until_it_answers() {
    let mut follower = follower(PreferredSource::Peer);
    let mut calls = 0;
    for now in 0..10_000 {
        if matches!(follower.step(ms(now), true, true), Step::PollChanges { .. }) {
            calls += 1;
            follower.store_failed(ms(now));
        }
    }
    assert!((10..=25).contains(&calls), "{calls}");
    assert!(!follower.reaches_store());
    follower.store_answered(rev(1));
    assert!(follower.reaches_store());
    assert!(matches!(
        follower.step(ms(10_000), true, true),
        Step::PollChanges { .. }
    ));
}

fn delegating_follower(spread: f64) -> Follower {
    let mut follower = follower(PreferredSource::Store);
    follower.delegate_store_reads(ms(0), spread);
    follower
}

#[test]
fn a_delegating_gateway_waits_for_the_readers_at_start_and_asks_the_store_in_time() {
    for spread in [0.0, 0.5, 1.0] {
        let follower = delegating_follower(spread);
        let Step::Wait(rest) = follower.step(ms(0), false, false) else {
            panic!("store reads are delegated");
        };
        assert!(
            rest >= CHANGE_DUE / 2 && rest < CHANGE_DUE * 9 / 10,
            "{rest:?}"
        );
        assert_eq!(follower.step(rest, false, false), Step::List);
        assert_eq!(
            follower.step(ms(1), true, false),
            Step::List,
            "a watcher lists at once"
        );
    }
}

#[test]
fn delegating_gateways_stagger_their_store_calls() {
    let rests: Vec<Step> = [0.0, 0.25, 0.5, 1.0]
        .map(|spread| delegating_follower(spread).step(ms(0), false, true))
        .to_vec();
    for (i, rest) in rests.iter().enumerate() {
        assert!(!rests[..i].contains(rest), "{rests:?}");
    }
}

#[test]
fn a_delegating_gateway_pulls_large_rows_and_whole_tables() {
    let mut follower = delegating_follower(0.0);
    follower.newer_reported(rev(7));
    assert_eq!(follower.step(ms(1), false, false), Step::PullFromPeer);
}

#[test]
fn failed_pulls_are_retried_with_exponential_backoff() {
    let mut follower = delegating_follower(0.0);
    let mut asked_at = Vec::new();
    for now in 0..1000 {
        follower.allow_pull_retry(ms(now));
        follower.newer_reported(rev(7));
        match follower.step(ms(now), false, true) {
            Step::PullFromPeer => {
                follower.pull_failed(ms(now));
                asked_at.push(now);
            }
            step => assert!(matches!(step, Step::Wait(_)), "the store is not asked"),
        }
    }
    let pauses: Vec<u64> = asked_at.windows(2).map(|at| at[1] - at[0]).collect();
    assert_eq!(pauses, [100, 200, 400]);
}

#[test]
fn backoff_and_response_timeout_grow_while_the_store_does_not_answer() {
    let mut follower = delegating_follower(0.0);
    let (mut now, mut pauses, mut timeouts) = (ms(2000), Vec::new(), Vec::new());
    for _ in 0..5 {
        timeouts.push(follower.response_timeout());
        follower.store_failed(now);
        let Step::Wait(rest) = follower.step(now, true, false) else {
            panic!("a failed call is followed by a backoff");
        };
        pauses.push(rest);
        now += rest;
    }
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]), "{pauses:?}");
    assert!(pauses[4] >= pauses[0] * 4, "{pauses:?}");
    assert!(timeouts.windows(2).all(|p| p[0] <= p[1]) && timeouts[4] >= timeouts[0] * 2);
}

#[test]
fn rows_are_pulled_from_another_region_only_if_the_store_is_silent_or_the_confirmation_is_old() {
    let mut delegating = delegating_follower(0.0);
    delegating.confirmed(ms(0));
    assert!(!delegating.can_pull_from_other_region(ms(500)));
    assert!(delegating.can_pull_from_other_region(CHANGE_DUE));
    delegating.confirmed(CHANGE_DUE);
    assert!(!delegating.can_pull_from_other_region(CHANGE_DUE));
    delegating.store_failed(CHANGE_DUE);
    assert!(delegating.can_pull_from_other_region(CHANGE_DUE));
    let direct = follower(PreferredSource::Peer);
    assert!(
        !direct.can_pull_from_other_region(CHANGE_DUE),
        "a gateway that does not delegate asks the store"
    );
}

// Gateways that the store refused confirmed nothing for as long as it refused all of those that read it for others.
#[test]
fn the_store_is_read_through_another_gateway_once_it_refuses_and_nobody_confirms_the_rows() {
    let mut follower = follower(PreferredSource::Peer);
    assert!(
        !follower.should_read_through_peer(ms(60_000)),
        "no rows yet"
    );
    follower.confirmed(ms(1000));
    let due = |follower: &Follower| (1000..).find(|at| follower.should_read_through_peer(ms(*at)));
    let due_while_silent = due(&follower).unwrap();
    assert!(due_while_silent < 1000 + CHANGE_DUE.as_millis() as u64);
    follower.store_failed(ms(1100));
    let due_once_refused = due(&follower).unwrap();
    assert!(due_once_refused < due_while_silent);
    follower.confirmed(ms(due_once_refused));
    assert!(!follower.should_read_through_peer(ms(due_once_refused)));
}
