//! Who is asked for changes of the store, and when.

use std::time::Duration;

use replica::{Follower, PreferredSource, Revision, Step};

const CHANGE_DUE: Duration = Duration::from_secs(2);

fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn follower(first: PreferredSource) -> Follower {
    Follower::new(first, CHANGE_DUE)
}

#[test]
fn rows_that_are_not_known_yet_are_asked_of_the_store() {
    assert_eq!(
        follower(PreferredSource::Peer).step(ms(0), false, false),
        Step::List
    );
}

#[test]
fn a_watcher_holds_calls_at_the_store() {
    let mut watcher = follower(PreferredSource::Peer);
    watcher.store_answered(rev(1));
    watcher.confirmed(ms(10));
    let step = watcher.step(ms(11), true, true);
    assert!(
        matches!(step, Step::PollChanges { hold } if hold > Duration::ZERO && hold < CHANGE_DUE / 2)
    );
}

#[test]
fn the_store_is_not_asked_while_others_confirm() {
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
fn the_store_is_asked_without_holding_once_the_others_are_silent() {
    let mut follower = follower(PreferredSource::Peer);
    follower.confirmed(ms(1000));
    let Step::Wait(rest) = follower.step(ms(1000), false, true) else {
        panic!("nothing is due yet");
    };
    // A change has to be in force two seconds after it at the latest.
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
fn a_change_is_taken_from_whoever_reported_it_and_else_from_the_store() {
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
fn an_answer_of_the_store_that_is_older_than_what_was_reported_ends_nothing() {
    let mut follower = follower(PreferredSource::Peer);
    follower.newer_reported(rev(7));
    follower.store_answered(rev(6));
    assert_eq!(follower.step(ms(1), false, true), Step::PullFromPeer);
}

#[test]
fn large_rows_come_from_the_store_and_from_others_only_if_it_does_not_answer() {
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
fn calls_of_a_store_that_does_not_answer_are_spaced_and_one_answer_ends_that() {
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

fn taker(spread: f64) -> Follower {
    let mut follower = follower(PreferredSource::Store);
    follower.delegate_store_reads(ms(0), spread);
    follower
}

#[test]
fn a_gateway_that_others_read_for_waits_for_them_at_its_start_and_asks_the_store_in_time() {
    for spread in [0.0, 0.5, 1.0] {
        let follower = taker(spread);
        let Step::Wait(rest) = follower.step(ms(0), false, false) else {
            panic!("others read");
        };
        assert!(
            rest >= CHANGE_DUE / 2 && rest < CHANGE_DUE * 9 / 10,
            "{rest:?}"
        );
        assert_eq!(follower.step(rest, false, false), Step::List);
        assert_eq!(follower.step(ms(1), true, false), Step::List, "a reader");
    }
}

#[test]
fn gateways_that_others_read_for_ask_the_store_one_after_the_other() {
    let rests: Vec<Step> = [0.0, 0.25, 0.5, 1.0]
        .map(|spread| taker(spread).step(ms(0), false, true))
        .to_vec();
    for (i, rest) in rests.iter().enumerate() {
        assert!(!rests[..i].contains(rest), "{rests:?}");
    }
}

#[test]
fn a_gateway_that_others_read_for_takes_also_large_and_whole_tables_from_them() {
    let mut follower = taker(0.0);
    follower.newer_reported(rev(7));
    assert_eq!(follower.step(ms(1), false, false), Step::PullFromPeer);
}

#[test]
fn rows_that_were_not_passed_on_are_asked_of_the_next_that_reports_them_and_ever_later() {
    let mut follower = taker(0.0);
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
fn a_store_that_does_not_answer_is_asked_ever_less_and_waited_for_longer() {
    let mut follower = taker(0.0);
    let (mut now, mut pauses, mut patience) = (ms(2000), Vec::new(), Vec::new());
    for _ in 0..5 {
        patience.push(follower.response_timeout());
        follower.store_failed(now);
        let Step::Wait(rest) = follower.step(now, true, false) else {
            panic!("a pause follows");
        };
        pauses.push(rest);
        now += rest;
    }
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]), "{pauses:?}");
    assert!(pauses[4] >= pauses[0] * 4, "{pauses:?}");
    assert!(patience.windows(2).all(|p| p[0] <= p[1]) && patience[4] >= patience[0] * 2);
}

#[test]
fn rows_of_another_region_are_taken_only_where_the_store_is_silent_or_nothing_was_confirmed() {
    let mut taker = taker(0.0);
    taker.confirmed(ms(0));
    assert!(!taker.can_pull_from_other_region(ms(500)));
    assert!(taker.can_pull_from_other_region(CHANGE_DUE));
    taker.confirmed(CHANGE_DUE);
    assert!(!taker.can_pull_from_other_region(CHANGE_DUE));
    taker.store_failed(CHANGE_DUE);
    assert!(taker.can_pull_from_other_region(CHANGE_DUE));
    let near = follower(PreferredSource::Peer);
    assert!(
        !near.can_pull_from_other_region(CHANGE_DUE),
        "who is near asks the store"
    );
}
