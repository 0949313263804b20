//! Services and engines whose answers are broken: what they send must not be taken for an answer.

mod common;

use std::time::{Duration, Instant};

use common::RawServer;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use transport::{
    call_service, AttemptEnd, Engine, GenerateRequest, GenerationEvent, HttpEngine, ServiceCall,
    ServiceReply,
};

const BODY: &str = "the body of the service";
const CHUNKED_BODY: &str = "8\r\nthe body\r\nf\r\n of the service\r\n0\r\n\r\n";
/// Timeout of the calls. No test reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Seed of the mutated answers, and how many of each there are.
const SEED: u64 = 82;
const MUTATIONS: usize = 400;

fn call(server: &RawServer) -> Result<ServiceReply, AttemptEnd> {
    let call = ServiceCall {
        method: "POST".into(),
        path: "/a".into(),
        headers: Vec::new(),
        body: b"x".to_vec(),
        max_answer_bytes: 1 << 20,
        timeout_secs: TIMEOUT.as_secs(),
    };
    call_service(&server.address(), &call)
}

fn ok(lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n{body}")
}

fn with_length(status: &str, lines: &str) -> String {
    let length = BODY.len();
    format!("HTTP/1.1 {status} X\r\n{lines}content-length: {length}\r\n\r\n{BODY}")
}

/// Heads that contradict themselves or contain what is no field, with their bodies.
fn broken_answers() -> Vec<String> {
    let length = BODY.len();
    let mut texts = vec![
        ok("transfer-encoding: chunke\r\n", CHUNKED_BODY),
        ok("transfer-encoding: gzip, chunked\r\n", CHUNKED_BODY),
        ok(
            "connection: close\r\ntransfer-encodin: chunked\r\n",
            CHUNKED_BODY,
        ),
        ok(&format!("content-lengt: {length}\r\n"), BODY),
        ok(
            &format!("content-length: 3\r\ncontent-length: {length}\r\n"),
            BODY,
        ),
        ok("content-length: 3\r\n", BODY),
        ok("content-length: x\r\n", BODY),
        // Cut off.
        ok("content-length: 50\r\n", "short"),
        ok(
            "transfer-encoding: chunked\r\n",
            &CHUNKED_BODY[..CHUNKED_BODY.len() - 5],
        ),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n"),
        "HTTP/1.1 200 OK\r\n".to_string(),
    ];
    for line in [
        "no colon",
        "x y: blank in the name",
        "x : blank before the colon",
        "x\x01y: control byte in the name",
        ": no name",
        " x: folded",
        "x: NUL in \0 the value",
    ] {
        texts.push(with_length("200", &format!("{line}\r\n")));
    }
    // A line feed that is written over the first byte of a field ends the head.
    texts.push(ok("connection: close\r\n\nontent-length: 1\r\n", BODY));
    texts.push(ok("connection: close\n\r\n", BODY));
    for status in ["000", "099", "101", "600", "999", "20", "2000"] {
        texts.push(with_length(status, ""));
    }
    texts
}

// Guards against answers that an HTTP client without strict checks takes for whole: it skips lines without a colon, accepts any
// number as a status and reports a body that ends early as complete.
#[test]
fn a_broken_answer_of_a_service_is_not_an_answer() {
    for text in broken_answers() {
        let server = RawServer::start(text.as_bytes());
        assert_eq!(call(&server), Err(AttemptEnd::Broken), "{text:?}");
    }
}

#[test]
fn an_answer_of_a_service_is_whole_whichever_way_marks_its_end() {
    let sound = [
        with_length("200", "x-a: b\r\n"),
        ok("x-a: b\r\ntransfer-encoding: chunked\r\n", CHUNKED_BODY),
        ok("x-a: b\r\nconnection: close\r\n", BODY),
        format!("HTTP/1.0 200 OK\r\nx-a: b\r\n\r\n{BODY}"),
    ];
    for text in sound {
        let server = RawServer::start(text.as_bytes());
        let reply = call(&server).unwrap_or_else(|end| panic!("{end:?} for {text:?}"));
        assert_eq!(reply.status, 200);
        assert_eq!(reply.headers, [("x-a".to_string(), "b".to_string())]);
        assert_eq!(reply.body, BODY.as_bytes());
    }
}

// Guards against the end of a service's process that passes for the end of its answer.
#[test]
fn an_answer_that_ends_with_its_connection_is_not_whole_if_the_service_has_ended() {
    let text = ok("connection: close\r\n", &BODY[..5]);
    let server = RawServer::start_and_end(text.as_bytes());
    assert_eq!(call(&server), Err(AttemptEnd::Broken));
}

// Guards against refusing a whole answer because the service sent another one behind it.
#[test]
fn an_answer_of_a_service_is_whole_although_another_follows_it() {
    let text = with_length("200", "") + &with_length("200", "");
    let server = RawServer::start(text.as_bytes());
    assert_eq!(call(&server).map(|reply| reply.body), Ok(BODY.into()));
}

/// Replaces one byte of the head or of the framing by another one.
fn mutate(rng: &mut impl Rng, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    let is_in_body = |at: usize| {
        let parts = ["the body", " of the service"];
        let mut found = parts
            .iter()
            .filter_map(|part| Some((text.find(part)?, part.len())));
        found.any(|(from, length)| (from..from + length).contains(&at))
    };
    let at = loop {
        let at = rng.random_range(0..bytes.len());
        if !is_in_body(at) {
            break at;
        }
    };
    // Bytes with a meaning in a head are more likely than others.
    bytes[at] = match rng.random_bool(0.5) {
        true => *b"\r\n :;,0123456789abcdefx\t\0"
            .get(rng.random_range(0..24))
            .unwrap(),
        false => rng.random(),
    };
    bytes
}

// Guards against any single wrong byte in a head or in the framing of a body that yields another body.
#[test]
fn an_answer_with_one_wrong_byte_has_the_body_of_the_service_or_is_no_answer() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let chunked = ok("x-a: b\r\ntransfer-encoding: chunked\r\n", CHUNKED_BODY);
    let closing = "connection: close\r\ntransfer-encoding: chunked\r\n";
    let sound = [
        with_length("200", "x-a: b\r\n"),
        with_length("200", "connection: close\r\n"),
        chunked,
        ok(closing, CHUNKED_BODY),
    ];
    let server = RawServer::start(b"");
    for text in &sound {
        for _ in 0..MUTATIONS {
            let mutated = mutate(&mut rng, text);
            server.set_answer(&mutated);
            let shown = String::from_utf8_lossy(&mutated).into_owned();
            if let Ok(reply) = call(&server) {
                assert_eq!(reply.body, BODY.as_bytes(), "{shown:?}");
                assert!((200..600).contains(&reply.status), "{shown:?}");
            }
        }
    }
}

const LINES: &str = "{\"stream\":\"s\"}\n{\"token\":{\"offset\":0,\"text\":\"a\"}}\n{\"end\":1}\n";

fn generate(server: &RawServer) -> (AttemptEnd, Vec<GenerationEvent>) {
    let mut events = Vec::new();
    let request = GenerateRequest::default();
    let end = HttpEngine.generate(&server.address(), &request, None, &mut |event| {
        events.push(event);
        true
    });
    (end, events)
}

// Guards against events that are read from an answer that is none.
#[test]
fn a_broken_answer_of_an_engine_has_no_events() {
    let length = LINES.len();
    let heads = [
        "no colon\r\n".to_string(),
        format!("content-length: 3\r\ncontent-length: {length}\r\n"),
        "transfer-encoding: chunke\r\n".to_string(),
        format!("x y: z\r\ncontent-length: {length}\r\n"),
    ];
    for head in heads {
        let server = RawServer::start(ok(&head, LINES).as_bytes());
        assert_eq!(
            generate(&server),
            (AttemptEnd::Broken, Vec::new()),
            "{head:?}"
        );
    }
}

// Guards against a second run of a generation whose engine sent a broken refusal.
#[test]
fn a_broken_refusal_of_an_engine_does_not_show_that_nothing_started() {
    let refusal = "{\"started\":false}";
    let length = refusal.len();
    for lines in [
        format!("no colon\r\ncontent-length: {length}\r\n"),
        format!("content-length: {length}\r\ncontent-length: 3\r\n"),
        format!("content-length: {}\r\n", length + 1),
    ] {
        let text = format!("HTTP/1.1 503 X\r\n{lines}\r\n{refusal}");
        let server = RawServer::start(text.as_bytes());
        assert_eq!(generate(&server).0, AttemptEnd::Broken, "{lines:?}");
    }
    let sound = format!("HTTP/1.1 503 X\r\ncontent-length: {length}\r\n\r\n{refusal}");
    let server = RawServer::start(sound.as_bytes());
    assert_eq!(generate(&server).0, AttemptEnd::NotStarted);
}

#[test]
fn a_generation_ends_with_its_last_event() {
    let length = LINES.len();
    let server = RawServer::start(ok(&format!("content-length: {length}\r\n"), LINES).as_bytes());
    let (end, events) = generate(&server);
    assert_eq!((end, events.len()), (AttemptEnd::Complete, 3));
    let cut = ok(
        &format!("content-length: {length}\r\n"),
        &LINES[..length - 3],
    );
    let server = RawServer::start(cut.as_bytes());
    let (end, events) = generate(&server);
    assert_eq!((end, events.len()), (AttemptEnd::Broken, 2));
}

// Guards against a server that sends without end and takes memory, or the thread of the call, up to the timeout.
#[test]
fn an_answer_without_end_is_a_broken_answer() {
    let starts = [
        ("HTTP/1.1 ", "2"),
        ("HTTP/1.1 200 ", "x"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("HTTP/1.1 200 OK\r\nx: ", "x"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "xxxxxxxx"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
        ),
        ("HTTP/1.1 503 X\r\nconnection: close\r\n\r\n", "xxxxxxxx"),
    ];
    let started = Instant::now();
    for (start, repeated) in starts {
        let server = RawServer::start_without_end(start, repeated);
        assert_eq!(call(&server), Err(AttemptEnd::Broken), "{start:?}");
        let server = RawServer::start_without_end(start, repeated);
        assert_eq!(generate(&server).0, AttemptEnd::Broken, "{start:?}");
    }
    assert!(started.elapsed() < TIMEOUT);
}
