//! How the end of an answer's body is marked.

use http::{header, response};
use http_body::Body;
use hyper::body::Incoming;

/// What marks the end of an answer's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// `Content-Length`, or an answer that can't have a body.
    Length,
    /// The last chunk.
    LastChunk,
    /// The close of the connection, which also ends an answer that was cut off.
    Close,
}

impl BodyEnd {
    /// Reads it from the head of an answer and its body.
    pub fn of(head: &response::Parts, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            return BodyEnd::Length;
        }
        match head.headers.contains_key(header::TRANSFER_ENCODING) {
            true => BodyEnd::LastChunk,
            false => BodyEnd::Close,
        }
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyEnd::Length => "length",
            BodyEnd::LastChunk => "last chunk",
            BodyEnd::Close => "close",
        }
    }
}
