//! Quarantine of prompt parts: a part that several requests share crashes every endpoint that begins to write an answer on
//! it.
//!
//! Guards against repeated crashes and against refusals of sound requests: each request with the part has another content,
//! so each one crashed endpoints of its own, and requests that have only the other parts in common with it are to be served.

mod common;

use common::crashing::{LastWords, DEADLY_PART, OTHER_DEADLY_PART};
use common::{
    configuration, endpoint, route, settings, wait_until, Answer, CrashingEndpoint, FakeStore,
    LogLines, Setup,
};
use directory::Execution;
use schema::settings::GatewaySettings;

const STREAM: Execution = Execution::Stream { resumable: false };
const ENDPOINTS: usize = 30;
const DEADLY_REQUESTS: usize = 26;
/// Endpoints that may end under a part, and requests with it that may be sent later.
const MAX_ENDED: usize = 5 + 3;
/// Part that all requests of the route share.
const COMMON_PART: &str = "c0";
/// Log message of a gateway that starts to hold prompt parts back from all endpoints.
const PARTS_QUARANTINED: &str = "prompt parts quarantined";

/// Gateways that know each other, their log lines and the endpoints of their store.
struct Fleet {
    gateways: Vec<Setup>,
    lines: Vec<LogLines>,
    endpoints: Vec<CrashingEndpoint>,
    sent: usize,
}

impl Fleet {
    fn start(gateways: usize, execution: Execution, last_words: LastWords) -> Self {
        let store = FakeStore::default();
        store.put_configuration(configuration(1, vec![route("/a/", execution)]));
        let start = |_| CrashingEndpoint::start_with(last_words);
        let endpoints: Vec<_> = (0..ENDPOINTS).map(start).collect();
        for (i, crashing) in endpoints.iter().enumerate() {
            store.put_endpoint(endpoint(&format!("e{i}"), crashing.address));
        }
        let mut fleet = Fleet {
            gateways: Vec::new(),
            lines: Vec::new(),
            endpoints,
            sent: 0,
        };
        for number in 0..gateways {
            fleet.start_gateway(&format!("g{number}"), store.for_other_gateway());
        }
        fleet
    }

    fn start_gateway(&mut self, name: &str, store: FakeStore) {
        let first = self.gateways.first();
        let seeds = first.map(|first| first.gateway.peer_address().to_string());
        let settings = GatewaySettings {
            name: name.into(),
            seeds: seeds.into_iter().collect(),
            ..settings()
        };
        let lines = LogLines::default();
        let setup = Setup::start_with_log(settings, store, lines.logger());
        wait_until("readiness", || setup.is_ready());
        setup.wait_for_retry_budget();
        self.gateways.push(setup);
        self.lines.push(lines);
    }

    /// Sends a request with these parts and one of its own, with a new id, at the gateways in turn.
    fn send(&mut self, path: &str, parts: &[&str]) -> Answer {
        self.sent += 1;
        let own = format!("{:x}", 0xf000 + self.sent);
        let parts = [parts, &[own.as_str()]].concat().join(",");
        let gateway = &self.gateways[self.sent % self.gateways.len()];
        let id = format!("x-id: {}", self.sent);
        let path = format!("{path}?{}", self.sent);
        gateway.call(&path, &[&id, &format!("x-parts: {parts}")])
    }

    fn send_deadly(&mut self) -> Answer {
        self.send("/a/chat", &[COMMON_PART, DEADLY_PART])
    }

    fn send_sound(&mut self) -> Answer {
        self.send("/a/chat", &[COMMON_PART, "50"])
    }

    fn ended(&self) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|crashing| crashing.has_stopped()).count()
    }

    fn wait_until_parts_are_quarantined(&self) {
        wait_until("all gateways to hold the part back", || {
            self.lines
                .iter()
                .all(|lines| lines.count(PARTS_QUARANTINED) > 0)
        });
    }
}

// Guards against requests that crash one endpoint after the other, since each of them is a new content: only a part of their
// prompts is the same.
#[test]
fn requests_that_share_a_deadly_part_are_held_back_and_those_with_their_other_parts_are_served() {
    for execution in [Execution::Repeatable, Execution::Once] {
        let mut fleet = Fleet::start(3, execution, LastWords::Nothing);
        for _ in 0..DEADLY_REQUESTS {
            fleet.send_deadly();
        }
        let ended = fleet.ended();
        assert!(ended <= MAX_ENDED, "{ended} endpoints ended");
        for _ in 0..20 {
            let served = fleet.send_sound();
            assert_eq!(served.status, 200, "{}", served.head);
        }
        let refused = fleet.send_deadly();
        assert_eq!(refused.status, 503, "{}", refused.head);
        assert!(refused.header("retry-after").is_some(), "{}", refused.head);
        assert_eq!(fleet.ended(), ended);
    }
}

// Guards against a part that is not held back since requests of several teams or services have it beside other parts.
#[test]
fn a_deadly_part_is_held_back_whatever_other_parts_the_requests_have() {
    let mut fleet = Fleet::start(3, Execution::Repeatable, LastWords::Nothing);
    for number in 0..DEADLY_REQUESTS {
        let other = format!("a{}", number % 7);
        fleet.send("/a/chat", &[&other, DEADLY_PART]);
    }
    let ended = fleet.ended();
    assert!(ended <= MAX_ENDED, "{ended} endpoints ended");
    for number in 0..7 {
        let served = fleet.send("/a/chat", &[&format!("a{number}")]);
        assert_eq!(served.status, 200, "{}", served.head);
    }
}

// Guards against sound requests that are refused for good, since two deadly parts made a part that all requests share the
// best explanation.
#[test]
fn a_part_that_requests_with_different_deadly_parts_share_is_not_held_back() {
    let mut fleet = Fleet::start(3, Execution::Once, LastWords::Nothing);
    for number in 0..DEADLY_REQUESTS {
        match number % 2 {
            0 => fleet.send("/a/chat", &[COMMON_PART, OTHER_DEADLY_PART]),
            _ => fleet.send_deadly(),
        };
    }
    for _ in 0..fleet.gateways.len() {
        wait_until("a sound request to be served", || {
            fleet.send_sound().status == 200
        });
    }
    for _ in 0..20 {
        let served = fleet.send_sound();
        assert_eq!(served.status, 200, "{}", served.head);
    }
}

// Guards against truncated answers that callers take for whole ones: an endpoint that ends closes the connection of an
// answer with neither a length nor chunks like one whose answer is whole.
#[test]
fn an_answer_without_a_length_that_ends_with_its_endpoint_is_not_passed_off_as_whole() {
    for last_words in [LastWords::UnmarkedHead, LastWords::UnmarkedBody] {
        let mut fleet = Fleet::start(3, Execution::Once, last_words);
        for _ in 0..DEADLY_REQUESTS {
            let answer = fleet.send_deadly();
            assert_ne!(answer.status, 200, "{last_words:?}: {}", answer.body);
        }
        let ended = fleet.ended();
        assert!(ended <= MAX_ENDED, "{last_words:?}: {ended} ended");
    }
}

// Guards against truncated streams that callers take for whole ones, and that clear the part that ended their endpoints.
#[test]
fn a_stream_without_chunks_that_ends_with_its_endpoint_is_not_passed_off_as_whole() {
    for last_words in [
        LastWords::UnmarkedHead,
        LastWords::UnmarkedBody,
        LastWords::UnmarkedEvent,
    ] {
        let mut fleet = Fleet::start(3, STREAM, last_words);
        for _ in 0..DEADLY_REQUESTS {
            let answer = fleet.send_deadly();
            let is_whole = answer.status == 200 && answer.is_complete;
            assert!(!is_whole, "{last_words:?}: {}", answer.body);
        }
        let ended = fleet.ended();
        assert!(ended <= MAX_ENDED, "{last_words:?}: {ended} ended");
    }
}

// Guards against whole answers that are refused, because only the end of their connection marks their end.
#[test]
fn a_whole_answer_without_a_length_is_served_while_its_endpoint_runs() {
    for execution in [Execution::Once, STREAM] {
        let mut fleet = Fleet::start(1, execution, LastWords::Nothing);
        for _ in 0..4 {
            let answer = fleet.send(common::crashing::UNMARKED_PATH, &[COMMON_PART]);
            assert_eq!(answer.status, 200, "{}", answer.head);
            assert!(answer.is_complete, "{}", answer.body);
            assert_eq!(answer.body, common::crashing::UNMARKED_BODY);
        }
    }
}

// Guards against a part that crashes endpoints again at a gateway that started after it was held back.
#[test]
fn a_gateway_that_starts_later_holds_the_part_back() {
    let mut fleet = Fleet::start(2, Execution::Repeatable, LastWords::Nothing);
    for _ in 0..DEADLY_REQUESTS {
        fleet.send_deadly();
    }
    fleet.wait_until_parts_are_quarantined();
    let ended = fleet.ended();
    let store = fleet.gateways[0].store.for_other_gateway();
    fleet.start_gateway("late", store);
    fleet.wait_until_parts_are_quarantined();
    for _ in 0..6 {
        assert_eq!(fleet.send_deadly().status, 503);
    }
    assert_eq!(fleet.ended(), ended);
}
