//! Whole sessions over real sockets.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{answer, fleet, kind_of, text_of, wait_until, whole};
use standins::{
    chat_body, event_text, ApplicationOptions, EngineOptions, Faults, FleetOptions, CREDENTIAL,
    DRAFTS_CREDENTIAL, KEY,
};

fn options() -> FleetOptions {
    FleetOptions::default()
}

fn slow_engine() -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(10),
        ..EngineOptions::default()
    }
}

#[test]
fn streams_a_whole_answer_through_each_node() {
    let fleet = fleet(&options());
    for node in 0..2 {
        let events: Vec<String> = fleet.chat(node, "hello", 20).collect();
        assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
        assert_eq!(text_of(events.into_iter()), answer("hello", 20));
    }
}

#[test]
fn gives_the_first_token_while_the_engine_is_held_back() {
    let fleet = fleet(&options());
    fleet.engines.iter().for_each(|e| e.hold_after(1));
    let mut events = fleet.chat(0, "hello", 5);
    let first = events.next().and_then(|e| event_text(&e));
    assert_eq!(first, Some(answer("hello", 1)));
    fleet.engines.iter().for_each(|e| e.release());
    let rest = text_of(events);
    assert_eq!(answer("hello", 1) + &rest, answer("hello", 5));
}

#[test]
fn gives_a_whole_answer_to_a_caller_that_does_not_stream() {
    let fleet = fleet(&options());
    let response = fleet
        .request(0, minreq::Method::Post, "/v1/chat/completions")
        .with_body(chat_body("hello", 8, false))
        .send()
        .unwrap();
    let body: serde_json::Value = serde_json::from_slice(response.as_bytes()).unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], answer("hello", 8));
}

#[test]
fn cancels_the_engines_stream_when_the_caller_hangs_up() {
    let fleet = fleet(&FleetOptions {
        engines: vec![slow_engine()],
        ..options()
    });
    let mut events = fleet.chat(0, "hello", 5000);
    assert!(events.next().is_some());
    drop(events);
    fleet.engines[0].wait_cancels(1);
    fleet.engines[0].wait_running(0);
}

#[test]
fn goes_on_elsewhere_when_an_engine_breaks_off() {
    let fleet = fleet(&options());
    fleet.engines.iter().for_each(|e| e.break_after(3));
    let events: Vec<String> = fleet.chat(0, "hello", 9).collect();
    assert_eq!(whole(&events), Some(answer("hello", 9)));
}

#[test]
fn goes_on_elsewhere_when_an_engine_refuses() {
    let fleet = fleet(&options());
    fleet.engines[0].refuse(true);
    fleet.engines[1].refuse(true);
    for n in 0..4 {
        let content = format!("hello {n}");
        let events: Vec<String> = fleet.chat(0, &content, 5).collect();
        assert_eq!(whole(&events), Some(answer(&content, 5)));
    }
}

#[test]
fn moves_streams_off_a_vm_with_a_notice_at_the_exact_token() {
    let fleet = fleet(&FleetOptions {
        engines: vec![slow_engine(); 3],
        ..options()
    });
    let mut streams: Vec<_> = (0..6)
        .map(|n| fleet.chat(n % 2, &format!("h{n}"), 400))
        .collect();
    let firsts: Vec<String> = streams.iter_mut().filter_map(Iterator::next).collect();
    assert_eq!(firsts.len(), 6);
    let busy = fleet.engines.iter().position(|e| e.running() > 0).unwrap();
    fleet.engines[busy].give_notice(Duration::from_secs(2));
    fleet.engines[busy].wait_running(0);
    for (n, stream) in streams.into_iter().enumerate() {
        let events: Vec<String> = std::iter::once(firsts[n].clone()).chain(stream).collect();
        assert_eq!(
            whole(&events),
            Some(answer(&format!("h{n}"), 400)),
            "stream {n}"
        );
    }
    let moves: u64 = fleet
        .nodes
        .iter()
        .map(|n| n.counters()["attempt.move"])
        .sum();
    let imports: u64 = fleet.engines.iter().map(|e| e.imports()).sum();
    // Their KV cache went with them: nothing was computed again.
    assert!(
        moves > 0 && imports == moves,
        "{moves} moves, {imports} imports"
    );
}

#[test]
fn carries_every_stream_over_the_loss_of_a_data_hall_twice() {
    let options = FleetOptions {
        engines: vec![slow_engine(); 6],
        halls: 3,
        ..options()
    };
    let fleet = fleet(&options);
    let mut streams: Vec<_> = (0..12)
        .map(|n| fleet.chat(n % 2, &format!("h{n}"), 300))
        .collect();
    let firsts: Vec<String> = streams.iter_mut().filter_map(Iterator::next).collect();
    for hall in [0, 1] {
        for engine in (0..6).filter(|n| n % 3 == hall) {
            fleet.engines[engine].give_notice(Duration::from_millis(1500));
        }
        for engine in (0..6).filter(|n| n % 3 == hall) {
            fleet.engines[engine].wait_running(0);
            fleet.engines[engine].refuse(true);
        }
    }
    for (n, stream) in streams.into_iter().enumerate() {
        let events: Vec<String> = std::iter::once(firsts[n].clone()).chain(stream).collect();
        assert_eq!(
            whole(&events),
            Some(answer(&format!("h{n}"), 300)),
            "stream {n}"
        );
    }
}

#[test]
fn sends_nothing_new_to_a_leaving_endpoint_also_on_a_peers_word() {
    let fleet = fleet(&FleetOptions {
        engines: vec![EngineOptions::default(); 2],
        ..options()
    });
    fleet.engines[0].give_notice(Duration::from_secs(60));
    let knows = |n: usize| {
        fleet.status(n)["endpoints"]
            .as_array()
            .unwrap()
            .iter()
            .any(|e| e["name"] == "engine-0" && e["leaving"] == true)
    };
    wait_until(|| knows(0) && knows(1));
    let before = fleet.engines[0].runs().len();
    for n in 0..10 {
        assert_eq!(fleet.chat(n % 2, &format!("h{n}"), 2).count(), 4);
    }
    assert_eq!(fleet.engines[0].runs().len(), before);
}

#[test]
fn a_planned_stop_takes_nothing_new_and_cuts_off_nothing() {
    let mut fleet = fleet(&FleetOptions {
        engines: vec![slow_engine(); 2],
        ..options()
    });
    let mut events = fleet.chat(0, "hello", 100);
    let first = events.next().unwrap();
    fleet.nodes[0].begin_stop();
    let ready = fleet
        .request(0, minreq::Method::Get, "/readyz")
        .send()
        .unwrap();
    assert_eq!(ready.status_code, 503);
    let refused: Vec<String> = fleet.chat(0, "more", 3).collect();
    assert_eq!(kind_of(&refused[0]), "stopping");
    let stopping = fleet.nodes.remove(0);
    let stop = std::thread::spawn(move || stopping.finish_stop());
    let events: Vec<String> = std::iter::once(first).chain(events).collect();
    assert_eq!(whole(&events), Some(answer("hello", 100)));
    assert!(stop.join().unwrap());
}

#[test]
fn a_node_whose_own_vm_is_reclaimed_stops_by_itself() {
    let fleet = fleet(&options());
    fleet.platform.give_notice("entry-1", 30_000);
    wait_until(|| fleet.nodes[1].is_stopping());
    assert!(!fleet.nodes[0].is_stopping());
}

#[test]
fn another_node_goes_on_with_a_stream_from_its_resume_token() {
    let fleet = fleet(&FleetOptions {
        engines: vec![slow_engine(); 2],
        ..options()
    });
    let events: Vec<String> = fleet.chat(0, "hello", 50).take(7).collect();
    let received: Vec<String> = events.iter().filter_map(|e| event_text(e)).collect();
    let token = common::resume_of(&events[6]);
    let rest = fleet.resume(1, "hello", 50, &received, &token);
    let rest: Vec<String> = rest.collect();
    assert_eq!(rest.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(
        received.concat() + &text_of(rest.into_iter()),
        answer("hello", 50)
    );
    assert_eq!(fleet.nodes[1].counters()["request.resumed"], 1);
}

#[test]
fn a_resume_token_of_another_request_or_altered_is_refused() {
    let fleet = fleet(&options());
    let events: Vec<String> = fleet.chat(0, "hello", 9).take(2).collect();
    let received: Vec<String> = events.iter().filter_map(|e| event_text(e)).collect();
    let token = common::resume_of(&events[1]);
    let altered = token.replace(&token[4..6], "zz");
    let short = received[..1].to_vec();
    let tries = [
        fleet.resume(1, "another", 9, &received, &token),
        fleet.resume(1, "hello", 9, &received, &altered),
        fleet.resume(1, "hello", 9, &short, &token),
    ];
    for mut answer in tries {
        assert_eq!(answer.status, 401);
        assert_eq!(kind_of(&answer.next().unwrap()), "bad_resume_token");
    }
}

#[test]
fn a_doubled_call_is_run_once_and_answered_from_its_outcome() {
    let fleet = fleet(&options());
    let first = fleet.hold(0, "/holds/a", Some("k1"));
    let second = fleet.hold(1, "/holds/a", Some("k1"));
    assert_eq!((first.status_code, second.status_code), (200, 200));
    assert_eq!(first.as_str().unwrap(), second.as_str().unwrap());
    assert_eq!(fleet.application.runs()["/holds/a"], 1);
    let reused = fleet.hold(0, "/holds/b", Some("k1"));
    assert_eq!(kind_of(reused.as_str().unwrap()), "key_reused");
}

#[test]
fn doubled_calls_at_once_run_once() {
    let fleet = fleet(&options());
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let call = |n: usize| {
            let fleet = &fleet;
            scope.spawn(move || fleet.hold(n % 2, "/holds/a", Some("k1")).status_code)
        };
        let calls: Vec<_> = (0..8).map(call).collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_eq!(statuses, [200; 8]);
    assert_eq!(fleet.application.runs()["/holds/a"], 1);
}

#[test]
fn a_lost_answer_is_reported_as_unknown_and_never_run_again() {
    let fleet = fleet(&options());
    fleet.application.set(ApplicationOptions {
        lose_answers: true,
        ..Default::default()
    });
    let first = fleet.hold(0, "/holds/a", Some("k1"));
    assert_eq!(kind_of(first.as_str().unwrap()), "endpoint_failed");
    assert!(first.as_str().unwrap().contains("\"run\":\"unknown\""));
    fleet.application.set(ApplicationOptions::default());
    let second = fleet.hold(1, "/holds/a", Some("k1"));
    assert_eq!(kind_of(second.as_str().unwrap()), "outcome_unknown");
    let unkeyed = fleet.hold(1, "/holds/c", None);
    assert_eq!(unkeyed.status_code, 200);
    assert_eq!(fleet.application.runs()["/holds/a"], 1);
}

#[test]
fn a_table_that_is_down_is_answered_in_time_as_not_run() {
    let fleet = fleet(&FleetOptions {
        desk: "deadline = 1500ms\n".into(),
        ..options()
    });
    fleet.platform.set_faults(Faults {
        lost_milli: 1000,
        ..Faults::default()
    });
    let answer = fleet.hold(0, "/holds/a", Some("k1"));
    assert_eq!(kind_of(answer.as_str().unwrap()), "claim_unconfirmed");
    assert!(answer.as_str().unwrap().contains("\"run\":\"not_run\""));
    assert!(fleet.application.runs().is_empty());
    let events: Vec<String> = fleet.chat(0, "hello", 5).collect();
    assert_eq!(whole(&events), Some(common::answer("hello", 5)));
}

#[test]
fn a_rough_table_never_makes_a_call_run_twice() {
    let fleet = fleet(&options());
    let faults = Faults {
        lost_milli: 100,
        lost_answer_milli: 200,
        refused_milli: 100,
    };
    fleet.platform.set_faults(faults);
    std::thread::scope(|scope| {
        for n in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let (path, key) = (format!("/holds/{n}"), format!("k{n}"));
                let first = fleet.hold(0, &path, Some(&key));
                let second = fleet.hold(1, &path, Some(&key));
                let both = (first.status_code, second.status_code);
                assert!([200, 409, 503].contains(&both.0) && [200, 409, 503].contains(&both.1));
            });
        }
    });
    assert!(fleet.application.runs().values().all(|runs| *runs == 1));
}

#[test]
fn bad_input_gets_a_typed_error_and_nothing_is_dispatched() {
    let fleet = fleet(&FleetOptions {
        settings: "[bounds]\nmax_body_bytes = 2048\nread_timeout = 300ms\n".into(),
        ..options()
    });
    let chat = |body: &str, name: &str, value: &str| {
        let request = fleet.request(0, minreq::Method::Post, "/v1/chat/completions");
        let request = request.with_header(name, value).with_body(body);
        kind_of(request.send().unwrap().as_str().unwrap())
    };
    let good = chat_body("hello", 5, true);
    let kinds = [
        chat("{", "X-A", "b"),
        chat("{\"model\":\"story\",\"messages\":[]}", "X-A", "b"),
        chat(&good.replace("story", "poem"), "X-A", "b"),
        chat(&good.replace('5', "99999999"), "X-A", "b"),
        chat(&chat_body(&"x".repeat(4000), 5, true), "X-A", "b"),
        chat(&good, "Croftpond-Deadline-Ms", "soon"),
        chat(&good, "Croftpond-Priority", "vip"),
        chat(&good, "Croftpond-Repeatable", "maybe"),
        chat(&good, "Idempotency-Key", &"k".repeat(2000)),
        chat(&good, "X-Long", &"x".repeat(20_000)),
    ];
    let stranger = minreq::post(format!(
        "http://{}/v1/chat/completions",
        fleet.nodes[0].address()
    ));
    let refused = stranger.with_body(good.as_str()).send().unwrap();
    assert_eq!(kind_of(refused.as_str().unwrap()), "unknown_team");
    insta::assert_debug_snapshot!(kinds);
    assert!(fleet.engines.iter().all(|e| e.runs().is_empty()));
}

#[test]
fn a_slow_sender_is_cut_off_in_time() {
    let fleet = fleet(&FleetOptions {
        settings: "[bounds]\nread_timeout = 200ms\n".into(),
        ..options()
    });
    let send_part = |length: usize| {
        let mut socket = TcpStream::connect(fleet.nodes[0].address()).unwrap();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer \
             {CREDENTIAL}\r\nContent-Length: {length}\r\n\r\n{{\"mo"
        );
        socket.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        socket.read_to_string(&mut answer).unwrap();
        answer
    };
    let answer = send_part(5000);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("slow_sender"));
    // tiny_http reads a small body before it hands the request on, and closes without an answer.
    assert_eq!(send_part(100), "");
}

#[test]
fn a_node_that_is_full_refuses_at_once() {
    let fleet = fleet(&FleetOptions {
        settings: "[bounds]\nmax_in_flight = 2\n".into(),
        ..options()
    });
    fleet.engines.iter().for_each(|e| e.hold_after(1));
    let mut held: Vec<_> = (0..2).map(|n| fleet.chat(0, &format!("h{n}"), 4)).collect();
    held.iter_mut().for_each(|e| assert!(e.next().is_some()));
    let refused: Vec<String> = fleet.chat(0, "one more", 4).collect();
    assert_eq!(kind_of(&refused[0]), "too_many_requests");
    assert!(refused[0].contains("retry_after_ms"));
    fleet.engines.iter().for_each(|e| e.release());
}

#[test]
fn a_team_past_its_limit_is_refused_as_not_run() {
    let options = FleetOptions {
        nodes: 1,
        desk: "concurrency = 1\n".into(),
        ..options()
    };
    let fleet = fleet(&options);
    fleet.engines.iter().for_each(|e| e.hold_after(1));
    let mut first = fleet.chat(0, "a", 3);
    assert!(first.next().is_some());
    let refused: Vec<String> = fleet.chat(0, "b", 3).collect();
    assert_eq!(kind_of(&refused[0]), "team_limit");
    fleet.engines.iter().for_each(|e| e.release());
}

#[test]
fn nodes_learn_from_cache_events_which_engine_holds_a_prompt() {
    let fleet = fleet(&options());
    let content = "a long itinerary ".repeat(100);
    assert_eq!(fleet.chat(0, &content, 2).count(), 4);
    // The second node never sent it anywhere; it reads the engines' caches.
    wait_until(|| fleet.status(1)["cached_blocks_believed"].as_u64() > Some(0));
    let again = fleet.chat_with(1, &content, 1, &[("X-Request-Id", "again")]);
    assert_eq!(again.count(), 3);
    let reason = fleet.operator(1, "explain/again")["records"][1]["reason"].to_string();
    // Six whole blocks of 64 tokens.
    assert!(reason.contains("cached 384 of"), "{reason}");
}

#[test]
fn a_team_is_charged_for_the_tokens_it_got() {
    // The budget allows 30 tokens at once: 36 an hour are 0.6 a minute, at 0.02 a token.
    let options = FleetOptions {
        nodes: 1,
        desk: "budget = 36/h\ntoken_price = 20\n".into(),
        ..options()
    };
    let fleet = fleet(&options);
    fleet.engines.iter().for_each(|e| e.hold_after(2));
    let mut hung_up = fleet.chat(0, "a", 25);
    assert!(hung_up.next().is_some());
    let refused: Vec<String> = fleet.chat(0, "b", 25).collect();
    assert_eq!(kind_of(&refused[0]), "team_limit");
    drop(hung_up);
    fleet.engines.iter().for_each(|e| e.release());
    wait_until(|| fleet.chat(0, "c", 25).status == 200);
}

#[test]
fn a_batch_stream_makes_room_for_an_urgent_one_and_loses_nothing() {
    let engine = EngineOptions {
        slots: 1,
        ..slow_engine()
    };
    let options = FleetOptions {
        nodes: 1,
        engines: vec![engine],
        ..options()
    };
    let fleet = fleet(&options);
    let bearer = format!("Bearer {DRAFTS_CREDENTIAL}");
    let mut draft = fleet.chat_with(0, "draft", 200, &[("Authorization", &bearer)]);
    let first = draft.next().unwrap();
    let held = fleet.chat(0, "urgent 1", 100);
    let urgent: Vec<String> = fleet.chat(0, "urgent 2", 20).collect();
    assert_eq!(whole(&urgent), Some(answer("urgent 2", 20)));
    assert_eq!(
        whole(&held.collect::<Vec<_>>()),
        Some(answer("urgent 1", 100))
    );
    let draft: Vec<String> = std::iter::once(first).chain(draft).collect();
    assert_eq!(whole(&draft), Some(answer("draft", 200)));
}

#[test]
fn a_configuration_is_put_takes_force_everywhere_and_a_racing_edit_is_reported() {
    let fleet = fleet(&options());
    let edited = fleet.configuration.replace("rate = 500/s", "rate = 400/s");
    let put = |node, based_on, body: &str, author| fleet.put_config(node, based_on, body, author);
    let first = put(0, 0, &edited, "hana");
    assert_eq!(first.as_str().unwrap(), "{\"version\":1}");
    let second = put(1, 0, &fleet.configuration, "tama");
    assert_eq!(second.status_code, 409);
    let reported = second.as_str().unwrap();
    assert!(
        reported.contains("version 1 by hana") && reported.contains("remedy"),
        "{reported}"
    );
    wait_until(|| fleet.nodes.iter().all(|n| n.config_version() == 1));
    let bad = put(
        0,
        1,
        &edited.replace("kind = model", "kind = modal"),
        "hana",
    );
    assert_eq!(kind_of(bad.as_str().unwrap()), "bad_configuration");
    let history = fleet.operator(1, "history");
    assert_eq!(history["versions"][0]["author"], "hana");
    assert_eq!(fleet.operator(1, "config/1")["body"], edited);
}

#[test]
fn a_node_that_starts_serves_the_newest_configuration_only() {
    let options = options();
    let mut fleet = fleet(&options);
    let edited = fleet.configuration.replace("rate = 500/s", "rate = 400/s");
    assert_eq!(fleet.put_config(0, 0, &edited, "hana").status_code, 200);
    wait_until(|| fleet.nodes[0].config_version() == 1);
    let node = fleet
        .start_node(7, &options, &telemetry::discard())
        .unwrap();
    wait_until(|| node.is_ready());
    assert_eq!(node.config_version(), 1);
    fleet.nodes.push(node);
}

#[test]
fn the_lease_holder_orders_every_model_endpoint_once() {
    let fleet = fleet(&options());
    wait_until(|| fleet.engines.iter().all(|e| e.models() == ["story"]));
    // A holder whose renewal is late on a busy machine may order nothing for a while; two may never.
    let holds = |n: &usize| fleet.status(*n)["control"]["orders_allowed"] == true;
    wait_until(|| {
        let holders = (0..2).filter(holds).count();
        assert!(holders <= 1, "two nodes may order");
        holders == 1
    });
}

#[test]
fn operators_need_their_key_and_see_the_decisions_of_a_request() {
    let fleet = fleet(&options());
    let events = fleet.chat_with(0, "hello", 3, &[("X-Request-Id", "r-1")]);
    assert_eq!(events.count(), 5);
    let wrong = fleet
        .request(0, minreq::Method::Get, "/operator/status")
        .send()
        .unwrap();
    assert_eq!(kind_of(wrong.as_str().unwrap()), "not_operator");
    let explained = fleet.operator(0, "explain/r-1");
    let steps: Vec<&str> = explained["records"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|r| r["step"].as_str())
        .collect();
    assert_eq!(steps, ["admit", "route", "finish"]);
    let shown = fleet.status(0).to_string() + &explained.to_string();
    assert!(!shown.contains(KEY) && !shown.contains(CREDENTIAL));
}

#[test]
fn each_hop_leaves_a_span_of_one_trace() {
    let path = std::env::temp_dir().join(format!("croftpond-trace-{}", std::process::id()));
    let settings = format!("[seeing]\ntrace_file = {}\n", path.display());
    let fleet = fleet(&FleetOptions {
        nodes: 1,
        settings,
        ..options()
    });
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let events = fleet.chat_with(0, "hello", 3, &[("traceparent", parent)]);
    assert_eq!(events.count(), 5);
    drop(fleet);
    let lines = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let spans: Vec<serde_json::Value> = lines
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    let mut names: Vec<&str> = spans.iter().filter_map(|s| s["name"].as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["admission", "attempt", "request", "route"]);
    assert!(spans
        .iter()
        .all(|s| s["trace"] == "0af7651916cd43dd8448eb211c80319c"));
    // The attempt lasts for the three tokens, a millisecond each.
    let attempt = spans.iter().find(|s| s["name"] == "attempt").unwrap();
    let lasted = attempt["end_us"].as_u64().unwrap() - attempt["start_us"].as_u64().unwrap();
    assert!(lasted >= 3000, "{lasted} us");
}
