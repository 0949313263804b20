//! Starts a gateway with a fake store, fake orders and fake endpoints, and sends requests to it.

#![allow(dead_code, unused_imports)]

pub mod crashing;
mod endpoint;
mod log_lines;
pub mod paths;
pub mod slow_io;
mod store;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use directory::{Configuration, Endpoint, EndpointState, Execution, Route, Service, Share, Tenant};
use gateway::ports::{
    AnswerHead, AttemptHead, CallerHead, Dialect, EndpointLoad, HeadFault, ReportedLimit,
};
use gateway::{Clock, Gateway, Parts};
use http::{request, HeaderMap, HeaderValue, StatusCode};
use limits::SendRate;
use routing::placement::{PromptPart, Slowdown};
use schema::settings::GatewaySettings;
use slog::Logger;
use telemetry::Gauge;
use transport::Dialer;

pub use crashing::CrashingEndpoint;
pub use endpoint::{Exchange, FakeEndpoint};
pub use log_lines::LogLines;
pub use store::{FakeOrders, FakeStore};

/// Limit of every wait. Only a failing test reaches it.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until the condition holds, and panics after [`MAX_WAIT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < MAX_WAIT,
            "timed out waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A dialect with short header names.
#[derive(Clone, Copy, Debug)]
pub struct PlainDialect;

fn text(fields: &HeaderMap, name: &str) -> Option<String> {
    Some(fields.get(name)?.to_str().ok()?.to_string())
}

fn number(fields: &HeaderMap, name: &str) -> Option<u64> {
    text(fields, name)?.parse().ok()
}

// Parses hexadecimal ids that are separated by commas.
fn prompt_parts(list: String) -> Vec<PromptPart> {
    let part = |id| PromptPart {
        id: u64::from_str_radix(id, 16).unwrap(),
        tokens: 100,
    };
    list.split(',').map(part).collect()
}

impl Dialect for PlainDialect {
    fn read_request(&self, head: &request::Parts) -> Result<CallerHead, HeadFault> {
        let fields = &head.headers;
        let tokens = number(fields, "x-tokens").map(|tokens| (tokens as u32, 0));
        Ok(CallerHead {
            id: text(fields, "x-id").ok_or(HeadFault("x-id is missing"))?,
            deadline: number(fields, "x-deadline").map(Duration::from_millis),
            key: text(fields, "x-key"),
            tokens,
            answer_guess: None,
            parts: text(fields, "x-parts").map_or_else(Vec::new, prompt_parts),
            last_event: number(fields, "x-last-event"),
            resumes: text(fields, "x-resumes"),
        })
    }

    fn write_attempt(&self, fields: &mut HeaderMap, attempt: &AttemptHead) {
        fields.remove("x-key");
        fields.remove("x-tenant");
        let mut set = |name: &'static str, value: String| {
            fields.insert(name, HeaderValue::from_str(&value).unwrap());
        };
        set("x-deadline", attempt.remaining.as_millis().to_string());
        set("x-endpoint", attempt.endpoint.clone());
        if let Some(tenant) = &attempt.tenant {
            set("x-tenant", tenant.clone());
        }
        if let Some(last) = attempt.last_event {
            set("x-last-event", last.to_string());
        }
    }

    fn read_answer(&self, _: StatusCode, fields: &HeaderMap) -> AnswerHead {
        AnswerHead {
            id: text(fields, "x-id"),
            signed: fields.contains_key("x-signature"),
            not_run: fields.contains_key("x-not-run"),
            altered: fields.contains_key(http::header::CONTENT_ENCODING),
            load: number(fields, "x-load").map(|running| EndpointLoad {
                running: running as u32,
                queued: 0,
                slowdown: number(fields, "x-slowdown").map(|percent| {
                    let slowdown = Slowdown::from_percent(percent as u32);
                    slowdown.ok_or(HeadFault("x-slowdown is invalid"))
                }),
            }),
            keep_alive: None,
            leaving: fields.contains_key("x-leaving"),
            pause: number(fields, "x-pause-ms").map(|ms| Ok(Duration::from_millis(ms))),
            max_refusals_per_s: number(fields, "x-fragile").map(|number| Ok(number as u32)),
            limit: match text(fields, "x-limit") {
                None => ReportedLimit::NoLimit,
                Some(text) => {
                    let rate = text.parse().ok().and_then(SendRate::from_per_s);
                    rate.map_or(
                        ReportedLimit::Fault(HeadFault("x-limit is not a rate")),
                        ReportedLimit::Limit,
                    )
                }
            },
        }
    }
}

/// Settings of a gateway that listens on free ports.
pub fn settings() -> GatewaySettings {
    let any = || "127.0.0.1:0".to_string();
    GatewaySettings {
        name: "g1".into(),
        region: "r".into(),
        zone: "z1".into(),
        callers: any(),
        readiness: any(),
        peers: any(),
        metrics: String::new(),
        seeds: Vec::new(),
        store: any(),
        orders: any(),
        reports_usage: false,
        orders_endpoints: false,
        descriptors: 1024,
        credential_age_ms: 0,
        stop_grace_ms: 8000,
        repeats_milli: 200,
        repeats_extra: 100,
        // Short, so that a gateway has retries soon after its start.
        repeats_window_ms: 1,
        quota_slack: 0,
        lease_ms: 300,
        usage_window_ms: 1000,
        usage_due_ms: 8000,
        change_due_ms: 2000,
        cores_milli: 250,
        decisions: any(),
        exposure_milli: 100,
        exposure_extra: 50,
        halls: Default::default(),
        memory_mib: 0,
        region_link_kbit: 0,
    }
}

/// A route of the host `h` to the service `s`.
pub fn route(prefix: &str, execution: Execution) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        execution,
        timeout: Duration::from_secs(10),
        target: Duration::from_secs(5),
        gap_target: None,
        priority: 0,
        split: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
    }
}

/// A tenant with one key and without a quota.
pub fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: name.into(),
        keys: vec![key.into()],
        priority: None,
        quota: None,
    }
}

/// A configuration with the service `s`.
pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let service = Service {
        max_connections: 100,
        engine: None,
        scaling: None,
    };
    Configuration {
        version,
        routes,
        services: BTreeMap::from([("s".to_string(), service)]),
        ..Configuration::default()
    }
}

/// The record of a ready endpoint of the service `s`.
pub fn endpoint(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        born_ms: None,
        id: id.into(),
        service: "s".into(),
        address,
        zone: "z1".into(),
        slots: 8,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

/// The record of a ready endpoint of the service `s` that runs this version.
pub fn endpoint_with_version(version: &str, id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        version: version.into(),
        ..endpoint(id, address)
    }
}

/// A running gateway with its fake store and fake orders. Dropping it stops the gateway.
pub struct Setup {
    pub gateway: Gateway,
    pub store: FakeStore,
    pub orders: FakeOrders,
}

impl Setup {
    pub fn start(settings: GatewaySettings, store: FakeStore) -> Self {
        Self::start_with_log(settings, store, telemetry::discard())
    }

    pub fn start_with_log(settings: GatewaySettings, store: FakeStore, log: Logger) -> Self {
        Self::start_with_clock(settings, store, log, Clock::start())
    }

    pub fn start_with_clock(
        settings: GatewaySettings,
        store: FakeStore,
        log: Logger,
        clock: Clock,
    ) -> Self {
        Self::start_with(settings, store, log, clock, Dialer::default())
    }

    /// Starts a gateway whose connections to endpoints are opened by `dialer`.
    pub fn start_with_dialer(
        settings: GatewaySettings,
        store: FakeStore,
        log: Logger,
        dialer: Dialer,
    ) -> Self {
        Self::start_with(settings, store, log, Clock::start(), dialer)
    }

    fn start_with(
        settings: GatewaySettings,
        store: FakeStore,
        log: Logger,
        clock: Clock,
        dialer: Dialer,
    ) -> Self {
        let orders = FakeOrders::default();
        let (own_store, own_orders) = (store.clone(), orders.clone());
        let gateway = Gateway::start(Parts {
            settings,
            read_settings: Box::new(|| None),
            dialect: PlainDialect,
            store: Box::new(move || own_store),
            orders: Box::new(move || own_orders),
            dialer,
            clock,
            log,
        });
        let gateway = gateway.expect("gateway failed to start");
        Setup {
            gateway,
            store,
            orders,
        }
    }

    /// Starts a gateway with this configuration and these endpoints, and waits until it is ready.
    pub fn serving(configuration: Configuration, endpoints: Vec<Endpoint>) -> Self {
        Self::serving_with(settings(), configuration, endpoints)
    }

    pub fn serving_with(
        settings: GatewaySettings,
        configuration: Configuration,
        endpoints: Vec<Endpoint>,
    ) -> Self {
        let store = FakeStore::default();
        store.put_configuration(configuration);
        for endpoint in endpoints {
            store.put_endpoint(endpoint);
        }
        let setup = Setup::start(settings, store);
        wait_until("readiness", || setup.is_ready());
        setup.wait_for_retry_budget();
        setup
    }

    /// Waits until the gateway has its part of the fixed allowance of retries.
    pub fn wait_for_retry_budget(&self) {
        let metrics = self.gateway.metrics();
        wait_until("a part of the retry budget", || {
            metrics.gauge(Gauge::RetryPart) > 0
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.gateway.listening().callers
    }

    pub fn is_ready(&self) -> bool {
        let address = self.gateway.listening().readiness;
        let answer = send(
            address,
            "GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        );
        answer.status == 200
    }

    pub fn stop(&self) {
        self.gateway.signals().stop.store(true, Ordering::Relaxed);
    }

    /// Sends a request with additional header lines, and reads its answer.
    pub fn call(&self, path: &str, headers: &[&str]) -> Answer {
        send(self.address(), &request_text(path, headers))
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Text of a request; its id is 1 unless the header lines contain one.
pub fn request_text(path: &str, headers: &[&str]) -> String {
    let mut head = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n");
    if !headers.iter().any(|line| line.starts_with("x-id")) {
        head += "x-id: 1\r\n";
    }
    for line in headers {
        head += &format!("{line}\r\n");
    }
    head + "\r\n"
}

/// An answer as a caller receives it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body arrived in full, by `content-length` or the last chunk.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Opens a connection and sends the request.
pub fn open(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("failed to connect to the gateway");
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Sends a request and reads until the connection closes.
pub fn send(address: SocketAddr, request: &str) -> Answer {
    read_answer(&mut open(address, request))
}

/// Reads an answer until the connection closes.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    parse_answer(&bytes)
}

/// Parses all bytes received on a connection.
pub fn parse_answer(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        head: head.to_string(),
        body: rest.to_string(),
        is_complete: false,
    };
    if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.is_complete) = decode_chunked(rest);
    } else if let Some(length) = answer.header("content-length") {
        answer.is_complete = length.parse() == Ok(rest.len());
    }
    answer
}

fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            break;
        };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..length) else {
            break;
        };
        body += chunk;
        rest = after.get(length + 2..).unwrap_or_default();
    }
    (body, false)
}
