//! Answers to callers: their bodies, and the gateway's own refusals.

use std::any::Any;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use errors::{Kind, Problem};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::buffers::HeldBytes;

/// Error of an answer that ends early. The connection is closed so that the answer doesn't look complete.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer ends early")
    }
}

impl std::error::Error for TruncatedAnswer {}

/// Body of an answer, with an optional value that is dropped after the last byte is written.
pub(crate) struct AnswerBody {
    content: Content,
    guard: Option<Rc<dyn Any>>,
}

enum Content {
    /// A complete body.
    Whole(Option<HeldBytes>),
    /// A body that is forwarded as it is received.
    Stream {
        body_parts: mpsc::UnboundedReceiver<BodyPart>,
        /// Whether the stream was interrupted. The parts before are sent to the caller first.
        is_interrupted: bool,
    },
}

/// A part of a forwarded answer.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// Bytes of the body.
    Data(HeldBytes),
    /// The complete end. A channel that closes without it was interrupted.
    End,
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn whole(bytes: HeldBytes) -> Self {
        AnswerBody {
            content: Content::Whole(Some(bytes)),
            guard: None,
        }
    }

    /// Creates a body that is forwarded as it is received.
    pub fn stream(body_parts: mpsc::UnboundedReceiver<BodyPart>) -> Self {
        AnswerBody {
            content: Content::Stream {
                body_parts,
                is_interrupted: false,
            },
            guard: None,
        }
    }

    /// Sets the value that is dropped after the last byte of the answer is written.
    pub fn set_guard(&mut self, value: impl Any) {
        self.guard = Some(Rc::new(value));
    }
}

impl Body for AnswerBody {
    type Data = HeldBytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, TruncatedAnswer>>> {
        let body = self.get_mut();
        // The server polls for bytes long before it can write them, so the bytes hold the guard too.
        let with_guard = |mut bytes: HeldBytes| {
            bytes.set_guard(body.guard.clone());
            Ok(Frame::data(bytes))
        };
        match &mut body.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(with_guard)),
            Content::Stream {
                is_interrupted: true,
                ..
            } => Poll::Ready(Some(Err(TruncatedAnswer))),
            Content::Stream {
                body_parts,
                is_interrupted,
            } => match body_parts.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyPart::Data(bytes))) => Poll::Ready(Some(with_guard(bytes))),
                Poll::Ready(Some(BodyPart::End)) => Poll::Ready(None),
                Poll::Ready(None) => {
                    // The server flushes while the body is pending, and drops unflushed bytes on an error.
                    *is_interrupted = true;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream { .. } => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// A final answer made by the gateway itself.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Problem in the body.
    pub problem: Problem,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Whether the connection closes after the answer.
    pub closes_connection: bool,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Refusal {
            problem: Problem::not_run(kind, message),
            retry_after: None,
            closes_connection: false,
        }
    }

    /// A refusal of a request that may have run.
    pub fn maybe_run(kind: Kind, message: impl Into<String>) -> Self {
        Refusal {
            problem: Problem::maybe_run(kind, message),
            retry_after: None,
            closes_connection: false,
        }
    }

    /// Adds a retry delay.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.problem.retry_after_ms = Some(delay.as_millis() as u64);
        self.retry_after = Some(delay);
        self
    }

    /// Closes the connection after the answer.
    pub fn closing_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.problem.kind.status()
    }

    /// Converts the refusal to the answer of the request `id`.
    pub fn into_answer(self, id: &str) -> Answer {
        let status = self.status();
        let body = self.problem.with_request_id(id).to_json();
        let mut answer = Response::new(AnswerBody::whole(HeldBytes::uncounted(body.into())));
        *answer.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self.closes_connection {
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}
