//! Round-trip times between coordinators, measured by echoes of message times.

use std::time::Duration;

use gateway::{round_trip, Echoes};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_round_trip_excludes_the_time_for_which_an_echo_was_held() {
    let mut other = Echoes::default();
    // The message was sent at 5 s on the sender's clock; the receiver has run for an hour.
    other.receive(ms(3_600_000), "g1", 5_000);
    let echo = other.next(ms(3_600_400)).unwrap();
    assert_eq!(round_trip(ms(5_461), "g1", &echo), Some(ms(61)));
    assert_eq!(
        round_trip(ms(5_461), "g2", &echo),
        None,
        "echo of another gateway's message"
    );
}

#[test]
fn coordinators_are_echoed_in_turn() {
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
fn an_old_message_is_not_echoed() {
    let mut echoes = Echoes::default();
    echoes.receive(ms(0), "g1", 1);
    assert!(echoes.next(ms(1_600)).is_none());
}

#[test]
fn an_echo_of_a_message_of_an_earlier_process_gives_no_round_trip() {
    let mut echoes = Echoes::default();
    echoes.receive(ms(0), "g1", 900_000);
    let echo = echoes.next(ms(10)).unwrap();
    assert_eq!(round_trip(ms(500), "g1", &echo), None);
}

// A long round trip, as behind a full link, must not be dropped or taken for a short one.
#[test]
fn a_long_round_trip_counts_as_two_seconds() {
    let mut echoes = Echoes::default();
    echoes.receive(ms(0), "g1", 5_000);
    let echo = echoes.next(ms(10)).unwrap();
    assert_eq!(round_trip(ms(12_000), "g1", &echo), Some(ms(2_000)));
}
