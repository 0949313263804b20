//! Endpoints whose answers are broken: what they send must not reach callers as an answer.

mod common;

use std::io::Write;
use std::thread;

use common::paths::{EndpointPaths, PathState};
use common::{
    configuration, endpoint, route, settings, wait_until, Answer, FakeEndpoint, FakeStore, Setup,
};
use directory::{Configuration, Execution};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::settings::GatewaySettings;
use telemetry::Gauge;

/// Routes, one for each kind of execution.
const ROUTES: [(&str, Execution); 4] = [
    ("/once/", Execution::Once),
    ("/repeatable/", Execution::Repeatable),
    ("/stream/", Execution::Stream { resumable: false }),
    ("/resumable/", Execution::Stream { resumable: true }),
];
/// Body that the endpoint would have sent: two events.
const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// Seed of the mutated heads, and their number.
const SEED: u64 = 82;
const MUTATIONS: usize = 36;
/// The same body in chunks.
const CHUNKED_BODY: &str = "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

fn all_routes() -> Configuration {
    let routes = ROUTES.map(|(prefix, execution)| route(prefix, execution));
    configuration(1, routes.to_vec())
}

/// An answer with this status line and these further lines in its head.
fn answer_text(status_line: &str, lines: &str, body: &str) -> String {
    format!("{status_line}\r\nx-id: {{id}}\r\nx-signature: s\r\n{lines}\r\n{body}")
}

fn ok(lines: &str, body: &str) -> String {
    answer_text("HTTP/1.1 200 OK", lines, body)
}

/// Starts an endpoint that writes this text, with the id of the request, and closes the connection.
fn start_endpoint(text: &str) -> FakeEndpoint {
    let text = text.to_string();
    FakeEndpoint::start(move |_, exchange| {
        let id = exchange.header("x-id").unwrap_or_default();
        exchange.write(&text.replace("{id}", &id));
        exchange.close();
    })
}

/// The answers that a caller gets on each route if the endpoint sends this text.
fn answers_to(text: &str) -> Vec<(&'static str, Answer)> {
    let call = |(path, _)| {
        let fake = start_endpoint(text);
        let setup = Setup::serving(all_routes(), vec![endpoint("e", fake.address)]);
        let answer = setup.call(path, &[]);
        assert_eq!(fake.heads().len(), 1, "{path} {text:?}");
        (path, answer)
    };
    ROUTES.map(call).to_vec()
}

/// Checks that no caller gets any of these texts as an answer, not even in part as a whole one.
fn assert_refused(texts: &[String]) {
    let check = |text: &String| {
        for (path, answer) in answers_to(text) {
            let is_cut = answer.status == 200 && !answer.is_complete;
            let is_stream = !["/once/", "/repeatable/"].contains(&path);
            let is_refused = answer.status == 502 || (is_stream && is_cut);
            assert!(is_refused, "{path} {text:?} gave {answer:?}");
        }
    };
    thread::scope(|scope| {
        for text in texts {
            scope.spawn(move || check(text));
        }
    });
}

/// Checks that all callers get the whole body although the endpoint sent it in this way.
fn assert_served(texts: &[String]) {
    for text in texts {
        for (path, answer) in answers_to(text) {
            let got = (answer.status, answer.body.as_str(), answer.is_complete);
            assert_eq!(got, (200, BODY, true), "{path} {text:?} gave {answer:?}");
        }
    }
}

// Guards against bodies with their chunk framing inside: hyper reads a body whose last coding isn't `chunked` up to the
// close, which was then taken for the last chunk.
#[test]
fn an_answer_with_an_unknown_transfer_coding_is_not_delivered() {
    let codings = [
        "chunke",
        "",
        "chunked, foo",
        "identity",
        "gzip, chunked",
        "chunked, chunked",
        "chunked\r\ntransfer-encoding: chunked",
        "chunked;x=1",
    ];
    let text = |coding| ok(&format!("transfer-encoding: {coding}\r\n"), CHUNKED_BODY);
    assert_refused(&codings.map(text));
}

// Guards against an answer whose head contradicts itself about where the body ends.
#[test]
fn an_answer_with_a_transfer_coding_and_a_length_is_not_delivered() {
    let length = CHUNKED_BODY.len();
    let both = format!("transfer-encoding: chunked\r\ncontent-length: {length}\r\n");
    let old = "HTTP/1.0 200 OK";
    let texts = [
        ok(&both, CHUNKED_BODY),
        answer_text(old, "transfer-encoding: chunked\r\n", CHUNKED_BODY),
    ];
    assert_refused(&texts);
}

// Guards against an answer whose length was lost with the name of its field, and whose close passes for the end of the body.
#[test]
fn an_answer_that_keeps_its_connection_open_and_does_not_say_where_its_body_ends_is_not_delivered()
{
    let length = BODY.len();
    let texts = [
        ok(&format!("content-lengt: {length}\r\n"), BODY),
        ok(
            &format!("keep-alive: timeout=10\r\nlength: {length}\r\n"),
            BODY,
        ),
        ok("transfer-encodin: chunked\r\n", CHUNKED_BODY),
        ok("connection: keep-alive\r\n", BODY),
    ];
    assert_refused(&texts);
}

// Guards against chunk framing inside a body that ends with its connection.
#[test]
fn chunks_that_were_not_announced_are_not_delivered_as_a_body() {
    let head = "connection: close\r\ntransfer-encodin: chunked\r\n";
    let upper = CHUNKED_BODY.replace("f\r\n", "00F;x\r\n");
    assert_refused(&[ok(head, CHUNKED_BODY), ok(head, &upper)]);
}

#[test]
fn an_answer_with_a_spoilt_length_is_not_delivered() {
    let length = BODY.len();
    let lengths = [
        "x".to_string(),
        format!("+{length}"),
        format!("-{length}"),
        format!("0x{length}"),
        String::new(),
        format!("{length} {length}"),
        format!("{length}, 3"),
        format!("{length}\r\ncontent-length: 3"),
        format!("3\r\ncontent-length: {length}"),
        "18446744073709551615".to_string(),
        "99999999999999999999".to_string(),
        (length + 1).to_string(),
    ];
    assert_refused(&lengths.map(|length| ok(&format!("content-length: {length}\r\n"), BODY)));
}

// Guards against a body that is cut off by a length that is too small: what follows it shows that the length is wrong.
#[test]
fn an_answer_whose_length_is_too_small_for_its_body_is_not_delivered() {
    let large = "x".repeat(300_000);
    let large_event = format!("id: 1\ndata: {large}\n\n");
    for lines in ["", "connection: close\r\n"] {
        let text = |length, body| ok(&format!("{lines}content-length: {length}\r\n"), body);
        assert_refused(&[
            text(0, BODY),
            text(3, BODY),
            text(15, BODY),
            text(200_000, &large),
            text(large_event.len(), &large_event.repeat(2)),
        ]);
    }
}

// Guards against a status that allows no body, before a body.
#[test]
fn a_body_behind_a_status_without_a_body_is_not_dropped() {
    let length = BODY.len();
    let text =
        |status, lines: &str, body| answer_text(&format!("HTTP/1.1 {status} X"), lines, body);
    assert_refused(&[
        text(204, "transfer-encoding: chunked\r\n", CHUNKED_BODY),
        text(304, "transfer-encoding: chunked\r\n", CHUNKED_BODY),
        text(204, &format!("content-length: {length}\r\n"), BODY),
        text(204, "connection: close\r\n", BODY),
    ]);
}

// Guards against statuses outside of 200 to 599, which are no final answer.
#[test]
fn an_answer_whose_status_is_none_is_not_delivered() {
    let statuses = ["000", "099", "101", "600", "999", "20", "2000", "2x0", ""];
    let head = format!("content-length: {}\r\n", BODY.len());
    let text = |status| answer_text(&format!("HTTP/1.1 {status} OK"), &head, BODY);
    assert_refused(&statuses.map(text));
}

// Guards against heads that are read although one of their lines is no field.
#[test]
fn an_answer_with_a_line_that_is_no_field_is_not_delivered() {
    let lines = [
        "no colon",
        "x y: blank in the name",
        "x : blank before the colon",
        "x\ty: tab in the name",
        "x\x01y: control byte in the name",
        "x\x7fy: control byte in the name",
        ": no name",
        " x: blank before the name",
        "x: NUL in \0 the value",
        "x: DEL in \x7f the value",
        "x: CR in \r the value",
    ];
    let length = BODY.len();
    let before = lines.map(|line| ok(&format!("{line}\r\ncontent-length: {length}\r\n"), BODY));
    assert_refused(&before);
    let after = lines.map(|line| ok(&format!("content-length: {length}\r\n{line}\r\n"), BODY));
    assert_refused(&after);
}

// Guards against a head that ends at a line feed that was written over the first byte of a field, so that the other fields
// become the body.
#[test]
fn an_answer_with_a_line_feed_alone_in_its_head_is_not_delivered() {
    let length = BODY.len();
    let texts = [
        ok(
            &format!("connection: close\r\n\nontent-length: {length}\r\n"),
            BODY,
        ),
        ok("connection: close\n\r\n", BODY),
        ok(&format!("content-length: {length}\n"), BODY),
        answer_text(
            "HTTP/1.1 200 OK\nx: y",
            &format!("content-length: {length}\r\n"),
            BODY,
        ),
    ];
    assert_refused(&texts);
}

#[test]
fn an_answer_that_is_cut_off_is_not_delivered() {
    let chunks = &CHUNKED_BODY[..CHUNKED_BODY.len() - 5];
    let texts = [
        ok("transfer-encoding: chunked\r\n", chunks),
        ok(
            "transfer-encoding: chunked\r\n",
            "f\r\nid: 1\ndata: a\n\n\r\nzz\r\n",
        ),
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 0\r\n".to_string(),
        "id: 1\ndata: a\n\n".to_string(),
    ];
    assert_refused(&texts);
}

// Guards against refusing endpoints that mark the end of a body in any of the ways of the protocol.
#[test]
fn a_body_is_delivered_whichever_way_marks_its_end() {
    let length = BODY.len();
    let texts = [
        ok(&format!("content-length: {length}\r\n"), BODY),
        ok("Transfer-Encoding: Chunked\r\n", CHUNKED_BODY),
        ok("connection: close\r\n", BODY),
        ok("connection: x, Close\r\n", BODY),
        answer_text("HTTP/1.0 200 OK", "", BODY),
        "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".to_string()
            + &ok(&format!("content-length: {length}\r\n"), BODY),
    ];
    assert_served(&texts);
}

// Guards against refusing text whose first line could be the length of a chunk.
#[test]
fn a_text_that_begins_with_a_number_and_ends_with_its_connection_is_delivered() {
    for body in ["42\r\n", "0\r\n", "a\r\n1\r\n2\r\n", "3\r\nabcdef\r\n"] {
        let fake = start_endpoint(&ok("connection: close\r\n", body));
        let setup = Setup::serving(all_routes(), vec![endpoint("e", fake.address)]);
        let answer = setup.call("/once/", &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, body));
    }
}

// Guards against refusing a whole answer because its endpoint sent another one behind it.
#[test]
fn an_answer_is_delivered_although_another_follows_it() {
    let length = BODY.len();
    let other = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nx";
    let first = format!("content-length: {length}\r\n");
    assert_served(&[
        ok(&first, BODY) + other,
        ok("transfer-encoding: chunked\r\n", CHUNKED_BODY) + other,
    ]);
}

// Guards against a caller who can't see that a stream was cut off, because the version and so the framing of the endpoint's
// answer was passed on.
#[test]
fn a_stream_of_an_older_protocol_version_that_is_cut_off_does_not_look_complete() {
    let text = answer_text("HTTP/1.0 200 OK", "", &BODY[..20]);
    for (path, answer) in answers_to(&text).into_iter().skip(2) {
        assert_eq!(
            answer.header("transfer-encoding"),
            Some("chunked"),
            "{path}"
        );
        assert!(!answer.is_complete, "{path} {answer:?}");
    }
}

// Guards against a caller who takes a stream for complete at the wrong length that its first endpoint stated.
#[test]
fn a_stream_that_goes_on_elsewhere_does_not_have_the_length_of_its_first_endpoint() {
    let first = ok("content-length: 20\r\n", BODY);
    let fake = FakeEndpoint::start(move |number, exchange| match number {
        0 => {
            let id = exchange.header("x-id").unwrap_or_default();
            exchange.write(&first.replace("{id}", &id));
            exchange.close();
        }
        _ => {
            exchange.begin_stream();
            exchange.chunk("id: 2\ndata: b\n\n");
            exchange.end_stream();
        }
    });
    let endpoints = ["e0", "e1"].map(|id| endpoint(id, fake.address));
    let setup = Setup::serving(all_routes(), endpoints.to_vec());
    let answer = setup.call("/resumable/", &[]);
    assert_eq!((answer.body.as_str(), answer.is_complete), (BODY, true));
}

// Guards against failing a request that may be repeated, and against connections that are used again after a broken answer.
#[test]
fn a_repeatable_request_whose_answer_is_broken_is_served_by_another_endpoint() {
    let length = BODY.len();
    let broken = [
        ok("transfer-encoding: chunke\r\n", CHUNKED_BODY),
        ok(&format!("lengt: {length}\r\n"), BODY),
        ok("content-length: 3\r\n", BODY),
        answer_text("HTTP/1.1 600 OK", "content-length: 0\r\n", ""),
        ok(&format!("x y: z\r\ncontent-length: {length}\r\n"), BODY),
    ];
    for text in broken {
        let fake = FakeEndpoint::start(move |number, exchange| match number {
            0 => {
                let id = exchange.header("x-id").unwrap_or_default();
                exchange.write(&text.replace("{id}", &id));
                // The gateway closes the connection, not the endpoint.
                exchange.wait_closed();
            }
            _ => exchange.answer(200, "sound"),
        });
        let endpoints = ["e0", "e1"].map(|id| endpoint(id, fake.address));
        let setup = Setup::serving(all_routes(), endpoints.to_vec());
        let answer = setup.call("/repeatable/", &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, "sound"));
    }
}

// Guards against a promise that a request was not run, made from a head that is broken.
#[test]
fn a_refusal_with_a_broken_head_does_not_promise_that_the_request_was_not_run() {
    let heads = [
        "transfer-encoding: chunke\r\n",
        "content-lengt: 0\r\n",
        "content-length: 0\r\nx y: z\r\n",
        "content-length: 0\r\ncontent-length: 0\r\n",
    ];
    for head in heads {
        let lines = format!("x-not-run: 1\r\n{head}");
        let fake = start_endpoint(&answer_text("HTTP/1.1 503 X", &lines, ""));
        let endpoints = ["e0", "e1"].map(|id| endpoint(id, fake.address));
        let setup = Setup::serving(all_routes(), endpoints.to_vec());
        assert_eq!(setup.call("/once/", &[]).status, 502, "{head:?}");
        assert_eq!(fake.heads().len(), 1, "{head:?}");
    }
}

// Guards against a broken answer that is believed because its connection goes through another gateway.
#[test]
fn a_broken_answer_behind_another_gateway_is_not_delivered() {
    let length = BODY.len();
    let heads = [
        ("transfer-encoding: chunke\r\n".to_string(), CHUNKED_BODY),
        (format!("content-lengt: {length}\r\n"), BODY),
        ("content-length: 3\r\n".to_string(), BODY),
        (format!("x y: z\r\ncontent-length: {length}\r\n"), BODY),
        (format!("content-length: {}\r\n", length + 1), BODY),
    ];
    for (head, body) in heads {
        let fake = start_endpoint(&ok(&head, body));
        let store = FakeStore::default();
        store.put_configuration(all_routes());
        store.put_endpoint(endpoint("e", fake.address));
        let paths = EndpointPaths::default();
        let discard = telemetry::discard();
        let cut = Setup::start_with_dialer(settings(), store.clone(), discard, paths.dialer());
        let other_settings = GatewaySettings {
            name: "g2".into(),
            seeds: vec![cut.gateway.peer_address().to_string()],
            ..settings()
        };
        let other = Setup::start(other_settings, store.for_other_gateway());
        wait_until("the gateways to know each other", || {
            let knows_other = |setup: &Setup| setup.gateway.metrics().gauge(Gauge::AlivePeers) == 1;
            [&cut, &other]
                .into_iter()
                .all(|setup| setup.is_ready() && knows_other(setup))
        });
        paths.set(PathState::Refused);
        assert_eq!(cut.call("/once/", &[]).status, 502, "{head:?}");
        assert_eq!(fake.heads().len(), 1, "{head:?}");
    }
}

/// Replaces one byte of the head by another one, more likely by one with a meaning in heads.
fn mutate_head(rng: &mut impl Rng, text: &str) -> Vec<u8> {
    const MEANINGFUL: &[u8] = b"\r\n :;,0123456789abcdefx\t\0";
    let head = text.find("\r\n\r\n").expect("the text has no head") + 4;
    let mut bytes = text.as_bytes().to_vec();
    bytes[rng.random_range(0..head)] = match rng.random_bool(0.5) {
        true => MEANINGFUL[rng.random_range(0..MEANINGFUL.len())],
        false => rng.random(),
    };
    bytes
}

// Guards against any single wrong byte in a head that yields another body, on each kind of route.
#[test]
fn an_answer_with_one_wrong_byte_in_its_head_has_its_whole_body_or_is_not_delivered() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let sound = [
        ok(&format!("content-length: {}\r\n", BODY.len()), BODY),
        ok("transfer-encoding: chunked\r\n", CHUNKED_BODY),
        ok(
            "connection: close\r\ntransfer-encoding: chunked\r\n",
            CHUNKED_BODY,
        ),
    ];
    let sound = sound.map(|text| text.replace("{id}", "1"));
    let mutated: Vec<Vec<u8>> = (0..MUTATIONS)
        .map(|number| mutate_head(&mut rng, &sound[number % sound.len()]))
        .collect();
    let check = |bytes: &Vec<u8>| {
        let shown = String::from_utf8_lossy(bytes);
        for (path, execution) in ROUTES {
            let sent = bytes.clone();
            let fake = FakeEndpoint::start(move |_, exchange| {
                let _ = exchange.stream().write_all(&sent);
                exchange.close();
            });
            let setup = Setup::serving(all_routes(), vec![endpoint("e", fake.address)]);
            let answer = setup.call(path, &[]);
            let is_whole = answer.is_complete && answer.body == BODY;
            let is_cut = execution.is_stream() && !answer.is_complete;
            assert!(
                is_whole || is_cut || answer.status == 502,
                "{path} {shown:?} gave {answer:?}"
            );
        }
    };
    thread::scope(|scope| {
        for bytes in &mutated {
            scope.spawn(move || check(bytes));
        }
    });
}
