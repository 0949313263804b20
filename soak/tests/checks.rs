//! Each check passes over a sound history, and finds the one thing that breaks its rule.

use soak::checks::all;
use soak::{Body, Kind, Lack, Place, Record, Seen};

/// A history under way, at a time in ms.
#[derive(Default)]
struct Told {
    records: Vec<Record>,
}

impl Told {
    fn at(mut self, at: u64, seen: Seen) -> Self {
        self.records.push(Record { at, seen });
        self
    }

    // A gateway that runs from the start, with the first configuration.
    fn begin() -> Self {
        let started = Seen::Started { gateway: 0 };
        Told::default()
            .at(0, Seen::Configured { version: 1 })
            .at(1, started)
    }

    fn sent(self, at: u64, id: &str, kind: Kind, path: &str, key: &str) -> Self {
        let sent = Seen::Sent {
            id: id.into(),
            kind,
            path: path.into(),
            key: key.into(),
            gateway: 0,
        };
        self.at(at, sent)
    }

    fn once(self, at: u64, id: &str) -> Self {
        self.sent(at, id, Kind::Once, "/once/", "steady")
    }

    fn began(self, at: u64, id: &str, path: &str) -> Self {
        let began = Seen::Began {
            id: id.into(),
            endpoint: "e0-1".into(),
            path: path.into(),
            team: Some("t".into()),
            key_shown: false,
        };
        self.at(at, began)
    }

    fn answered(self, at: u64, id: &str, status: u16) -> Self {
        let signed = status == 200;
        let answered = Seen::Answered {
            id: id.into(),
            status,
            of: signed.then(|| id.to_string()),
            signed,
            body: Body::Whole { right: true },
        };
        self.at(at, answered)
    }

    fn streamed(self, at: u64, id: &str, numbers: &[u64], ended: bool) -> Self {
        let answered = Seen::Answered {
            id: id.into(),
            status: 200,
            of: Some(id.into()),
            signed: true,
            body: Body::Events {
                numbers: numbers.to_vec(),
                own: true,
                total: 3,
                ended,
            },
        };
        self.at(at, answered)
    }

    fn reported(self, at: u64, holder: &str, fence: u64, window: i64) -> Self {
        let reported = Seen::Reported {
            holder: holder.into(),
            fence,
            window,
            counts: "{\"t\":1}".into(),
        };
        self.at(at, reported)
    }

    fn findings(&self) -> Vec<&'static str> {
        let verdicts = all(&self.records, 1);
        verdicts.findings.iter().map(|f| f.check).collect()
    }
}

fn served() -> Told {
    Told::begin()
        .once(5_000, "a")
        .began(5_001, "a", "/once/")
        .answered(5_010, "a", 200)
}

#[test]
fn a_sound_history_has_no_findings() {
    let told = served()
        .once(5_020, "b")
        .answered(5_030, "b", 503)
        .sent(5_040, "s", Kind::Stream, "/str/", "steady")
        .began(5_041, "s", "/str/")
        .streamed(5_100, "s", &[1, 2, 3], true)
        .sent(5_200, "u", Kind::Stream, "/str/", "steady")
        .began(5_201, "u", "/str/")
        .at(5_202, Seen::BrokeOff { id: "u".into() })
        .streamed(5_300, "u", &[1, 2], false)
        .reported(5_400, "g0", 1, 1)
        .reported(5_500, "g0", 1, 1)
        .reported(5_600, "g1", 2, 2);
    assert_eq!(told.findings(), Vec::<&str>::new());
}

#[test]
fn an_answer_to_another_request_is_found() {
    let answered = Seen::Answered {
        id: "a".into(),
        status: 200,
        of: Some("b".into()),
        signed: true,
        body: Body::Whole { right: true },
    };
    let told = Told::begin().once(5_000, "a").at(5_010, answered);
    assert_eq!(told.findings(), ["own answers"]);
}

#[test]
fn a_success_that_no_endpoint_made_is_found() {
    let mut told = served();
    for record in &mut told.records {
        if let Seen::Answered { signed, .. } = &mut record.seen {
            *signed = false;
        }
    }
    assert_eq!(told.findings(), ["own answers"]);
}

#[test]
fn another_body_and_bytes_without_a_request_are_found() {
    let mut told = served().at(5_020, Seen::Stray { gateway: 0 });
    for record in &mut told.records {
        if let Seen::Answered { body, .. } = &mut record.seen {
            *body = Body::Whole { right: false };
        }
    }
    assert_eq!(told.findings(), ["own answers", "own answers"]);
}

#[test]
fn a_request_that_nobody_sent_is_found() {
    let told = served().began(5_020, "x", "/once/");
    assert_eq!(told.findings(), ["as asked"]);
}

#[test]
fn a_key_shown_to_an_endpoint_is_found() {
    let mut told = served();
    for record in &mut told.records {
        if let Seen::Began { key_shown, .. } = &mut record.seen {
            *key_shown = true;
        }
    }
    assert_eq!(told.findings(), ["as asked"]);
}

#[test]
fn a_second_run_of_what_may_run_once_is_found() {
    let told = served().began(5_020, "a", "/once/");
    assert_eq!(told.findings(), ["once"]);
}

#[test]
fn a_run_after_a_refusal_is_found() {
    let told = Told::begin()
        .once(5_000, "a")
        .answered(5_010, "a", 503)
        .began(9_000, "a", "/once/");
    assert_eq!(told.findings(), ["refused"]);
}

#[test]
fn a_gap_a_double_and_an_early_end_of_a_stream_are_found() {
    for (numbers, ended) in [(&[1, 3][..], false), (&[1, 2, 2, 3], true), (&[1, 2], true)] {
        let told = Told::begin()
            .sent(5_000, "s", Kind::Resumable, "/res/", "steady")
            .began(5_001, "s", "/res/")
            .streamed(5_100, "s", numbers, ended);
        assert_eq!(told.findings(), ["streams"], "{numbers:?}");
    }
}

fn leaving(paused: bool) -> Told {
    let leaving = Seen::Leaving {
        endpoint: "e0-1".into(),
    };
    let told = Told::begin().at(5_000, leaving);
    let (place, what) = (Place::Gateway(0), "pause".to_string());
    let told = match paused {
        true => told
            .at(
                5_100,
                Seen::Fault {
                    place,
                    what: what.clone(),
                },
            )
            .at(6_500, Seen::Healed { place, what }),
        false => told,
    };
    told.once(8_000, "a")
        .began(8_001, "a", "/once/")
        .answered(8_010, "a", 200)
}

#[test]
fn new_work_at_an_endpoint_that_left_is_found_at_gateways_in_touch() {
    assert_eq!(leaving(false).findings(), ["leaving"]);
    assert_eq!(leaving(true).findings(), Vec::<&str>::new());
}

#[test]
fn a_request_that_reaches_an_endpoint_long_after_its_client_left_is_found() {
    let left = |reached: u64| {
        let left = Seen::Unanswered {
            id: "a".into(),
            why: Lack::Left,
        };
        Told::begin()
            .once(5_000, "a")
            .at(5_020, left)
            .began(reached, "a", "/once/")
            .once(9_000, "b")
            .answered(9_010, "b", 503)
    };
    assert_eq!(left(5_700).findings(), Vec::<&str>::new());
    assert_eq!(left(7_000).findings(), ["abandoned"]);
}

#[test]
fn a_configuration_that_is_not_in_force_is_found() {
    let told = Told::begin()
        .at(5_000, Seen::Configured { version: 2 })
        .sent(8_000, "a", Kind::Repeatable, "/n2/", "steady")
        .answered(8_010, "a", 404);
    assert_eq!(told.findings(), ["in force"]);
}

#[test]
fn a_gateway_that_goes_back_to_an_older_configuration_is_found() {
    let went_back = |restarted: bool| {
        let told = Told::begin()
            .at(5_000, Seen::Configured { version: 2 })
            .sent(5_100, "a", Kind::Repeatable, "/n2/", "steady")
            .began(5_101, "a", "/n2/")
            .answered(5_110, "a", 200);
        let told = match restarted {
            true => told.at(5_200, Seen::Started { gateway: 0 }),
            false => told,
        };
        told.sent(6_000, "b", Kind::Repeatable, "/n2/", "steady")
            .answered(6_010, "b", 404)
    };
    assert_eq!(went_back(false).findings(), ["never back"]);
    assert_eq!(went_back(true).findings(), Vec::<&str>::new());
}

#[test]
fn a_key_served_after_it_was_taken_away_is_found_even_at_a_gateway_out_of_touch() {
    let (place, what) = (Place::Store, "Down".to_string());
    let told = Told::begin()
        .at(4_000, Seen::Configured { version: 2 })
        .at(5_000, Seen::Configured { version: 3 })
        .at(5_001, Seen::Fault { place, what })
        .sent(11_000, "a", Kind::Repeatable, "/rep/", "r1")
        .began(11_001, "a", "/rep/")
        .answered(11_010, "a", 200);
    assert_eq!(told.findings(), ["keys"]);
}

#[test]
fn fences_that_fall_or_serve_two_holders_are_found() {
    let told = Told::begin()
        .reported(5_000, "g0", 2, 1)
        .reported(9_000, "g1", 1, 2);
    assert_eq!(told.findings(), ["fences rise"]);
    let told = Told::begin()
        .reported(5_000, "g0", 2, 1)
        .reported(9_000, "g1", 2, 2);
    assert_eq!(told.findings(), ["fence of one holder"]);
}

#[test]
fn holders_that_act_in_turn_within_the_lease_are_found() {
    let told = Told::begin()
        .reported(5_000, "g0", 1, 1)
        .reported(6_000, "g1", 2, 2)
        .reported(7_000, "g0", 3, 3);
    assert_eq!(told.findings(), ["not A, B, A"]);
}

#[test]
fn a_window_told_twice_differently_is_found() {
    let mut told = Told::begin().reported(5_000, "g0", 1, 7);
    told = told.reported(9_000, "g0", 1, 7);
    if let Some(Record {
        seen: Seen::Reported { counts, .. },
        ..
    }) = told.records.last_mut()
    {
        *counts = "{\"t\":2}".into();
    }
    assert_eq!(told.findings(), ["reports"]);
}

#[test]
fn a_request_cut_by_a_planned_stop_is_found_unless_its_endpoint_broke_off() {
    let cut = |broke_off: bool| {
        let told = Told::begin().once(5_000, "a").began(5_001, "a", "/once/");
        let told = match broke_off {
            true => told.at(5_002, Seen::BrokeOff { id: "a".into() }),
            false => told,
        };
        let (id, why) = ("a".to_string(), Lack::Closed);
        told.at(5_100, Seen::Asked { gateway: 0 })
            .at(5_200, Seen::Unanswered { id, why })
    };
    assert_eq!(cut(false).findings(), ["planned stop"]);
    assert_eq!(cut(true).findings(), Vec::<&str>::new());
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let told = served()
        .at(
            5_100,
            Seen::Gone {
                gateway: 0,
                own: true,
            },
        )
        .once(18_000, "b")
        .began(18_001, "b", "/once/")
        .answered(18_010, "b", 200)
        .once(19_000, "c");
    assert_eq!(told.findings(), ["own ends"]);
}

#[test]
fn a_gateway_that_serves_nothing_after_its_restart_is_found() {
    let told = served()
        .at(
            5_100,
            Seen::Gone {
                gateway: 0,
                own: false,
            },
        )
        .at(5_500, Seen::Started { gateway: 0 })
        .once(18_000, "b")
        .answered(18_010, "b", 503)
        .once(19_000, "c");
    assert_eq!(told.findings(), ["recovery", "recovery"]);
}

#[test]
fn more_of_a_limited_team_than_its_limit_is_found_over_all_gateways() {
    let mut told = Told::begin();
    for number in 0..200 {
        let (at, id) = (5_000 + number * 40, format!("a{number}"));
        told = told.sent(at, &id, Kind::Once, "/once/", "few");
        told = told.began(at, &id, "/once/");
        if let Some(Record {
            seen: Seen::Began { team, .. },
            ..
        }) = told.records.last_mut()
        {
            *team = Some("f".into());
        }
    }
    let findings = told.findings();
    assert!(!findings.is_empty() && findings.iter().all(|f| *f == "limits"));
}

#[test]
fn more_repeats_than_their_budget_are_found_also_where_endpoints_turned_them_away() {
    let mut told = Told::begin();
    for number in 0..40 {
        let id = format!("a{number}");
        let at = 5_000 + number * 10;
        told = told.sent(at, &id, Kind::Repeatable, "/rep/", "steady");
        told = told.at(
            at + 1,
            Seen::TurnedAway {
                id: id.clone(),
                endpoint: "e0-1".into(),
            },
        );
        told = told.began(at + 2, &id, "/rep/");
    }
    let findings = told.findings();
    assert!(!findings.is_empty() && findings.iter().all(|f| *f == "repeats"));
}

#[test]
fn work_that_arrives_late_counts_as_sent_when_its_gateway_gave_it_up() {
    let given_up = |at: u64| {
        let leaving = Seen::Leaving {
            endpoint: "e0-1".into(),
        };
        Told::begin()
            .once(4_900, "a")
            .at(5_000, leaving)
            .answered(at, "a", 502)
            .began(9_000, "a", "/once/")
    };
    assert_eq!(given_up(7_000).findings(), Vec::<&str>::new());
    assert_eq!(given_up(8_000).findings(), ["leaving"]);
}

/// Asks for what is deadly once a second; it ends an endpoint the first `reaches` times.
fn deadly(reaches: usize) -> Told {
    (0..12).fold(Told::begin(), |told, number| {
        let (id, at) = (format!("d{number}"), 5_000 + 1_000 * number as u64);
        let told = told.sent(at, &id, Kind::Repeatable, "/rep/deadly", "steady");
        match number < reaches {
            true => told
                .began(at + 1, &id, "/rep/deadly")
                .answered(at + 2, &id, 502),
            false => told.answered(at + 2, &id, 503),
        }
    })
}

/// Requests with a deadly part come once a second; the first `reaches` end an endpoint. Of the sound requests that come between
/// them, `refuses` says which are refused.
fn deadly_part(reaches: usize, refuses: impl Fn(u64) -> bool) -> Told {
    let mut told = Told::begin();
    for number in 0..90 {
        let (id, at) = (format!("s{number}"), 3_500 + 500 * number);
        told = told.sent(at, &id, Kind::Repeatable, "/rep/s", "steady");
        told = match refuses(at) {
            true => told.answered(at + 2, &id, 503),
            false => told.began(at + 1, &id, "/rep/s").answered(at + 2, &id, 200),
        };
        if at.is_multiple_of(1_000) && at >= 14_000 {
            let path = format!("/rep/p-{number}");
            let id = format!("p-{number}");
            told = told.sent(at + 3, &id, Kind::Repeatable, &path, "steady");
            let has_reached = (at - 14_000) / 1_000 < reaches as u64;
            told = match has_reached {
                true => told.began(at + 4, &id, &path).answered(at + 5, &id, 502),
                false => told.answered(at + 5, &id, 503),
            };
        }
    }
    told
}

#[test]
fn requests_with_a_deadly_part_that_go_on_ending_endpoints_are_found() {
    assert!(deadly_part(5, |_| false).findings().is_empty());
    // The fifth ends one at 18 s; gateways know at 21.3 s.
    assert!(deadly_part(11, |_| false).findings().is_empty());
    let found = deadly_part(12, |_| false).findings();
    assert!(found.iter().all(|check| *check == "part held back"));
    assert!(!found.is_empty());
}

#[test]
fn sound_requests_that_are_refused_while_a_deadly_part_is_held_back_are_found() {
    // Known for twice the time of contact at 24.3 s.
    assert!(deadly_part(5, |at| (18_000..24_000).contains(&at))
        .findings()
        .is_empty());
    let refused = deadly_part(5, |at| at >= 24_000 && !at.is_multiple_of(2_000));
    assert_eq!(refused.findings(), ["sound served"]);
}

#[test]
fn a_request_that_goes_on_ending_endpoints_is_found() {
    assert!(deadly(3).findings().is_empty());
    // The third ends one at 7 s; gateways know at 10.3 s.
    assert!(deadly(9).findings().is_empty());
    assert_eq!(
        deadly(10).findings(),
        ["held back", "held back", "held back"]
    );
}

// A gateway is told by an endpoint's answer to `a`, and sends `b` at a later time.
fn told_leaving(sent: u64) -> Told {
    let said = Seen::SaidLeaving {
        id: "a".into(),
        endpoint: "e0-1".into(),
    };
    Told::begin()
        .once(5_000, "a")
        .began(5_001, "a", "/once/")
        .at(5_005, said)
        .answered(5_010, "a", 200)
        .once(sent, "b")
        .began(sent + 5, "b", "/once/")
        .answered(sent + 10, "b", 200)
}

#[test]
fn work_sent_after_the_bound_to_an_endpoint_that_told_of_leaving_is_found() {
    assert_eq!(told_leaving(7_020).findings(), ["leaving, as told"]);
    assert_eq!(told_leaving(7_000).findings(), Vec::<&str>::new());
}

#[test]
fn a_restart_excuses_work_for_an_endpoint_that_told_of_leaving() {
    let mut told = told_leaving(9_000);
    let started = Record {
        at: 6_000,
        seen: Seen::Started { gateway: 0 },
    };
    told.records.insert(6, started);
    assert_eq!(told.findings(), Vec::<&str>::new());
}

#[test]
fn a_gateway_of_an_older_build_is_not_judged_by_words_that_it_does_not_know() {
    let mut told = told_leaving(9_000);
    let older = Record {
        at: 2,
        seen: Seen::RunsOlder { gateway: 0 },
    };
    told.records.insert(2, older);
    assert_eq!(told.findings(), Vec::<&str>::new());
}

#[test]
fn a_pause_of_the_gateway_excuses_work_for_an_endpoint_that_told_of_leaving_and_a_bad_way_to_the_store_does_not(
) {
    let with_fault = |fault: &str, healed: &str| {
        let mut told = told_leaving(9_000);
        let place = Place::Gateway(0);
        let (fault, healed) = (fault.to_string(), healed.to_string());
        let begins = Seen::Fault { place, what: fault };
        let ends = Seen::Healed {
            place,
            what: healed,
        };
        told.records.insert(
            6,
            Record {
                at: 6_000,
                seen: begins,
            },
        );
        told.records.insert(
            7,
            Record {
                at: 6_500,
                seen: ends,
            },
        );
        told.findings()
    };
    assert_eq!(with_fault("\"pause\"", "pause"), Vec::<&str>::new());
    assert_eq!(with_fault("Silent", "link"), ["leaving, as told"]);
}

// An endpoint asks for 3 s; so many requests reach it after that.
fn asked_pause(requests: u64) -> Told {
    let turned = |id: &str| Seen::TurnedAway {
        id: id.into(),
        endpoint: "e0-1".into(),
    };
    let asked = Seen::AskedPause {
        id: "a".into(),
        endpoint: "e0-1".into(),
        ms: 3_000,
    };
    let mut told = Told::begin()
        .once(5_000, "a")
        .at(5_001, turned("a"))
        .at(5_002, asked)
        .answered(5_010, "a", 503);
    for number in 0..requests {
        let (id, at) = (format!("b{number}"), 6_000 + number * 100);
        told = told.once(at, &id).at(at + 1, turned(&id));
        told = told.answered(at + 5, &id, 503);
    }
    told
}

#[test]
fn a_third_request_within_a_pause_that_was_asked_for_is_found() {
    assert_eq!(asked_pause(2).findings(), Vec::<&str>::new());
    assert_eq!(asked_pause(3).findings(), ["pauses"]);
}

// An endpoint names 1 request a second from 5 s to 17 s; from 6 s on so many reach it, by turns through two gateways.
fn named_limit(per_s: u64, restarts: bool) -> Told {
    let send = |told: Told, at: u64, id: &str, gateway: usize| {
        let sent = Seen::Sent {
            id: id.into(),
            kind: Kind::Once,
            path: "/once/".into(),
            key: "steady".into(),
            gateway,
        };
        let named = Seen::NamedLimit {
            id: id.into(),
            endpoint: "e0-1".into(),
            milli: 1_000,
            until: 17_000,
        };
        let told = told.at(at, sent).began(at + 1, id, "/once/");
        told.at(at + 2, named).answered(at + 5, id, 200)
    };
    let told = Told::begin().at(1, Seen::Started { gateway: 1 });
    let mut told = send(told, 5_000, "a", 0);
    for number in 0..per_s * 10 {
        let at = 6_000 + number * 1_000 / per_s;
        let gateway = (number % 2) as usize;
        if restarts {
            told = told.at(at - 1, Seen::Started { gateway });
        }
        told = send(told, at, &format!("b{number}"), gateway);
    }
    told
}

// Guards against gateways that each keep to a limit while their sum is past it.
#[test]
fn requests_past_a_limit_that_an_endpoint_named_are_found_over_all_gateways() {
    assert_eq!(named_limit(2, false).findings(), Vec::<&str>::new());
    assert_eq!(named_limit(4, false).findings(), ["named limits"]);
    assert_eq!(named_limit(4, true).findings(), Vec::<&str>::new());
}

// Guards against the check taking the word of an earlier start for that of one under the same id.
#[test]
fn a_limit_ends_with_the_start_of_the_endpoint_that_named_it() {
    let mut told = named_limit(4, false);
    let ends = told.records.iter().position(|record| record.at >= 6_400);
    let started = Seen::EndpointStarted {
        endpoint: "e0-1".into(),
    };
    let record = Record {
        at: 6_400,
        seen: started,
    };
    told.records.insert(ends.unwrap(), record);
    let is_named = |record: &Record| {
        let is_limit = matches!(record.seen, Seen::NamedLimit { .. });
        is_limit && record.at > 6_400
    };
    told.records.retain(|record| !is_named(record));
    assert_eq!(told.findings(), Vec::<&str>::new());
}

/// Streams of clients that lose their connections after two events and continue them, each with its first version and the one
/// that continues it; `None` if it is refused.
fn continued_streams(versions: &[(&str, Option<&str>)]) -> Told {
    let mut told = Told::begin();
    for (endpoint, version) in [
        ("e2-1", "v1"),
        ("e3-2", "v1"),
        ("e6-3", "v2"),
        ("e7-4", "v2"),
    ] {
        told = told.at(
            2,
            Seen::Software {
                endpoint: endpoint.into(),
                service: "b".into(),
                version: version.into(),
                serves: true,
            },
        );
    }
    let mut at = 10_000;
    for (number, (began, continued)) in versions.iter().enumerate() {
        let (first, second) = (format!("a{number}"), format!("b{number}"));
        told = told
            .sent(at, &first, Kind::Resumable, "/res/", "steady")
            .events(at + 1, &first, began, vec![1, 2], false)
            .at(
                at + 2,
                Seen::Continues {
                    id: second.clone(),
                    first,
                    after: 2,
                },
            )
            .sent(at + 3, &second, Kind::Resumable, "/res/", "steady");
        told = match continued {
            Some(version) => told.events(at + 4, &second, version, vec![3, 4], true),
            None => told.answered(at + 4, &second, 503),
        };
        at += 10;
    }
    told
}

impl Told {
    fn events(self, at: u64, id: &str, version: &str, numbers: Vec<u64>, ended: bool) -> Self {
        let versions = Seen::EventVersions {
            id: id.into(),
            versions: vec![version.into()],
        };
        let answered = Seen::Answered {
            id: id.into(),
            status: 200,
            of: Some(id.into()),
            signed: true,
            body: Body::Events {
                numbers,
                own: true,
                total: 4,
                ended,
            },
        };
        self.at(at, versions).at(at, answered)
    }

    fn findings_of(&self, check: &str) -> usize {
        let verdicts = all(&self.records, 1);
        let findings = verdicts.findings.iter();
        findings.filter(|finding| finding.check == check).count()
    }
}

#[test]
fn streams_that_go_on_at_their_version_are_sound() {
    let told = continued_streams(&[("v1", Some("v1")), ("v2", Some("v2"))].repeat(8));
    for check in ["streams", "one version", "streams go on"] {
        assert_eq!(told.findings_of(check), 0, "{check}");
    }
}

#[test]
fn more_than_two_streams_of_two_versions_are_found() {
    let mut versions = [("v1", Some("v1"))].repeat(8);
    versions.extend([("v1", Some("v2"))].repeat(2));
    assert_eq!(continued_streams(&versions).findings_of("one version"), 0);
    versions.push(("v2", Some("v1")));
    assert_eq!(continued_streams(&versions).findings_of("one version"), 3);
}

#[test]
fn streams_that_mostly_do_not_go_on_while_new_ones_begin_are_found() {
    let mut versions = [("v1", Some("v1"))].repeat(6);
    versions.extend([("v1", None)].repeat(6));
    assert_eq!(continued_streams(&versions).findings_of("streams go on"), 0);
    versions.push(("v1", None));
    assert_eq!(continued_streams(&versions).findings_of("streams go on"), 1);
}

#[test]
fn a_continued_stream_that_repeats_an_event_is_found() {
    let told = continued_streams(&[("v1", Some("v1"))]);
    let told = told
        .at(
            11_000,
            Seen::Continues {
                id: "c".into(),
                first: "a0".into(),
                after: 2,
            },
        )
        .sent(11_001, "c", Kind::Resumable, "/res/", "steady")
        .events(11_002, "c", "v1", vec![2, 3, 4], true);
    assert_eq!(told.findings_of("streams"), 1);
}

/// Requests come ten times a second; from 20 s on most go to one gateway, and those that `refuses` names are refused.
fn concentrated(refuses: impl Fn(u64) -> bool) -> Told {
    let mut told = Told::begin();
    for number in 0..600 {
        let (id, at) = (format!("c{number}"), 4_000 + 100 * number);
        if at == 20_000 {
            told = told.at(at, Seen::Concentrated { gateway: Some(0) });
        }
        told = told.sent(at, &id, Kind::Repeatable, "/rep/c", "steady");
        told = match refuses(at) {
            true => told.answered(at + 2, &id, 503),
            false => told.began(at + 1, &id, "/rep/c").answered(at + 2, &id, 200),
        };
    }
    told
}

#[test]
fn requests_that_are_refused_while_most_connections_reach_one_gateway_are_found() {
    // Gateways are in touch 3 s after the concentration began.
    assert!(concentrated(|at| (20_000..23_000).contains(&at))
        .findings()
        .is_empty());
    assert!(concentrated(|at| at >= 23_000 && at.is_multiple_of(500))
        .findings()
        .is_empty());
    let found = concentrated(|at| at >= 23_000 && at.is_multiple_of(300)).findings();
    assert_eq!(found, ["served while concentrated"]);
}

#[test]
fn requests_that_are_refused_as_much_once_connections_spread_again_are_passed_over() {
    let refuses = |at: u64| at >= 23_000 && at.is_multiple_of(300);
    let spread_at = |at| concentrated(refuses).at(at, Seen::Concentrated { gateway: None });
    let mut told = spread_at(40_000);
    told.records.sort_by_key(|record| record.at);
    assert!(told.findings().is_empty());
}

#[test]
fn requests_that_a_named_limit_turns_away_while_most_connections_reach_one_gateway_are_passed_over()
{
    let refuses = |at: u64| at >= 23_000 && at.is_multiple_of(300);
    let limit = Seen::NamedLimit {
        id: "c1".into(),
        endpoint: "e0-1".into(),
        milli: 1_000,
        until: 30_000,
    };
    let mut told = concentrated(refuses).at(22_000, limit);
    told.records.sort_by_key(|record| record.at);
    let found = told.findings();
    assert!(!found.contains(&"served while concentrated"), "{found:?}");
}
