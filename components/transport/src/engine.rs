//! Client of a model engine.
//!
//! The rest of croftpond uses only the [`Engine`] trait; the protocol of another engine is supported
//! by another implementation of it.

use std::io::{BufRead, BufReader, ErrorKind, Read};

use crate::wire::{CacheEventBody, ChunkLine, GenerateBody, LoadBody, OrderBody, Refusal};

/// Longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Timeout of all calls but generations, in seconds.
const SHORT_CALL_TIMEOUT_SECS: u64 = 2;

/// Request to generate an answer.
pub type GenerateRequest = GenerateBody;
/// An endpoint's load.
pub type LoadReport = LoadBody;

/// An event of the answer stream of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationEvent {
    /// The engine started; this is the id of its stream.
    Stream(String),
    /// A token.
    Token {
        /// Offset in the answer.
        offset: u64,
        /// Text.
        text: String,
    },
    /// The answer is complete and has this many tokens.
    End(u64),
}

/// How an attempt at a generation or a service call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete, or the receiver asked to stop.
    Complete,
    /// Nothing started: the connection was refused, the engine said so, or the request could not be
    /// encoded.
    NotStarted,
    /// The attempt failed and may have started.
    Broken,
}

/// A failed call other than a generation, with the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineError(pub String);

impl std::fmt::Display for EngineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the endpoint did not answer as expected: {}", self.0)
    }
}

impl std::error::Error for EngineError {}

/// Operations of a model engine.
pub trait Engine: Send + Sync {
    /// Runs a generation and passes its events to `receive` until that returns `false` or the answer
    /// ends. `traceparent` is sent as a header of that name.
    fn generate(
        &self,
        address: &str,
        request: &GenerateRequest,
        traceparent: Option<&str>,
        receive: &mut dyn FnMut(GenerationEvent) -> bool,
    ) -> AttemptEnd;

    /// Cancels a stream; cancelling a finished stream has no effect.
    fn cancel(&self, address: &str, stream: &str) -> Result<(), EngineError>;

    /// Returns the current load.
    fn load(&self, address: &str) -> Result<LoadReport, EngineError>;

    /// Returns the changes of the prefix cache after sequence number `after`; some may be missing.
    fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEventBody>, EngineError>;

    /// Orders the endpoint to serve a model. Repeating an order has no effect.
    fn order(&self, address: &str, order: &OrderBody) -> Result<(), EngineError>;
}

/// The HTTP engine protocol described in docs/interfaces.md.
#[derive(Clone, Debug, Default)]
pub struct HttpEngine;

impl Engine for HttpEngine {
    fn generate(
        &self,
        address: &str,
        request: &GenerateRequest,
        traceparent: Option<&str>,
        receive: &mut dyn FnMut(GenerationEvent) -> bool,
    ) -> AttemptEnd {
        let body = match serde_json::to_string(request) {
            Ok(body) => body,
            Err(_) => return AttemptEnd::NotStarted,
        };
        let mut post = minreq::post(format!("http://{address}/generate"))
            .with_header("Content-Type", "application/json")
            .with_header("Connection", "close")
            .with_follow_redirects(false)
            .with_body(body);
        if let Some(traceparent) = traceparent {
            post = post.with_header("traceparent", traceparent);
        }
        match post.send_lazy() {
            Ok(response) if !has_status_line(&response.reason_phrase) => AttemptEnd::Broken,
            Ok(response) if response.status_code == 200 => read_events(response, receive),
            Ok(response) => end_of_refusal(response),
            Err(error) => end_of_failed_call(&error),
        }
    }

    fn cancel(&self, address: &str, stream: &str) -> Result<(), EngineError> {
        let body = serde_json::json!({ "stream": stream }).to_string();
        post(address, "/cancel", body)
    }

    fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let response = minreq::get(format!("http://{address}/load"))
            .with_timeout(SHORT_CALL_TIMEOUT_SECS)
            .send()
            .map_err(|e| EngineError(e.to_string()))?;
        serde_json::from_slice(response.as_bytes()).map_err(|e| EngineError(e.to_string()))
    }

    fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEventBody>, EngineError> {
        let response = minreq::get(format!("http://{address}/cache-events?after={after}"))
            .with_timeout(SHORT_CALL_TIMEOUT_SECS)
            .send()
            .map_err(|e| EngineError(e.to_string()))?;
        serde_json::from_slice(response.as_bytes()).map_err(|e| EngineError(e.to_string()))
    }

    fn order(&self, address: &str, order: &OrderBody) -> Result<(), EngineError> {
        let body = serde_json::to_string(order).map_err(|e| EngineError(e.to_string()))?;
        post(address, "/orders", body)
    }
}

/// Returns how an attempt ended whose call failed: only a refused connection proves that nothing
/// started.
pub(crate) fn end_of_failed_call(error: &minreq::Error) -> AttemptEnd {
    match error {
        minreq::Error::IoError(e) if e.kind() == ErrorKind::ConnectionRefused => {
            AttemptEnd::NotStarted
        }
        _ => AttemptEnd::Broken,
    }
}

/// Reason phrase that minreq reports, with status 503, if the connection closed without an answer.
const NO_STATUS_LINE_REASON: &str = "Server did not provide a status line";

/// Whether the server sent a status line, judged by the reason phrase that minreq reports.
///
/// A lost answer must not be taken for a refusal: the request would be reported as not run, and a
/// call that must not be repeated would be repeated.
pub fn has_status_line(reason_phrase: &str) -> bool {
    reason_phrase != NO_STATUS_LINE_REASON
}

// Only the engine's refusal body proves that nothing started: a status alone may come from another
// server.
fn end_of_refusal(response: minreq::ResponseLazy) -> AttemptEnd {
    let mut body = Vec::new();
    let read = response.take(MAX_LINE_BYTES as u64).read_to_end(&mut body);
    let refusal = serde_json::from_slice::<Refusal>(&body).ok();
    match (read, refusal) {
        (Ok(_), Some(Refusal { started: false })) => AttemptEnd::NotStarted,
        _ => AttemptEnd::Broken,
    }
}

fn post(address: &str, path: &str, body: String) -> Result<(), EngineError> {
    let response = minreq::post(format!("http://{address}{path}"))
        .with_header("Content-Type", "application/json")
        .with_timeout(SHORT_CALL_TIMEOUT_SECS)
        .with_body(body)
        .send()
        .map_err(|e| EngineError(e.to_string()))?;
    match response.status_code {
        200 | 204 => Ok(()),
        status => Err(EngineError(format!("status {status} on {path}"))),
    }
}

fn read_events(
    response: minreq::ResponseLazy,
    receive: &mut dyn FnMut(GenerationEvent) -> bool,
) -> AttemptEnd {
    let mut reader = BufReader::new(response);
    let mut line = String::new();
    loop {
        line.clear();
        let limited = &mut std::io::Read::take(&mut reader, MAX_LINE_BYTES as u64);
        match limited.read_line(&mut line) {
            Ok(n) if n > 0 && line.ends_with('\n') => {}
            _ => return AttemptEnd::Broken,
        }
        let Ok(parsed) = serde_json::from_str::<ChunkLine>(&line) else {
            return AttemptEnd::Broken;
        };
        let event = match parsed {
            ChunkLine::Stream(stream) => GenerationEvent::Stream(stream),
            ChunkLine::Token { offset, text } => GenerationEvent::Token { offset, text },
            ChunkLine::End(total) => GenerationEvent::End(total),
        };
        let is_last = matches!(event, GenerationEvent::End(_));
        if !receive(event) || is_last {
            return AttemptEnd::Complete;
        }
    }
}
