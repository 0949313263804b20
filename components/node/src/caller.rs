//! The HTTP listener: accepts requests, reads them within their bounds, and hands them on.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use errors::{Kind, Problem};
use slog::warn;
use telemetry::Counter;
use tiny_http::{Method, Request, Server};
use transport::{read_body, BodyError};

use crate::attempt::spawn;
use crate::call::{read_call, traceparent};
use crate::chat::serve_chat;
use crate::operator::{is_operator_path, serve_operator};
use crate::reply::{send_problem, send_text};
use crate::service::serve_service;
use crate::shared::Shared;

const CHAT_PATH: &str = "/v1/chat/completions";
/// Most bytes of a request's path and headers.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Pause of the accept loop, after which it looks whether the node stops.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
/// Time to come back when the node holds too many requests.
const FULL_RETRY_MS: u64 = 250;

/// Accepts requests until the node ends. tiny_http ends its listener after one failed accept, so a
/// new one is started on the same socket then.
pub fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.has_ended() {
        let server = listener.try_clone().map_err(|e| e.to_string());
        let server = server.and_then(|l| Server::from_listener(l, None).map_err(|e| e.to_string()));
        match server {
            Ok(server) => accept_from(shared, &server),
            Err(error) => warn!(shared.log, "listener not started"; "error" => error),
        }
        if !shared.has_ended() {
            shared.metrics.count(Counter::ListenerRestarts);
            std::thread::sleep(ACCEPT_PAUSE);
        }
    }
}

fn accept_from(shared: &Arc<Shared>, server: &Server) {
    while !shared.has_ended() {
        match server.recv_timeout(ACCEPT_PAUSE) {
            Ok(Some(request)) => hand_on(shared, request),
            Ok(None) => {}
            Err(_) => return,
        }
    }
}

fn hand_on(shared: &Arc<Shared>, request: Request) {
    if is_health(&request) {
        return serve_health(shared, request);
    }
    let most = shared.settings.max_in_flight as usize;
    if !shared.traffic().take_place(most) {
        let message = "the node holds as many requests as it may";
        let problem = Problem::not_run(Kind::TooManyRequests, message);
        return send_problem(request, &problem.with_retry_after_ms(FULL_RETRY_MS));
    }
    let shared = Arc::clone(shared);
    spawn(move || {
        let _place = Place(Arc::clone(&shared));
        serve(&shared, request);
    });
}

struct Place(Arc<Shared>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.traffic().free_place();
    }
}

fn is_health(request: &Request) -> bool {
    matches!(request.url(), "/healthz" | "/readyz")
}

fn serve_health(shared: &Shared, request: Request) {
    match request.url() {
        "/readyz" if !shared.is_ready() => send_text(request, 503, "not ready"),
        _ => send_text(request, 200, "ok"),
    }
}

fn serve(shared: &Arc<Shared>, mut request: Request) {
    if header_bytes(&request) > MAX_HEADER_BYTES {
        let message = format!("the headers are over {MAX_HEADER_BYTES} bytes");
        return send_problem(request, &Problem::not_run(Kind::HeadersTooLarge, message));
    }
    let most = shared.settings.max_body_bytes as usize;
    let body = match read_body(&mut request, most) {
        Ok(body) => body,
        Err(error) => return send_problem(request, &body_problem(error, most)),
    };
    if is_operator_path(request.url()) {
        return serve_operator(shared, request, body);
    }
    if shared.is_stopping() {
        let problem = Problem::not_run(Kind::Stopping, "the node is stopping");
        return send_problem(request, &problem);
    }
    let snapshot = shared.snapshot.load_full();
    let call = match read_call(shared, &snapshot, &request) {
        Ok(call) => call,
        Err(problem) => return send_problem(request, &problem),
    };
    let hop = shared
        .traces
        .start_request("request", traceparent(&request).as_deref());
    hop.set_attribute("request", call.id.clone());
    hop.set_attribute("team", call.team.name.clone());
    if request.url() != CHAT_PATH {
        return serve_service(shared, request, body, call, hop);
    }
    match (request.method(), String::from_utf8(body)) {
        (Method::Post, Ok(body)) => serve_chat(shared, request, &body, call, hop),
        (Method::Post, Err(_)) => {
            let problem = Problem::not_run(Kind::MalformedBody, "the body is not UTF-8");
            send_problem(request, &problem.with_request_id(&call.id));
        }
        _ => {
            let problem = Problem::not_run(Kind::NotFound, "chat completions take POST");
            send_problem(request, &problem.with_request_id(&call.id));
        }
    }
}

fn header_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    let bytes = headers.map(|h| h.field.as_str().as_str().len() + h.value.as_str().len());
    bytes.sum::<usize>() + request.url().len()
}

fn body_problem(error: BodyError, most: usize) -> Problem {
    match error {
        BodyError::TooLarge => {
            Problem::not_run(Kind::BodyTooLarge, format!("the body is over {most} bytes"))
        }
        BodyError::Stalled => Problem::not_run(Kind::SlowSender, error.to_string()),
    }
}
