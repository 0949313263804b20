//! What ends its endpoints is held back everywhere, and nothing else is for long.

use std::time::Duration;

use quarantine::{Fingerprint, Held, Observation, Quarantine};
use quickcheck::quickcheck;

const DEADLY: Fingerprint = Fingerprint(7);
const NOW: Duration = Duration::from_secs(100);
const HOUR: Duration = Duration::from_secs(3600);

fn ended(content: Fingerprint, endpoint: u64) -> Observation {
    Observation::Ended { content, endpoint }
}

fn after_ends(endpoints: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in endpoints {
        quarantine.record(NOW, ended(DEADLY, *endpoint));
    }
    quarantine
}

fn is_held(quarantine: &Quarantine, now: Duration) -> bool {
    quarantine.remaining_hold(now, DEADLY).is_some()
}

#[test]
fn three_endpoints_that_end_under_one_content_hold_it_back() {
    assert!(!is_held(&after_ends(&[1, 2]), NOW));
    assert!(is_held(&after_ends(&[1, 2, 3]), NOW));
}

#[test]
fn one_endpoint_counts_once_however_many_gateways_saw_it_end() {
    assert!(!is_held(&after_ends(&[1, 1, 1, 2, 2, 1]), NOW));
}

#[test]
fn after_two_ends_a_gateway_sends_it_on_no_more() {
    assert!(after_ends(&[1]).can_retry(NOW, DEADLY));
    assert!(!after_ends(&[1, 2]).can_retry(NOW, DEADLY));
    assert!(!after_ends(&[1, 2, 3]).can_retry(NOW, DEADLY));
}

#[test]
fn a_whole_run_clears_a_content_and_speaks_for_it_for_a_while() {
    let mut quarantine = after_ends(&[1, 2]);
    assert!(quarantine.record(NOW, Observation::Completed(DEADLY)));
    assert!(
        !quarantine.record(NOW, Observation::Completed(DEADLY)),
        "no news"
    );
    for endpoint in 3..10 {
        quarantine.record(NOW, ended(DEADLY, endpoint));
    }
    assert!(!is_held(&quarantine, NOW));
    let later = NOW + HOUR;
    for endpoint in 10..13 {
        quarantine.record(later, ended(DEADLY, endpoint));
    }
    assert!(is_held(&quarantine, later));
}

#[test]
fn a_content_that_was_under_way_elsewhere_and_ran_whole_is_let_go_everywhere() {
    let mut here = after_ends(&[1, 2, 3]);
    let mut there = after_ends(&[1, 2, 3]);
    assert!(here.record(NOW, Observation::Completed(DEADLY)));
    assert!(!is_held(&here, NOW));
    for held in here.held_to_report(NOW, 0, 8) {
        there.merge_held(NOW, held);
    }
    assert!(!is_held(&there, NOW));
    for held in there.held_to_report(NOW, 0, 8) {
        here.merge_held(NOW, held);
    }
    assert!(!is_held(&here, NOW));
}

#[test]
fn what_was_held_back_before_is_held_back_longer_at_its_next_end() {
    let mut quarantine = after_ends(&[1, 2, 3]);
    let first = quarantine.remaining_hold(NOW, DEADLY).unwrap();
    let over = NOW + first;
    assert!(!is_held(&quarantine, over));
    quarantine.record(over, ended(DEADLY, 4));
    assert!(quarantine.remaining_hold(over, DEADLY).unwrap() > first);
}

#[test]
fn a_suspicion_is_forgotten() {
    let mut quarantine = after_ends(&[1, 2]);
    quarantine.record(NOW + HOUR, ended(DEADLY, 3));
    assert!(!is_held(&quarantine, NOW + HOUR));
}

#[test]
fn word_between_gateways_does_not_make_a_hold_longer() {
    let mut quarantine = after_ends(&[1, 2, 3]);
    let until = NOW + quarantine.remaining_hold(NOW, DEADLY).unwrap();
    let mut other = Quarantine::default();
    for round in 1..1000 {
        // Each message is 100 ms on its way.
        let sent = NOW + Duration::from_millis(200 * round);
        let received = sent + Duration::from_millis(100);
        let reported = quarantine.held_to_report(sent, 0, 8);
        reported.into_iter().for_each(|held| {
            other.merge_held(received, held);
        });
        let reported = other.held_to_report(received, 0, 8);
        reported.into_iter().for_each(|held| {
            quarantine.merge_held(received + Duration::from_millis(100), held);
        });
    }
    assert!(!is_held(&quarantine, until));
}

#[test]
fn a_hold_that_another_gateway_names_is_never_longer_than_its_own_would_be() {
    let mut quarantine = Quarantine::default();
    let held = Held {
        content: DEADLY,
        remaining: Duration::MAX / 4,
        hold_count: 1,
    };
    assert!(quarantine.merge_held(NOW, held));
    assert!(!is_held(&quarantine, NOW + HOUR));
}

#[test]
fn everything_held_back_is_reported_in_turn_and_what_is_new_at_once() {
    let mut quarantine = Quarantine::default();
    let hold = |quarantine: &mut Quarantine, now, content| {
        for endpoint in 1..=3 {
            quarantine.record(now, ended(Fingerprint(content), endpoint));
        }
    };
    for content in 1..=20 {
        hold(&mut quarantine, NOW, content);
    }
    let later = NOW + Duration::from_secs(10);
    hold(&mut quarantine, later, 99);
    let mut heard = Vec::new();
    for turn in 0..10 {
        let reported = quarantine.held_to_report(later, turn, 8);
        assert_eq!((reported.len(), reported[0].content.0), (8, 99));
        heard.extend(reported.iter().map(|held| held.content.0));
    }
    heard.sort();
    heard.dedup();
    assert_eq!(heard.len(), 21);
}

#[test]
fn the_order_in_which_word_comes_makes_no_difference() {
    fn same(endpoints: Vec<u8>, seed: usize) -> bool {
        let mut turned = endpoints.clone();
        turned.rotate_left(seed % endpoints.len().max(1));
        let hold = |list: &[u8]| {
            let list: Vec<u64> = list
                .iter()
                .map(|endpoint| u64::from(*endpoint % 8))
                .collect();
            is_held(&after_ends(&list), NOW)
        };
        hold(&endpoints) == hold(&turned)
    }
    quickcheck(same as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn many_suspects_and_holds_stay_bounded_and_the_newest_are_kept() {
    let mut quarantine = Quarantine::default();
    for content in 0..20_000 {
        quarantine.record(NOW, ended(Fingerprint(content), 1));
        quarantine.record(NOW, ended(Fingerprint(content), 2));
    }
    assert!(quarantine.can_retry(NOW, Fingerprint(0)));
    assert!(!quarantine.can_retry(NOW, Fingerprint(19_999)));
    for content in 0..2_000 {
        for endpoint in 1..=3 {
            quarantine.record(NOW, ended(Fingerprint(content), endpoint));
        }
    }
    assert!(quarantine.all_held(NOW).count() <= 256);
}
