//! Whole sessions over real sockets.

use standins::{answer_token, event_text, Fleet, FleetOptions};

fn fleet(options: &FleetOptions) -> Fleet {
    Fleet::start(options, &telemetry::discard()).expect("the fleet starts")
}

fn answer(content: &str, tokens: u64) -> String {
    let prompt = [format!("user: {content}\n")];
    (0..tokens)
        .map(|offset| answer_token(&prompt, offset))
        .collect()
}

fn text_of(events: impl Iterator<Item = String>) -> String {
    events.filter_map(|e| event_text(&e)).collect()
}

#[test]
fn streams_a_whole_answer_through_each_node() {
    let fleet = fleet(&FleetOptions::default());
    for node in 0..2 {
        let events: Vec<String> = fleet.chat(node, "hello", 20).collect();
        assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
        assert_eq!(text_of(events.into_iter()), answer("hello", 20));
    }
}

#[test]
fn gives_the_first_token_while_the_engine_is_held_back() {
    let fleet = fleet(&FleetOptions::default());
    fleet.engines.iter().for_each(|e| e.hold_after(1));
    let mut events = fleet.chat(0, "hello", 5);
    let first = events.next().and_then(|e| event_text(&e));
    assert_eq!(first, Some(answer("hello", 1)));
    fleet.engines.iter().for_each(|e| e.release());
    let rest = text_of(events);
    assert_eq!(answer("hello", 1) + &rest, answer("hello", 5));
}

#[test]
fn passes_a_service_call_through_and_answers_a_doubled_one_from_its_outcome() {
    let fleet = fleet(&FleetOptions::default());
    let first = fleet.hold(0, "/holds/a", Some("k1"));
    let second = fleet.hold(1, "/holds/a", Some("k1"));
    assert_eq!((first.status_code, second.status_code), (200, 200));
    assert_eq!(first.as_str().unwrap(), second.as_str().unwrap());
    assert_eq!(fleet.application.runs()["/holds/a"], 1);
}
