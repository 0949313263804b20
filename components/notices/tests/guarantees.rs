//! A notice applies exactly as long as the endpoint asked for.

use std::time::Duration;

use limits::SendRate;
use notices::{Availability, LimitNotice, Notices};
use quickcheck::quickcheck;

const S: &str = "s";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_endpoint_that_leaves_is_never_open_again() {
    let mut notices = Notices::default();
    assert!(notices.record_leaving(1, S));
    assert!(!notices.record_leaving(1, S));
    notices.record_pause(ms(0), 1, S, ms(10));
    let later = Duration::from_secs(365 * 24 * 3600);
    assert_eq!(notices.availability(later, 1), Availability::Leaving);
    assert_eq!(notices.availability(later, 2), Availability::Open);
}

#[test]
fn a_pause_ends_at_the_time_asked_for() {
    let mut notices = Notices::default();
    notices.record_pause(ms(100), 1, S, ms(3000));
    assert_eq!(
        notices.availability(ms(3099), 1),
        Availability::Paused(ms(1))
    );
    assert_eq!(notices.availability(ms(3100), 1), Availability::Open);
}

#[test]
fn a_pause_of_maximal_duration_does_not_overflow() {
    let mut notices = Notices::default();
    notices.record_pause(ms(100), 1, S, Duration::MAX);
    assert!(matches!(
        notices.availability(ms(200), 1),
        Availability::Paused(_)
    ));
}

#[test]
fn unavailable_endpoints_and_the_shortest_wait_are_listed_by_service() {
    let mut notices = Notices::default();
    notices.record_leaving(1, S);
    notices.record_pause(ms(0), 2, S, ms(500));
    notices.record_pause(ms(0), 3, S, ms(300));
    notices.record_pause(ms(0), 4, "other", ms(100));
    assert_eq!(notices.unavailable(ms(10), S, 2), [3, 2]);
    assert_eq!(notices.unavailable(ms(400), S, 9), [2, 1]);
    assert_eq!(notices.min_time_until_open(ms(10), S), Some(ms(290)));
    assert_eq!(notices.min_time_until_open(ms(600), S), None);
}

quickcheck! {
    fn the_pause_that_ends_last_applies(pauses: Vec<(u16, u16)>) -> bool {
        let mut notices = Notices::default();
        let mut now = ms(0);
        let mut until = ms(0);
        for (step, pause) in pauses {
            now += ms(step.into());
            notices.record_pause(now, 1, S, ms(pause.into()));
            until = until.max(now + ms(pause.into()));
            let expected = match until.saturating_sub(now) {
                Duration::ZERO => Availability::Open,
                left => Availability::Paused(left),
            };
            if notices.availability(now, 1) != expected {
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

// Guards against an overtaken answer that restores a limit which has changed or ended.
#[test]
fn the_limit_in_the_answer_to_the_newest_request_applies() {
    let mut notices = Notices::default();
    assert!(!notices.record_limit(&limit(None, ms(5))), "it named none");
    assert!(notices.record_limit(&limit(Some(4.0), ms(10))));
    assert!(notices.record_limit(&limit(Some(1.0), ms(30))));
    assert!(!notices.record_limit(&limit(Some(4.0), ms(20))));
    assert_eq!(notices.limit(1), SendRate::from_per_s(1.0));
    assert!(notices.record_limit(&limit(None, ms(40))));
    assert!(!notices.record_limit(&limit(Some(1.0), ms(35))));
    assert_eq!(notices.limit(1), None);
    assert_eq!(notices.limit(2), None);
}

// Guards against a notice that seems newer with each gateway that forwards it, until it overrides the end of the limit.
#[test]
fn a_forwarded_limit_keeps_its_original_age() {
    let mut notices = Notices::default();
    assert!(notices.record_limit(&limit(Some(4.0), ms(10))));
    for hop in 1..100 {
        assert!(!notices.record_limit(&limit(Some(4.0), ms(10 + hop))));
    }
    assert!(notices.record_limit(&limit(None, ms(11))));
}

#[test]
fn an_exhausted_limit_makes_an_endpoint_unavailable_until_the_wait_passes_or_the_limit_ends() {
    let mut notices = Notices::default();
    notices.record_limit_exhausted(ms(0), 1, ms(500));
    assert_eq!(
        notices.availability(ms(0), 1),
        Availability::Open,
        "no limit"
    );
    notices.record_limit(&limit(Some(4.0), ms(10)));
    notices.record_limit_exhausted(ms(20), 1, ms(500));
    assert_eq!(
        notices.availability(ms(120), 1),
        Availability::LimitExhausted(ms(400))
    );
    assert_eq!(notices.min_time_until_open(ms(120), S), Some(ms(400)));
    notices.record_pause(ms(120), 1, S, ms(3000));
    assert_eq!(
        notices.availability(ms(120), 1),
        Availability::Paused(ms(3000))
    );
    notices.record_limit(&limit(None, ms(50)));
    assert_eq!(notices.availability(ms(3120), 1), Availability::Open);
}

// Guards against the eviction of limits when every endpoint of a fleet of 20,000 gives one.
#[test]
fn limits_of_twenty_thousand_endpoints_are_kept_at_once() {
    const ENDPOINTS: u64 = 20_000;
    let mut notices = Notices::default();
    for start in 0..ENDPOINTS {
        let reported = LimitNotice {
            start,
            ..limit(Some(1.0), ms(start))
        };
        assert!(notices.record_limit(&reported));
    }
    assert!((0..ENDPOINTS).all(|start| notices.limit(start).is_some()));
}

// Guards against refusals that add up over all gateways until a fragile endpoint fails.
#[test]
fn a_fragile_endpoint_without_room_gets_no_requests_until_the_refusals_of_all_gateways_fit() {
    let mut notices = Notices::default();
    assert_eq!(notices.record_refusal(ms(0), 1, S, 9), ms(0));
    assert_eq!(notices.availability(ms(0), 1), Availability::Open);
    assert!(notices.record_fragility(ms(0), S, Some(3)));
    assert!(!notices.record_fragility(ms(10), S, Some(3)));
    assert_eq!(notices.record_refusal(ms(10), 1, S, 9), ms(3000));
    assert_eq!(
        notices.availability(ms(10), 1),
        Availability::Full(ms(3000))
    );
    assert_eq!(notices.availability(ms(3010), 1), Availability::Open);
    assert_eq!(notices.availability(ms(10), 2), Availability::Open);
    assert_eq!(notices.record_refusal(ms(10), 2, S, 2), ms(1000));
    assert!(notices.record_fragility(ms(20), S, None));
    assert_eq!(notices.max_refusals_per_s(ms(20), S), None);
}
