//! Client of a model engine.
//!
//! The [`Engine`] trait is all that the rest of croftpond sees; another engine's protocol is
//! another implementation of it.

use std::io::{BufRead, BufReader, ErrorKind, Read};

use crate::wire::{CacheEventBody, ChunkLine, GenerateBody, LoadBody, OrderBody, Refusal};

/// Longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Time for short calls, in seconds.
const SHORT_CALL_SECS: u64 = 2;

/// Request for a generation.
pub type GenerateRequest = GenerateBody;
/// An endpoint's load.
pub type LoadReport = LoadBody;

/// A piece of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationEvent {
    /// The engine started and names its stream.
    Stream(String),
    /// A token.
    Token {
        /// Offset in the answer.
        offset: u64,
        /// Text.
        text: String,
    },
    /// The whole answer has this many tokens.
    End(u64),
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer came to its end, or the receiver asked to stop.
    Complete,
    /// The engine proved that it did not start.
    NotStarted,
    /// The connection broke or the engine failed after it may have started.
    Broken,
}

/// A short call that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineError(pub String);

impl std::fmt::Display for EngineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the endpoint did not answer as expected: {}", self.0)
    }
}

impl std::error::Error for EngineError {}

/// What croftpond asks of a model engine.
pub trait Engine: Send + Sync {
    /// Runs a generation and hands over its pieces until the receiver returns `false`.
    /// `traceparent` goes along as a header.
    fn generate(
        &self,
        address: &str,
        request: &GenerateRequest,
        traceparent: Option<&str>,
        receive: &mut dyn FnMut(GenerationEvent) -> bool,
    ) -> AttemptEnd;

    /// Cancels a stream; cancelling one that is over does nothing.
    fn cancel(&self, address: &str, stream: &str) -> Result<(), EngineError>;

    /// Reads the load.
    fn load(&self, address: &str) -> Result<LoadReport, EngineError>;

    /// Changes of the prefix cache after a sequence; there may be gaps.
    fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEventBody>, EngineError>;

    /// Orders the endpoint to serve a model. Repeating an order does nothing.
    fn order(&self, address: &str, order: &OrderBody) -> Result<(), EngineError>;
}

/// The engine protocol of docs/interfaces.md.
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
            Ok(response) if response.status_code == 200 => read_lines(response, receive),
            Ok(response) => end_of_refusal(response),
            Err(error) => end_of(&error),
        }
    }

    fn cancel(&self, address: &str, stream: &str) -> Result<(), EngineError> {
        let body = serde_json::json!({ "stream": stream }).to_string();
        post(address, "/cancel", body)
    }

    fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let response = minreq::get(format!("http://{address}/load"))
            .with_timeout(SHORT_CALL_SECS)
            .send()
            .map_err(|e| EngineError(e.to_string()))?;
        serde_json::from_slice(response.as_bytes()).map_err(|e| EngineError(e.to_string()))
    }

    fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEventBody>, EngineError> {
        let response = minreq::get(format!("http://{address}/cache-events?after={after}"))
            .with_timeout(SHORT_CALL_SECS)
            .send()
            .map_err(|e| EngineError(e.to_string()))?;
        serde_json::from_slice(response.as_bytes()).map_err(|e| EngineError(e.to_string()))
    }

    fn order(&self, address: &str, order: &OrderBody) -> Result<(), EngineError> {
        let body = serde_json::to_string(order).map_err(|e| EngineError(e.to_string()))?;
        post(address, "/orders", body)
    }
}

/// How an attempt ended whose call failed: only a refused connection proves that nothing started.
pub(crate) fn end_of(error: &minreq::Error) -> AttemptEnd {
    match error {
        minreq::Error::IoError(e) if e.kind() == ErrorKind::ConnectionRefused => {
            AttemptEnd::NotStarted
        }
        _ => AttemptEnd::Broken,
    }
}

/// minreq gives a connection that closed without an answer this reason, with status 503.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Whether a response with this reason phrase is an answer at all. A lost answer must never pass for
/// a refusal: it would be said that the request was not run, and a call that must not be repeated
/// would be.
pub fn has_status_line(reason_phrase: &str) -> bool {
    reason_phrase != NO_STATUS_LINE
}

// Only the engine's own word proves that nothing started; a status alone may be anybody's.
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
        .with_timeout(SHORT_CALL_SECS)
        .with_body(body)
        .send()
        .map_err(|e| EngineError(e.to_string()))?;
    match response.status_code {
        200 | 204 => Ok(()),
        status => Err(EngineError(format!("status {status} on {path}"))),
    }
}

fn read_lines(
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
        let piece = match parsed {
            ChunkLine::Stream(stream) => GenerationEvent::Stream(stream),
            ChunkLine::Token { offset, text } => GenerationEvent::Token { offset, text },
            ChunkLine::End(total) => GenerationEvent::End(total),
        };
        let last = matches!(piece, GenerationEvent::End(_));
        if !receive(piece) || last {
            return AttemptEnd::Complete;
        }
    }
}
