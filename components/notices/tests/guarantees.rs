//! What endpoints said binds as long as they asked, and no longer.

use std::time::Duration;

use limits::SendRate;
use notices::{LimitNotice, Notices, Standing};
use quickcheck::quickcheck;

const S: &str = "s";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_endpoint_that_leaves_is_never_open_again() {
    let mut notices = Notices::default();
    assert!(notices.note_leaving(1, S));
    assert!(!notices.note_leaving(1, S));
    notices.note_pause(ms(0), 1, S, ms(10));
    let later = Duration::from_secs(365 * 24 * 3600);
    assert_eq!(notices.standing(later, 1), Standing::Leaving);
    assert_eq!(notices.standing(later, 2), Standing::Open);
}

#[test]
fn a_pause_ends_at_the_time_asked_for() {
    let mut notices = Notices::default();
    notices.note_pause(ms(100), 1, S, ms(3000));
    assert_eq!(notices.standing(ms(3099), 1), Standing::Paused(ms(1)));
    assert_eq!(notices.standing(ms(3100), 1), Standing::Open);
}

#[test]
fn a_pause_longer_than_any_clock_binds_and_breaks_nothing() {
    let mut notices = Notices::default();
    notices.note_pause(ms(100), 1, S, Duration::MAX);
    assert!(matches!(notices.standing(ms(200), 1), Standing::Paused(_)));
}

#[test]
fn what_is_closed_and_the_least_pause_are_told_by_service() {
    let mut notices = Notices::default();
    notices.note_leaving(1, S);
    notices.note_pause(ms(0), 2, S, ms(500));
    notices.note_pause(ms(0), 3, S, ms(300));
    notices.note_pause(ms(0), 4, "other", ms(100));
    assert_eq!(notices.closed(ms(10), S, 2), [3, 2]);
    assert_eq!(notices.closed(ms(400), S, 9), [2, 1]);
    assert_eq!(notices.least_pause(ms(10), S), Some(ms(290)));
    assert_eq!(notices.least_pause(ms(600), S), None);
}

quickcheck! {
    fn of_several_pauses_the_one_that_ends_last_binds(pauses: Vec<(u16, u16)>) -> bool {
        let mut notices = Notices::default();
        let mut now = ms(0);
        let mut until = ms(0);
        for (step, pause) in pauses {
            now += ms(step.into());
            notices.note_pause(now, 1, S, ms(pause.into()));
            until = until.max(now + ms(pause.into()));
            let expected = match until.saturating_sub(now) {
                Duration::ZERO => Standing::Open,
                left => Standing::Paused(left),
            };
            if notices.standing(now, 1) != expected {
                return false;
            }
        }
        true
    }
}

fn limit(per_s: Option<f64>, asked_at: Duration) -> LimitNotice {
    LimitNotice {
        start: 1,
        service: S.into(),
        rate: per_s.map(|per_s| SendRate::from_per_s(per_s).unwrap()),
        asked_at,
    }
}

// Guards against an answer that overtook another and brings back a limit that has changed or ended.
#[test]
fn of_what_an_endpoint_says_of_its_limit_the_newest_request_decides() {
    let mut notices = Notices::default();
    assert!(!notices.note_limit(&limit(None, ms(5))), "it named none");
    assert!(notices.note_limit(&limit(Some(4.0), ms(10))));
    assert!(notices.note_limit(&limit(Some(1.0), ms(30))));
    assert!(!notices.note_limit(&limit(Some(4.0), ms(20))));
    assert_eq!(notices.limit(1), SendRate::from_per_s(1.0));
    assert!(notices.note_limit(&limit(None, ms(40))));
    assert!(!notices.note_limit(&limit(Some(1.0), ms(35))));
    assert_eq!(notices.limit(1), None);
    assert_eq!(notices.limit(2), None);
}

// Guards against word that grows younger with each gateway that passes it on, until it outlives the end of the limit.
#[test]
fn a_limit_that_is_passed_on_stays_as_old_as_it_was() {
    let mut notices = Notices::default();
    assert!(notices.note_limit(&limit(Some(4.0), ms(10))));
    for hop in 1..100 {
        assert!(!notices.note_limit(&limit(Some(4.0), ms(10 + hop))));
    }
    assert!(notices.note_limit(&limit(None, ms(11))));
}

#[test]
fn a_limit_that_is_used_up_closes_an_endpoint_until_a_send_is_granted_or_it_ends() {
    let mut notices = Notices::default();
    notices.note_spent(ms(0), 1, ms(500));
    assert_eq!(notices.standing(ms(0), 1), Standing::Open, "no limit");
    notices.note_limit(&limit(Some(4.0), ms(10)));
    notices.note_spent(ms(20), 1, ms(500));
    assert_eq!(notices.standing(ms(120), 1), Standing::Spent(ms(400)));
    assert_eq!(notices.least_pause(ms(120), S), Some(ms(400)));
    notices.note_pause(ms(120), 1, S, ms(3000));
    assert_eq!(notices.standing(ms(120), 1), Standing::Paused(ms(3000)));
    notices.note_limit(&limit(None, ms(50)));
    assert_eq!(notices.standing(ms(3120), 1), Standing::Open);
}

// Guards against limits that are forgotten where every endpoint of a fleet of twice ten thousand names one.
#[test]
fn twenty_thousand_endpoints_may_name_limits_at_once() {
    const ENDPOINTS: u64 = 20_000;
    let mut notices = Notices::default();
    for start in 0..ENDPOINTS {
        let said = LimitNotice {
            start,
            ..limit(Some(1.0), ms(start))
        };
        assert!(notices.note_limit(&said));
    }
    assert!((0..ENDPOINTS).all(|start| notices.limit(start).is_some()));
}
