//! The head of an answer, which is checked before anything of its body is read.

use std::fmt;

use http::{header, response, HeaderMap, Response, StatusCode, Version};
use http_body::Body;
use hyper::body::Incoming;

/// An answer with a valid head, whose body is not read yet.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// Body.
    pub body: Incoming,
    /// What marks the end of the body.
    pub body_end: BodyEnd,
}

/// What marks the end of an answer's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// `Content-Length`, or an answer that can't have a body.
    Length,
    /// The last chunk.
    LastChunk,
    /// The close of the connection, which also ends an answer that was cut off.
    Close,
}

/// Why the head of an answer is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The status is not that of a final answer to a request.
    Status(StatusCode),
    /// A transfer coding other than `chunked` was applied, or one in an HTTP/1.0 answer.
    TransferCoding,
    /// `Content-Length` stands beside `Transfer-Encoding`.
    LengthBesideCoding,
    /// There are several `Content-Length` fields.
    SeveralLengths,
    /// The connection persists, and nothing says where the body ends.
    NoBodyEnd,
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerFault::Status(status) => write!(f, "{} is no final status", status.as_u16()),
            AnswerFault::TransferCoding => write!(f, "its transfer coding is not supported"),
            AnswerFault::LengthBesideCoding => {
                write!(f, "it has both a length and a transfer coding")
            }
            AnswerFault::SeveralLengths => write!(f, "it has several lengths"),
            AnswerFault::NoBodyEnd => write!(f, "nothing says where its body ends"),
        }
    }
}

impl std::error::Error for AnswerFault {}

impl Answer {
    /// Checks the head of a response.
    pub(crate) fn from_response(response: Response<Incoming>) -> Result<Self, AnswerFault> {
        let (head, body) = response.into_parts();
        if !(200..600).contains(&head.status.as_u16()) {
            return Err(AnswerFault::Status(head.status));
        }
        let has_length = body.size_hint().exact().is_some();
        let body_end = BodyEnd::of(head.version, &head.headers, has_length)?;
        Ok(Answer {
            head,
            body,
            body_end,
        })
    }
}

impl BodyEnd {
    fn of(version: Version, headers: &HeaderMap, has_length: bool) -> Result<Self, AnswerFault> {
        let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
        if lengths > 1 {
            return Err(AnswerFault::SeveralLengths);
        }
        if headers.contains_key(header::TRANSFER_ENCODING) {
            if !is_chunked(version, headers) {
                return Err(AnswerFault::TransferCoding);
            }
            return match lengths {
                // The status or the method allows no body, so no chunks are read.
                0 if has_length => Ok(BodyEnd::Length),
                0 => Ok(BodyEnd::LastChunk),
                _ => Err(AnswerFault::LengthBesideCoding),
            };
        }
        match has_length {
            true => Ok(BodyEnd::Length),
            // Section 9.3: a server that closes the connection says so, or speaks HTTP/1.0.
            false if closes_connection(version, headers) => Ok(BodyEnd::Close),
            false => Err(AnswerFault::NoBodyEnd),
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

// Whether `chunked` is the only transfer coding. No other one is offered in requests.
fn is_chunked(version: Version, headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let coding = codings.next().filter(|_| codings.next().is_none());
    let is_chunked =
        coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    version >= Version::HTTP_11 && is_chunked
}

fn closes_connection(version: Version, headers: &HeaderMap) -> bool {
    match version >= Version::HTTP_11 {
        true => has_connection_option(headers, "close"),
        false => !has_connection_option(headers, "keep-alive"),
    }
}

fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let fields = headers.get_all(header::CONNECTION).iter();
    fields
        .filter_map(|field| field.to_str().ok())
        .flat_map(|field| field.split(','))
        .any(|named| named.trim().eq_ignore_ascii_case(option))
}

/// Whether a whole body begins with a chunk (RFC 9112, section 7.1). In a body that ends with its connection this shows that
/// the announcement of the chunks was lost.
pub fn begins_with_chunk(body: &[u8]) -> bool {
    let after_data = split_chunk_length(body).and_then(|(length, rest)| rest.get(length..));
    after_data.is_some_and(|rest| rest.starts_with(b"\r\n"))
}

/// Whether the first event of a stream begins with the length of a chunk. No event has such a line.
pub fn begins_with_chunk_length(event: &[u8]) -> bool {
    split_chunk_length(event).is_some()
}

fn split_chunk_length(body: &[u8]) -> Option<(usize, &[u8])> {
    let line_end = body.windows(2).position(|bytes| bytes == b"\r\n")?;
    let length = parse_chunk_length(&body[..line_end])?;
    Some((length, &body[line_end + 2..]))
}

// Parses a line "LENGTH" or "LENGTH;EXTENSION".
fn parse_chunk_length(line: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim_end();
    // `from_str_radix` accepts a sign.
    let is_hex = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| usize::from_str_radix(digits, 16).ok())?
}
