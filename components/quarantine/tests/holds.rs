//! Contents that end their endpoints are held back at all gateways, and other contents are not held back for long.

use std::time::Duration;

use quarantine::{EndedRun, Fingerprint, Held, Observation, Quarantine};
use quickcheck::quickcheck;

const CRASHING: Fingerprint = Fingerprint(7);
const NOW: Duration = Duration::from_secs(100);
const HOUR: Duration = Duration::from_secs(3600);

fn ended(content: Fingerprint, endpoint: u64) -> Observation {
    Observation::Ended(EndedRun {
        content,
        endpoint,
        ..EndedRun::default()
    })
}

fn after_ends(endpoints: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in endpoints {
        quarantine.record(NOW, &ended(CRASHING, *endpoint));
    }
    quarantine
}

fn is_held(quarantine: &Quarantine, now: Duration) -> bool {
    quarantine.remaining_hold(now, CRASHING).is_some()
}

#[test]
fn a_content_is_held_back_after_three_endpoints_ended() {
    assert!(!is_held(&after_ends(&[1, 2]), NOW));
    assert!(is_held(&after_ends(&[1, 2, 3]), NOW));
}

#[test]
fn an_ended_endpoint_counts_once_even_if_several_gateways_report_it() {
    assert!(!is_held(&after_ends(&[1, 1, 1, 2, 2, 1]), NOW));
}

#[test]
fn after_two_ended_endpoints_a_gateway_does_not_retry() {
    assert!(after_ends(&[1]).can_retry(NOW, CRASHING));
    assert!(!after_ends(&[1, 2]).can_retry(NOW, CRASHING));
    assert!(!after_ends(&[1, 2, 3]).can_retry(NOW, CRASHING));
}

#[test]
fn a_completed_run_clears_a_content_and_protects_it_for_a_while() {
    let mut quarantine = after_ends(&[1, 2]);
    assert!(quarantine.record(NOW, &Observation::Completed(CRASHING)));
    assert!(
        !quarantine.record(NOW, &Observation::Completed(CRASHING)),
        "no news"
    );
    for endpoint in 3..10 {
        quarantine.record(NOW, &ended(CRASHING, endpoint));
    }
    assert!(!is_held(&quarantine, NOW));
    let later = NOW + HOUR;
    for endpoint in 10..13 {
        quarantine.record(later, &ended(CRASHING, endpoint));
    }
    assert!(is_held(&quarantine, later));
}

#[test]
fn a_completed_run_of_a_held_content_ends_its_hold_at_all_gateways() {
    let mut here = after_ends(&[1, 2, 3]);
    let mut there = after_ends(&[1, 2, 3]);
    assert!(here.record(NOW, &Observation::Completed(CRASHING)));
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
fn a_content_that_was_held_back_before_is_held_back_longer_at_its_next_ended_endpoint() {
    let mut quarantine = after_ends(&[1, 2, 3]);
    let first = quarantine.remaining_hold(NOW, CRASHING).unwrap();
    let over = NOW + first;
    assert!(!is_held(&quarantine, over));
    quarantine.record(over, &ended(CRASHING, 4));
    assert!(quarantine.remaining_hold(over, CRASHING).unwrap() > first);
}

#[test]
fn a_suspicion_expires() {
    let mut quarantine = after_ends(&[1, 2]);
    quarantine.record(NOW + HOUR, &ended(CRASHING, 3));
    assert!(!is_held(&quarantine, NOW + HOUR));
}

#[test]
fn reports_between_gateways_do_not_extend_a_hold() {
    let mut quarantine = after_ends(&[1, 2, 3]);
    let until = NOW + quarantine.remaining_hold(NOW, CRASHING).unwrap();
    let mut other = Quarantine::default();
    for exchange in 1..1000 {
        // Each message takes 100 ms.
        let sent = NOW + Duration::from_millis(200 * exchange);
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
fn a_reported_hold_is_never_longer_than_the_gateways_own_would_be() {
    let mut quarantine = Quarantine::default();
    let held = Held {
        content: CRASHING,
        remaining: Duration::MAX / 4,
        hold_count: 1,
    };
    assert!(quarantine.merge_held(NOW, held));
    assert!(!is_held(&quarantine, NOW + HOUR));
}

#[test]
fn all_holds_are_reported_in_turn_and_new_ones_at_once() {
    let mut quarantine = Quarantine::default();
    let hold = |quarantine: &mut Quarantine, now, content| {
        for endpoint in 1..=3 {
            quarantine.record(now, &ended(Fingerprint(content), endpoint));
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
fn the_order_of_reports_makes_no_difference() {
    fn same(endpoints: Vec<u8>, seed: usize) -> bool {
        let mut rotated = endpoints.clone();
        rotated.rotate_left(seed % endpoints.len().max(1));
        let hold = |list: &[u8]| {
            let list: Vec<u64> = list
                .iter()
                .map(|endpoint| u64::from(*endpoint % 8))
                .collect();
            is_held(&after_ends(&list), NOW)
        };
        hold(&endpoints) == hold(&rotated)
    }
    quickcheck(same as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn many_suspects_and_holds_stay_bounded_and_the_newest_are_kept() {
    let mut quarantine = Quarantine::default();
    for content in 0..20_000 {
        quarantine.record(NOW, &ended(Fingerprint(content), 1));
        quarantine.record(NOW, &ended(Fingerprint(content), 2));
    }
    assert!(quarantine.can_retry(NOW, Fingerprint(0)));
    assert!(!quarantine.can_retry(NOW, Fingerprint(19_999)));
    for content in 0..2_000 {
        for endpoint in 1..=3 {
            quarantine.record(NOW, &ended(Fingerprint(content), endpoint));
        }
    }
    assert!(quarantine.all_held(NOW).count() <= 256);
}
