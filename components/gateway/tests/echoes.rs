//! What echoes of messages show of the way between gateways.

use std::time::Duration;

use gateway::{round_trip, Echoes};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_echo_shows_the_way_without_the_time_that_it_was_held() {
    let mut other = Echoes::default();
    // Sent at 5 s on the sender's clock; the other process has run for an hour.
    other.receive(ms(3_600_000), "g1", 5_000);
    let echo = other.next(ms(3_600_400)).unwrap();
    assert_eq!(round_trip(ms(5_461), "g1", &echo), Some(ms(61)));
    assert_eq!(
        round_trip(ms(5_461), "g2", &echo),
        None,
        "another's message"
    );
}

#[test]
fn each_coordinator_has_its_turn() {
    let mut echoes = Echoes::default();
    for name in ["g1", "g2", "g3"] {
        echoes.receive(ms(0), name, 1);
    }
    let mut taken = |count| {
        let echoes = (0..count).filter_map(|_| echoes.next(ms(1)));
        echoes.map(|echo| echo.gateway).collect::<Vec<_>>()
    };
    let (first, second) = (taken(3), taken(3));
    assert_eq!(first, second);
    assert!(first[0] != first[1] && first[1] != first[2] && first[0] != first[2]);
}

#[test]
fn what_came_long_ago_is_not_echoed() {
    let mut echoes = Echoes::default();
    echoes.receive(ms(0), "g1", 1);
    assert!(echoes.next(ms(1_600)).is_none());
}

#[test]
fn an_echo_to_a_process_before_this_one_shows_nothing() {
    let mut echoes = Echoes::default();
    echoes.receive(ms(0), "g1", 900_000);
    let echo = echoes.next(ms(10)).unwrap();
    assert_eq!(round_trip(ms(500), "g1", &echo), None);
}

#[test]
fn an_echo_from_behind_a_full_link_shows_a_long_way() {
    let mut echoes = Echoes::default();
    echoes.receive(ms(0), "g1", 5_000);
    let echo = echoes.next(ms(10)).unwrap();
    assert_eq!(round_trip(ms(12_000), "g1", &echo), Some(ms(2_000)));
}
