//! One whole session over real sockets against its golden file.

mod common;

use std::fmt::Write;

use common::wait_until;
use serde_json::Value;
use standins::{Fleet, FleetOptions};

const RUSH: &str = "rate = 500/s";

/// What was said, without what differs from run to run.
struct Transcript(String);

impl Transcript {
    fn say(&mut self, what: &str, heard: &str) {
        let _ = writeln!(self.0, "{what}\n    {heard}");
    }

    fn chat(&mut self, fleet: &Fleet, node: usize, content: &str) {
        let id = format!("r-{node}");
        let events = fleet.chat_with(node, content, 3, &[("X-Request-Id", &id)]);
        for event in events {
            self.say(
                &format!("chat `{content}` at node {node}"),
                &without_token(&event),
            );
        }
    }

    fn answer(&mut self, what: &str, answer: &minreq::Response) {
        let stored = answer.header("croftpond-stored").unwrap_or("no");
        let body = without_id(answer.as_str().unwrap());
        self.say(
            what,
            &format!("{} stored {stored}: {body}", answer.status_code),
        );
    }
}

fn without_token(event: &str) -> String {
    let Ok(mut event) = serde_json::from_str::<Value>(event) else {
        return event.to_string();
    };
    if event["croftpond"]["resume"].is_string() {
        event["croftpond"]["resume"] = Value::from("a token");
    }
    event.to_string()
}

fn without_id(body: &str) -> String {
    let Ok(mut body) = serde_json::from_str::<Value>(body) else {
        return body.to_string();
    };
    if body["error"]["request_id"].is_string() {
        body["error"]["request_id"] = Value::from("an id");
    }
    body.to_string()
}

#[test]
fn a_session_of_callers_and_operators() {
    let fleet = common::fleet(&FleetOptions::default());
    let mut reported = Transcript(String::new());
    reported.chat(&fleet, 0, "hello");
    reported.chat(&fleet, 1, "and again");
    reported.answer("hold at node 0", &fleet.hold(0, "/holds/a", Some("k1")));
    reported.answer("the same at node 1", &fleet.hold(1, "/holds/a", Some("k1")));
    reported.answer(
        "its key for another hold",
        &fleet.hold(1, "/holds/b", Some("k1")),
    );
    reported.answer(
        "a path that nobody serves",
        &fleet.hold(0, "/stock/a", None),
    );
    let edited = fleet.configuration.replace(RUSH, "rate = 400/s");
    reported.answer("put of version 1", &fleet.put_config(0, 0, &edited, "hana"));
    reported.answer(
        "a racing put",
        &fleet.put_config(1, 0, &fleet.configuration, "tama"),
    );
    wait_until(|| fleet.nodes.iter().all(|n| n.config_version() == 1));
    reported.answer(
        "the edit made again",
        &fleet.put_config(1, 1, &fleet.configuration, "tama"),
    );
    wait_until(|| fleet.nodes.iter().all(|n| n.config_version() == 2));
    let history = fleet.operator(0, "history");
    for version in history["versions"].as_array().unwrap() {
        let line = format!(
            "{} by {}: {}",
            version["version"], version["author"], version["note"]
        );
        reported.say("history", &line);
    }
    insta::assert_snapshot!(reported.0);
}
