//! Wall clocks that jump.
//!
//! Guards against wrong usage reports: in a fault test, the clocks of half of the gateways went 4 s ahead for 8 s, and those
//! of more than half went 5 s back for 6 s. Four usage windows were reported with too many or too few requests, since each
//! gateway assigned requests to windows by its own wall clock.

use std::time::Duration;

use gateway::WallClockEstimate;
use quickcheck::quickcheck;

const S: i64 = 1_000_000;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_clock_jump_that_is_reverted_does_not_change_the_believed_time_even_without_peers() {
    let mut day = WallClockEstimate::new(100 * S);
    let look = day.observe_reading(s(10), 104 * S);
    assert_eq!((look.estimated_us, look.jumped_us), (100 * S, Some(4 * S)));
    assert_eq!(
        day.observe_reading(s(11), 104 * S).jumped_us,
        None,
        "a jump is reported once"
    );
    let back = day.observe_reading(s(18), 100 * S + 20);
    assert_eq!((back.estimated_us, back.jumped_us), (100 * S + 20, None));
}

#[test]
fn a_clock_that_keeps_its_jump_for_two_minutes_is_believed() {
    let mut day = WallClockEstimate::new(0);
    day.observe_reading(s(10), 4 * S);
    assert_eq!(day.observe_reading(s(129), 4 * S).estimated_us, 0);
    assert_eq!(day.observe_reading(s(130), 4 * S).estimated_us, 4 * S);
}

#[test]
fn a_clock_that_differs_from_all_others_stays_outvoted() {
    let mut day = WallClockEstimate::new(0);
    for second in 1..600 {
        day.receive(s(second), "a", 5);
        day.receive(s(second), "b", 7);
        assert!(
            day.observe_reading(s(second), 4 * S).estimated_us <= 7,
            "{second}"
        );
    }
}

#[test]
fn a_process_that_starts_with_a_wrong_clock_believes_its_peers_while_it_hears_them() {
    let mut day = WallClockEstimate::new(-5 * S);
    assert_eq!(day.observe_reading(s(0), -5 * S).estimated_us, -5 * S);
    day.receive(s(1), "a", 3);
    day.receive(s(1), "b", 4);
    assert_eq!(day.observe_reading(s(1), -5 * S).estimated_us, 3);
    assert_eq!(
        day.observe_reading(s(60), -5 * S).estimated_us,
        -5 * S,
        "without peers it believes its own clock"
    );
}

#[test]
fn small_corrections_of_a_clock_are_followed() {
    let mut day = WallClockEstimate::new(0);
    for step in 1..=100 {
        let offset = step * 100_000;
        assert_eq!(
            day.observe_reading(s(step as u64), offset).estimated_us,
            offset
        );
    }
}

quickcheck! {
    fn the_believed_time_is_within_the_offsets_of_the_majority(wrong: Vec<i64>, right: Vec<u8>) -> bool {
        let mut day = WallClockEstimate::new(0);
        let wrong = wrong.into_iter().take(right.len());
        for (i, offset) in wrong.enumerate() {
            day.receive(s(1), &format!("wrong {i}"), offset);
        }
        for (i, offset) in right.iter().enumerate() {
            day.receive(s(1), &format!("right {i}"), i64::from(*offset));
        }
        let believed = day.observe_reading(s(1), 0).estimated_us;
        (0..=255).contains(&believed)
    }
}
