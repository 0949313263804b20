//! Guarantees of a gateway to callers. Each test provokes the failure that would break the guarantee.
//!
//! With 503 the gateway promises that the request was not run. After 502 the request may have run.

mod common;

use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, open, read_answer, request_text, route, settings, tenant, wait_until,
    FakeEndpoint, FakeStore, Setup,
};
use directory::{EndpointState, Execution, Quota};

const STREAM: Execution = Execution::Stream { resumable: false };
const RESUMABLE: Execution = Execution::Stream { resumable: true };

fn start_serving(execution: Execution, fakes: &[&FakeEndpoint]) -> Setup {
    let endpoints = fakes.iter().enumerate();
    let endpoints = endpoints.map(|(i, s)| endpoint(&format!("e{i}"), s.address));
    Setup::serving(
        configuration(1, vec![route("/a/", execution)]),
        endpoints.collect(),
    )
}

#[test]
fn an_answer_is_forwarded_and_a_tenant_header_of_the_caller_is_not() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(201, "made"));
    let setup = start_serving(Execution::Once, &[&fake]);
    let answer = setup.call("/a/b?c=d", &["x-tenant: forged", "x-other: kept"]);
    assert_eq!((answer.status, answer.body.as_str()), (201, "made"));
    assert_eq!(answer.header("x-signature"), Some("s"));
    let head = fake.heads()[0].to_lowercase();
    assert!(head.starts_with("get /a/b?c=d http/1.1"), "{head}");
    assert!(
        head.contains("x-other: kept") && !head.contains("forged"),
        "{head}"
    );
    assert!(head.contains("x-endpoint: e0"), "{head}");
}

#[test]
fn an_answer_with_the_id_of_another_request_is_not_forwarded() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer_with_id("9", 200, "foreign"));
    let setup = start_serving(Execution::Once, &[&fake]);
    let answer = setup.call("/a/", &[]);
    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("foreign"));
}

#[test]
fn a_run_once_request_that_may_have_run_is_not_sent_again_and_gets_502() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.close());
    let setup = start_serving(Execution::Once, &[&fake, &fake]);
    assert_eq!(setup.call("/a/", &[]).status, 502);
    assert_eq!(fake.heads().len(), 1);
}

#[test]
fn a_declined_request_is_sent_to_another_endpoint() {
    let fake = FakeEndpoint::start(|number, exchange| match number {
        0 => exchange.decline(),
        _ => exchange.answer(200, "second"),
    });
    let setup = start_serving(Execution::Once, &[&fake, &fake]);
    let answer = setup.call("/a/", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (200, "second"));
}

#[test]
fn a_request_that_all_endpoints_declined_gets_503_with_retry_after() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.decline());
    let setup = start_serving(Execution::Once, &[&fake]);
    let answer = setup.call("/a/", &[]);
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fake.heads().len(), 1);
}

#[test]
fn a_failed_repeatable_request_is_retried_up_to_its_max_attempts() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(500, "bad"));
    let setup = start_serving(Execution::Repeatable, &[&fake, &fake, &fake]);
    let answer = setup.call("/a/", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (500, "bad"));
    assert_eq!(fake.heads().len(), 2);
}

#[test]
fn a_failed_repeatable_request_gets_502_if_there_is_no_other_endpoint() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(500, "bad"));
    let setup = start_serving(Execution::Repeatable, &[&fake]);
    assert_eq!(setup.call("/a/", &[]).status, 502);
    assert_eq!(fake.heads().len(), 1);
}

#[test]
fn a_failed_repeatable_request_gets_502_if_the_other_endpoint_declines() {
    let fake = FakeEndpoint::start(|number, exchange| match number {
        0 => exchange.answer(500, "bad"),
        _ => exchange.decline(),
    });
    let setup = start_serving(Execution::Repeatable, &[&fake, &fake]);
    assert_eq!(setup.call("/a/", &[]).status, 502);
    assert_eq!(fake.heads().len(), 2);
}

#[test]
fn a_successful_answer_without_a_signature_gets_502() {
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.write("HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nhi");
    });
    let setup = start_serving(Execution::Once, &[&fake]);
    assert_eq!(setup.call("/a/", &[]).status, 502);
}

#[test]
fn a_request_ends_with_504_at_the_timeout_of_its_route() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.wait_closed());
    let mut slow = route("/a/", Execution::Once);
    slow.timeout = Duration::from_millis(300);
    let one = endpoint("e0", fake.address);
    let setup = Setup::serving(configuration(1, vec![slow]), vec![one]);
    let started = Instant::now();
    let answer = setup.call("/a/", &["x-deadline: 60000"]);
    assert_eq!(answer.status, 504);
    assert!(started.elapsed() < Duration::from_secs(5));
    let head = fake.heads()[0].to_lowercase();
    let reported = head.split("x-deadline: ").nth(1).unwrap();
    let reported: u64 = reported.split('\r').next().unwrap().parse().unwrap();
    assert!(reported <= 300, "{reported}");
}

#[test]
fn the_disconnect_of_a_caller_ends_its_request() {
    let (disconnects, disconnected) = flume::bounded(1);
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.wait_closed();
        let _ = disconnects.send(());
    });
    let setup = start_serving(Execution::Once, &[&fake]);
    let caller = open(setup.address(), &request_text("/a/", &[]));
    wait_until("the request at the endpoint", || !fake.heads().is_empty());
    drop(caller);
    disconnected.recv_timeout(Duration::from_secs(5)).unwrap();
}

#[test]
fn the_disconnect_of_a_caller_ends_its_stream() {
    let (disconnects, disconnected) = flume::bounded(1);
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.wait_closed();
        let _ = disconnects.send(());
    });
    let setup = start_serving(STREAM, &[&fake]);
    let mut caller = open(setup.address(), &request_text("/a/", &[]));
    let mut byte = [0];
    std::io::Read::read_exact(&mut caller, &mut byte).unwrap();
    drop(caller);
    disconnected.recv_timeout(Duration::from_secs(5)).unwrap();
}

#[test]
fn a_broken_resumable_stream_resumes_at_another_endpoint_without_gap_or_repeat() {
    let fake = FakeEndpoint::start(|number, exchange| {
        exchange.begin_stream();
        if number == 0 {
            exchange.event(1);
            exchange.event(2);
            exchange.chunk("id: 3\nda");
            return exchange.close();
        }
        assert_eq!(exchange.header("x-last-event").as_deref(), Some("2"));
        // Repeats an event that the caller already has.
        exchange.event(2);
        exchange.event(3);
        exchange.end_stream();
    });
    let setup = start_serving(RESUMABLE, &[&fake, &fake]);
    let answer = setup.call("/a/", &[]);
    let events = [1, 2, 3]
        .map(|n| format!("id: {n}\ndata: e{n}\n\n"))
        .concat();
    assert_eq!(answer.body, events);
    assert!(answer.is_complete);
}

#[test]
fn a_broken_stream_that_cannot_resume_is_incomplete_for_the_caller() {
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        exchange.close();
    });
    let setup = start_serving(STREAM, &[&fake, &fake]);
    let answer = setup.call("/a/", &[]);
    assert_eq!(answer.body, "id: 1\ndata: e1\n\n");
    assert!(!answer.is_complete);
    assert_eq!(fake.heads().len(), 1);
}

#[test]
fn a_silent_stream_is_not_resumed_elsewhere_without_retry_budget() {
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        // Four times the silence after which a stream may resume elsewhere.
        std::thread::sleep(Duration::from_secs(6));
        exchange.event(2);
        exchange.end_stream();
    });
    let mut settings = settings();
    settings.repeats_milli = 0;
    settings.repeats_extra = 0;
    let mut route = route("/a/", RESUMABLE);
    route.gap_target = Some(Duration::from_millis(50));
    let endpoints = ["e0", "e1"].map(|id| endpoint(id, fake.address));
    let configuration = configuration(1, vec![route]);
    let setup = Setup::serving_with(settings, configuration, endpoints.to_vec());
    let answer = setup.call("/a/", &[]);
    assert!(answer.is_complete, "{}", answer.body);
    assert_eq!(fake.heads().len(), 1);
}

// Guards against moving the streams of a sound endpoint that is silent for about a second, at the cost of its work and of
// the retry budget.
#[test]
fn a_stream_stays_at_an_endpoint_that_is_silent_for_a_second() {
    let fake = FakeEndpoint::start(|_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        std::thread::sleep(Duration::from_secs(1));
        exchange.event(2);
        exchange.end_stream();
    });
    let mut route = route("/a/", RESUMABLE);
    route.gap_target = Some(Duration::from_millis(50));
    let endpoints = ["e0", "e1"].map(|id| endpoint(id, fake.address));
    let configuration = configuration(1, vec![route]);
    let setup = Setup::serving_with(settings(), configuration, endpoints.to_vec());
    let answer = setup.call("/a/", &[]);
    assert!(answer.is_complete, "{}", answer.body);
    assert_eq!(fake.heads().len(), 1);
}

#[test]
fn unknown_routes_and_keys_get_other_statuses_than_a_missing_configuration() {
    let store = FakeStore::default();
    let setup = Setup::start(settings(), store);
    assert!(!setup.is_ready());
    assert_eq!(setup.call("/a/", &["x-key: k"]).status, 503);
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    setup.store.put_endpoint(endpoint("e0", fake.address));
    let mut first = configuration(1, vec![route("/a/", Execution::Once)]);
    first.tenants = vec![tenant("t", "k")];
    setup.store.put_configuration(first);
    wait_until("readiness", || setup.is_ready());
    assert_eq!(setup.call("/b/", &["x-key: k"]).status, 404);
    assert_eq!(setup.call("/a/", &["x-key: other"]).status, 401);
    assert_eq!(setup.call("/a/", &["x-key: k"]).status, 200);
    assert!(fake.heads()[0].to_lowercase().contains("x-tenant: t"));
}

#[test]
fn a_newer_configuration_takes_effect_and_an_older_one_does_not() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    let setup = start_serving(Execution::Once, &[&fake]);
    let newer = configuration(5, vec![route("/b/", Execution::Once)]);
    setup.store.put_configuration(newer);
    wait_until("the new route", || setup.call("/b/", &[]).status == 200);
    let older = configuration(4, vec![route("/a/", Execution::Once)]);
    setup.store.put_configuration(older);
    let newest = configuration(6, vec![route("/b/", Execution::Once), route("/c/", STREAM)]);
    setup.store.put_configuration(newest);
    wait_until("the newest route", || setup.call("/c/", &[]).status != 404);
    assert_eq!(setup.call("/a/", &[]).status, 404);
}

#[test]
fn changes_are_found_after_the_store_compacted_its_history() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    let setup = start_serving(Execution::Once, &[&fake]);
    setup.store.refuse(true);
    setup.store.delete_endpoint("e0");
    let newer = configuration(2, vec![route("/b/", Execution::Once)]);
    setup.store.put_configuration(newer);
    setup.store.compact_history();
    setup.store.refuse(false);
    wait_until("the new route without endpoint", || {
        setup.call("/b/", &[]).status == 503
    });
    assert_eq!(setup.call("/a/", &[]).status, 404);
}

#[test]
fn a_key_is_refused_once_its_confirmation_expires_until_the_store_is_back() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    let mut with_tenant = configuration(1, vec![route("/a/", Execution::Once)]);
    with_tenant.tenants = vec![tenant("t", "k")];
    let mut settings = settings();
    settings.credential_age_ms = 600;
    let one = endpoint("e0", fake.address);
    let setup = Setup::serving_with(settings, with_tenant, vec![one]);
    assert_eq!(setup.call("/a/", &["x-key: k"]).status, 200);
    setup.store.refuse(true);
    wait_until("the key to be refused", || {
        setup.call("/a/", &["x-key: k"]).status == 503
    });
    assert!(!setup.is_ready());
    let ran = fake.heads().len();
    assert_eq!(setup.call("/a/", &["x-key: k"]).status, 503);
    assert_eq!(
        setup.call("/zz/", &["x-key: k"]).status,
        503,
        "the route may be new"
    );
    assert_eq!(fake.heads().len(), ran);
    setup.store.refuse(false);
    wait_until("the key to be accepted", || {
        setup.call("/a/", &["x-key: k"]).status == 200
    });
}

#[test]
fn a_draining_or_deleted_endpoint_gets_no_new_requests() {
    let leaving = FakeEndpoint::start(|_, exchange| exchange.answer(200, "leaving"));
    let staying = FakeEndpoint::start(|_, exchange| exchange.answer(200, "staying"));
    let setup = start_serving(Execution::Once, &[&leaving]);
    assert_eq!(setup.call("/a/", &[]).body, "leaving");
    let mut draining = endpoint("e0", leaving.address);
    draining.state = EndpointState::Draining { leaves_in: None };
    setup.store.put_endpoint(draining);
    setup.store.put_endpoint(endpoint("e1", staying.address));
    wait_until("the other endpoint", || {
        setup.call("/a/", &[]).body == "staying"
    });
    let before = leaving.heads().len();
    for _ in 0..20 {
        assert_eq!(setup.call("/a/", &[]).body, "staying");
    }
    assert_eq!(leaving.heads().len(), before);
    setup.store.delete_endpoint("e1");
    wait_until("no endpoint", || setup.call("/a/", &[]).status == 503);
}

#[test]
fn a_team_beyond_its_limit_gets_429_with_retry_after() {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    let mut limited = tenant("t", "k");
    limited.quota = Some(Quota {
        rate: 1.0,
        burst: 100.0,
        default_token_cost: Some(20),
    });
    let mut with_limit = configuration(1, vec![route("/a/", Execution::Once)]);
    with_limit.tenants = vec![limited];
    let one = endpoint("e0", fake.address);
    let setup = Setup::serving(with_limit, vec![one]);
    let statuses: Vec<u16> = (0..8)
        .map(|_| setup.call("/a/", &["x-key: k"]).status)
        .collect();
    assert_eq!(statuses, [200, 200, 429, 429, 429, 429, 429, 429]);
    let refused = setup.call("/a/", &["x-key: k", "x-tokens: 30"]);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fake.heads().len(), 2);
}

#[test]
fn a_stopping_gateway_finishes_streams_and_closes_its_listener() {
    let (resume, resumed) = flume::bounded::<()>(1);
    let fake = FakeEndpoint::start(move |_, exchange| {
        exchange.begin_stream();
        exchange.event(1);
        let _ = resumed.recv();
        exchange.event(2);
        exchange.end_stream();
    });
    let setup = start_serving(STREAM, &[&fake]);
    let address = setup.address();
    let mut caller = open(address, &request_text("/a/", &[]));
    wait_until("the request at the endpoint", || !fake.heads().is_empty());
    setup.stop();
    wait_until("readiness to be withdrawn", || !setup.is_ready());
    wait_until("the listener to close", || {
        std::net::TcpStream::connect(address).is_err()
    });
    resume.send(()).unwrap();
    let answer = read_answer(&mut caller);
    assert!(answer.is_complete, "{answer:?}");
    assert!(answer.body.ends_with("id: 2\ndata: e2\n\n"));
    assert_eq!(fake.heads().len(), 1);
}

thread_local! {
    // A fake endpoint serves each connection on its own thread.
    static REQUESTS_OF_CONNECTION: Cell<usize> = const { Cell::new(0) };
}

#[test]
fn a_retry_after_silence_does_not_use_an_idle_connection() {
    let arrived = Arc::new(AtomicUsize::new(0));
    // Each connection answers once, after both endpoints have got a request, and sends nothing after that.
    let start = || {
        let arrived = Arc::clone(&arrived);
        FakeEndpoint::start(move |_, e| {
            let earlier = REQUESTS_OF_CONNECTION.replace(1);
            if earlier > 0 {
                return e.wait_closed();
            }
            arrived.fetch_add(1, Ordering::SeqCst);
            wait_until("requests at both endpoints", || {
                arrived.load(Ordering::SeqCst) >= 2
            });
            e.answer(200, "x");
        })
    };
    let (first, second) = (start(), start());
    let mut repeatable = route("/a/", Execution::Repeatable);
    repeatable.target = Duration::from_millis(200);
    let setup = Setup::serving(
        configuration(1, vec![repeatable]),
        vec![
            endpoint("e1", first.address),
            endpoint("e2", second.address),
        ],
    );
    thread::scope(|scope| {
        let call = || assert_eq!(setup.call("/a/1", &[]).status, 200);
        scope.spawn(call);
        wait_until("the first request", || arrived.load(Ordering::SeqCst) == 1);
        call();
    });
    assert_eq!((first.heads().len(), second.heads().len()), (1, 1));
    assert_eq!(setup.call("/a/1", &[]).status, 200);
}
