//! What the session tests share; each of them uses a part.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use standins::{answer_token, event_text, Fleet, FleetOptions};

/// Longest wait for something that must come; it bounds a failing test, not a passing one.
const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a fleet that logs nothing.
pub fn fleet(options: &FleetOptions) -> Fleet {
    Fleet::start(options, &telemetry::discard()).expect("the fleet starts")
}

/// The whole answer to a one-message conversation.
pub fn answer(content: &str, tokens: u64) -> String {
    let prompt = [format!("user: {content}\n")];
    (0..tokens)
        .map(|offset| answer_token(&prompt, offset))
        .collect()
}

/// The text of the events.
pub fn text_of(events: impl Iterator<Item = String>) -> String {
    events.filter_map(|e| event_text(&e)).collect()
}

/// The text of a stream that came to its end.
pub fn whole(events: &[String]) -> Option<String> {
    let ended = events.last().map(String::as_str) == Some("[DONE]");
    if !ended {
        eprintln!(
            "the stream ended after {} events with {:?}",
            events.len(),
            events.last()
        );
    }
    ended.then(|| text_of(events.iter().cloned()))
}

/// The kind of an error body.
pub fn kind_of(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["error"]["kind"]
        .as_str()
        .unwrap_or("no error")
        .to_string()
}

/// The resume token of an event.
pub fn resume_of(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).expect("an event");
    event["croftpond"]["resume"]
        .as_str()
        .expect("a token")
        .to_string()
}

/// Waits for something that comes by itself.
pub fn wait_until(condition: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < until, "it did not come");
        std::thread::yield_now();
    }
}
