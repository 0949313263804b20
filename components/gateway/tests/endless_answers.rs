//! Endpoints that send without end: the gateway stops reading, closes the connection and serves other callers meanwhile.

mod common;

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::{
    configuration, endpoint, open, read_answer, request_text, route, wait_until, Answer, Exchange,
    FakeEndpoint, Setup,
};
use directory::{Execution, Route};

/// Timeout of the routes: what has no other bound ends then.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Routes, one for each kind of execution.
const ROUTES: [(&str, Execution); 4] = [
    ("/once/", Execution::Once),
    ("/repeatable/", Execution::Repeatable),
    ("/stream/", Execution::Stream { resumable: false }),
    ("/resumable/", Execution::Stream { resumable: true }),
];

fn signed_head(exchange: &Exchange, lines: &str) -> String {
    let id = exchange.header("x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\n{lines}")
}

/// Writes the same bytes until the gateway closes the connection.
fn write_without_end(exchange: &Exchange, bytes: &[u8]) {
    let block = bytes.repeat((16 << 10) / bytes.len() + 1);
    while exchange.stream().write_all(&block).is_ok() {}
}

/// A gateway before an endpoint that sends without end, and before a sound one of another service.
struct Flooded {
    setup: Setup,
    fake: FakeEndpoint,
    /// Number of connections that the gateway has closed.
    closed: Arc<AtomicUsize>,
}

impl Flooded {
    fn start(serve: impl Fn(&mut Exchange) + Send + Sync + 'static) -> Self {
        let closed = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&closed);
        let fake = FakeEndpoint::start(move |_, exchange| {
            serve(exchange);
            counted.fetch_add(1, Ordering::SeqCst);
            exchange.abandon();
        });
        let sound = FakeEndpoint::start(|_, exchange| exchange.answer(200, "sound"));
        let mut routes = ROUTES
            .map(|(prefix, execution)| route(prefix, execution))
            .to_vec();
        routes.iter_mut().for_each(|route| route.timeout = TIMEOUT);
        let mut other = route("/sound/", Execution::Once);
        other.split[0].service = "sound".into();
        routes.push(other);
        let mut configuration = configuration(1, routes);
        let service = configuration.services["s"].clone();
        configuration.services.insert("sound".into(), service);
        let mut sound = endpoint("sound", sound.address);
        sound.service = "sound".into();
        let endpoints = vec![endpoint("e", fake.address), sound];
        let setup = Setup::serving(configuration, endpoints);
        Flooded {
            setup,
            fake,
            closed,
        }
    }

    /// The answer to a request to the endpoint, whose connection the gateway closes, while others are served.
    fn call(&self, path: &str) -> Answer {
        let before = (self.fake.heads().len(), self.closed.load(Ordering::SeqCst));
        let mut caller = open(self.setup.address(), &request_text(path, &[]));
        wait_until("the request", || self.fake.heads().len() > before.0);
        assert_eq!(self.setup.call("/sound/", &["x-id: other"]).status, 200);
        let answer = read_answer(&mut caller);
        wait_until("the connection to close", || {
            self.closed.load(Ordering::SeqCst) > before.1
        });
        answer
    }
}

/// The answers on each route, each from a new gateway and endpoint.
fn answers_to(serve: impl Fn(&mut Exchange) + Copy + Send + Sync + 'static) -> Vec<(u16, bool)> {
    let call = |(path, _)| {
        let answer = Flooded::start(serve).call(path);
        (answer.status, answer.is_complete)
    };
    ROUTES.map(call).to_vec()
}

// Guards against a head that never comes, behind informational answers that are read without a limit.
#[test]
fn informational_answers_without_end_are_a_broken_answer() {
    let answers = answers_to(|exchange| {
        write_without_end(exchange, b"HTTP/1.1 102 Processing\r\nx: y\r\n\r\n");
    });
    assert_eq!(answers, [(502, true); 4]);
    let long = answers_to(|exchange| {
        let reason = "x".repeat(30_000);
        write_without_end(
            exchange,
            format!("HTTP/1.1 102 {reason}\r\n\r\n").as_bytes(),
        );
    });
    assert_eq!(long, [(502, true); 4]);
}

#[test]
fn a_head_without_end_is_a_broken_answer() {
    let field = answers_to(|exchange| {
        exchange.write("HTTP/1.1 200 OK\r\nx: ");
        write_without_end(exchange, b"x");
    });
    assert_eq!(field, [(502, true); 4]);
    let reason = answers_to(|exchange| {
        exchange.write("HTTP/1.1 200 ");
        write_without_end(exchange, b"x");
    });
    assert_eq!(reason, [(502, true); 4]);
}

// Guards against a whole answer, or a single event, that is collected without a limit.
#[test]
fn a_body_without_end_is_a_broken_answer() {
    let closing = answers_to(|exchange| {
        exchange.write(&signed_head(exchange, "connection: close\r\n\r\n"));
        write_without_end(exchange, b"xxxxxxxx");
    });
    assert_eq!(closing, [(502, true); 4]);
    let chunked = answers_to(|exchange| {
        exchange.write(&signed_head(exchange, "transfer-encoding: chunked\r\n\r\n"));
        write_without_end(exchange, b"8\r\nxxxxxxxx\r\n");
    });
    assert_eq!(chunked, [(502, true); 4]);
}

// Guards against framing without any data that holds a request or its connection beyond the timeout of its route.
#[test]
fn a_chunk_length_without_end_ends_at_the_timeout() {
    let answers = answers_to(|exchange| {
        exchange.write(&signed_head(exchange, "transfer-encoding: chunked\r\n\r\n"));
        write_without_end(exchange, b"0");
    });
    for (status, _) in answers {
        assert!([502, 504].contains(&status), "{status}");
    }
}

// Guards against a stream whose caller reads on and that never ends.
#[test]
fn events_without_end_are_cut_off_at_the_timeout() {
    for path in ["/stream/", "/resumable/"] {
        let flooded = Flooded::start(|exchange| {
            exchange.begin_stream();
            let mut number = 0;
            let mut event = || {
                number += 1;
                let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(1000));
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            while exchange.stream().write_all(event().as_bytes()).is_ok() {}
        });
        let answer = flooded.call(path);
        assert_eq!((answer.status, answer.is_complete), (200, false), "{path}");
    }
}

// Guards against a request that waits for the rest of a refusal instead of going to another endpoint.
#[test]
fn a_refusal_without_end_does_not_hold_its_request() {
    let pauses = |exchange: &mut Exchange| exchange.wait_closed();
    let floods = |exchange: &mut Exchange| write_without_end(exchange, b"xxxxxxxx");
    for send_body in [pauses as fn(&mut Exchange), floods] {
        let fake = FakeEndpoint::start(move |number, exchange| {
            if number > 0 {
                return exchange.answer(200, "second");
            }
            let id = exchange.header("x-id").unwrap_or_default();
            exchange.write(&format!(
                "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 1000000\r\n\r\n"
            ));
            send_body(exchange);
        });
        let endpoints = ["e0", "e1"].map(|id| endpoint(id, fake.address));
        let routes = ROUTES.map(|(prefix, execution)| Route {
            timeout: TIMEOUT,
            ..route(prefix, execution)
        });
        let setup = Setup::serving(configuration(1, routes.to_vec()), endpoints.to_vec());
        let answer = setup.call("/once/", &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, "second"));
    }
}
