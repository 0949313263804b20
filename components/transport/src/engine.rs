//! Client of a model engine.
//!
//! The rest of croftpond uses only the [`Engine`] trait; the protocol of another engine is supported
//! by another implementation of it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::answer::Answer;
use crate::blocking::{block_on, call, send, CallError, CallLimits, WholeAnswer};
use crate::connection::{FullBody, UNACKNOWLEDGED_TIMEOUT};
use crate::wire::{CacheEventBody, ChunkLine, GenerateBody, LoadBody, OrderBody, Refusal};

/// Longest line of an engine's answer, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Timeout of all calls but generations, and of reading a refusal.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Limits of all calls but generations.
const SHORT_CALL: CallLimits = CallLimits {
    timeout: Some(SHORT_CALL_TIMEOUT),
    max_body_bytes: 4 << 20,
};

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
        let Some(request) = generate_request(request, traceparent) else {
            return AttemptEnd::NotStarted;
        };
        let generated = block_on(async {
            // Dropping the connection would cut the answer off.
            let (_connection, answer) = send(address, request, UNACKNOWLEDGED_TIMEOUT).await?;
            Ok(match answer.head.status {
                StatusCode::OK => read_events(answer.body, receive).await,
                _ => end_of_refusal(answer).await,
            })
        });
        generated.unwrap_or_else(AttemptEnd::from)
    }

    fn cancel(&self, address: &str, stream: &str) -> Result<(), EngineError> {
        let body = serde_json::json!({ "stream": stream }).to_string();
        post(address, "/cancel", body)
    }

    fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let answer = get(address, "/load")?;
        serde_json::from_slice(&answer.body).map_err(|e| EngineError(e.to_string()))
    }

    fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEventBody>, EngineError> {
        let answer = get(address, &format!("/cache-events?after={after}"))?;
        serde_json::from_slice(&answer.body).map_err(|e| EngineError(e.to_string()))
    }

    fn order(&self, address: &str, order: &OrderBody) -> Result<(), EngineError> {
        let body = serde_json::to_string(order).map_err(|e| EngineError(e.to_string()))?;
        post(address, "/orders", body)
    }
}

impl From<CallError> for AttemptEnd {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(_) => AttemptEnd::NotStarted,
            CallError::Failed(_) => AttemptEnd::Broken,
        }
    }
}

fn generate_request(
    body: &GenerateRequest,
    traceparent: Option<&str>,
) -> Option<Request<FullBody>> {
    let mut request = json_request("/generate", serde_json::to_string(body).ok()?);
    if let Some(traceparent) = traceparent {
        let value = HeaderValue::from_str(traceparent).ok()?;
        request.headers_mut().insert("traceparent", value);
    }
    Some(request)
}

fn json_request(path: &'static str, body: String) -> Request<FullBody> {
    let mut request = Request::new(FullBody::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    request
}

// Only the engine's refusal body proves that nothing started: a status alone may come from another
// server.
async fn end_of_refusal(answer: Answer) -> AttemptEnd {
    let limited = Limited::new(answer.body, MAX_LINE_BYTES).collect();
    let Ok(Ok(read)) = tokio::time::timeout(SHORT_CALL_TIMEOUT, limited).await else {
        return AttemptEnd::Broken;
    };
    match serde_json::from_slice::<Refusal>(&read.to_bytes()) {
        Ok(Refusal { started: false }) => AttemptEnd::NotStarted,
        _ => AttemptEnd::Broken,
    }
}

fn get(address: &str, path: &str) -> Result<WholeAnswer, EngineError> {
    let mut request = Request::new(FullBody::default());
    *request.uri_mut() = Uri::try_from(path).map_err(|e| EngineError(e.to_string()))?;
    call(address, request, SHORT_CALL).map_err(|e| EngineError(e.to_string()))
}

fn post(address: &str, path: &'static str, body: String) -> Result<(), EngineError> {
    let answer = call(address, json_request(path, body), SHORT_CALL);
    let answer = answer.map_err(|e| EngineError(e.to_string()))?;
    match answer.status.as_u16() {
        200 | 204 => Ok(()),
        status => Err(EngineError(format!("status {status} on {path}"))),
    }
}

async fn read_events(
    body: Incoming,
    receive: &mut dyn FnMut(GenerationEvent) -> bool,
) -> AttemptEnd {
    let mut lines = Lines {
        body,
        buffer: BytesMut::new(),
    };
    while let Some(line) = lines.next().await {
        let Ok(parsed) = serde_json::from_slice::<ChunkLine>(&line) else {
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
    AttemptEnd::Broken
}

// The lines of a body.
struct Lines {
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    // Waits for the next whole line; `None` if the body ends or a line is too long.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                return Some(self.buffer.split_to(end + 1).freeze());
            }
            if self.buffer.len() >= MAX_LINE_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            self.buffer.extend_from_slice(&frame.into_data().ok()?);
        }
    }
}
