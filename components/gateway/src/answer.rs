//! Answers to callers: bodies, and refusals of the gateway's own.

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

/// An answer that ends early; its connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer ends early")
    }
}

impl std::error::Error for TruncatedAnswer {}

/// The body of an answer. It may keep a value that is dropped when the last byte is written.
pub(crate) struct AnswerBody {
    content: Content,
    guard: Option<Rc<dyn Any>>,
}

enum Content {
    /// Known as a whole.
    Whole(Option<HeldBytes>),
    /// Passed on as it comes.
    Stream {
        pieces: mpsc::UnboundedReceiver<BodyPart>,
        /// It was cut off; what came before is to reach the caller first.
        cut: bool,
    },
}

/// A piece of an answer that is passed on.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// Bytes of the body.
    Data(HeldBytes),
    /// The whole end; a channel that closes without it was cut off.
    End,
}

impl AnswerBody {
    /// A body known as a whole.
    pub fn whole(bytes: HeldBytes) -> Self {
        AnswerBody {
            content: Content::Whole(Some(bytes)),
            guard: None,
        }
    }

    /// A body passed on as it comes.
    pub fn stream(pieces: mpsc::UnboundedReceiver<BodyPart>) -> Self {
        AnswerBody {
            content: Content::Stream { pieces, cut: false },
            guard: None,
        }
    }

    /// Keeps a value until the last byte of the answer is written.
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
        // The server takes bytes long before it can write them.
        let keeping = |mut bytes: HeldBytes| {
            bytes.set_guard(body.guard.clone());
            Ok(Frame::data(bytes))
        };
        match &mut body.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(keeping)),
            Content::Stream { cut: true, .. } => Poll::Ready(Some(Err(TruncatedAnswer))),
            Content::Stream { pieces, cut } => match pieces.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyPart::Data(bytes))) => Poll::Ready(Some(keeping(bytes))),
                Poll::Ready(Some(BodyPart::End)) => Poll::Ready(None),
                Poll::Ready(None) => {
                    // The server flushes while it waits, and drops what is unflushed on an error.
                    *cut = true;
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

/// A final answer of the gateway's own.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Shown to the caller.
    pub problem: Problem,
    /// When to come back.
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

    /// The end of a request that may have run.
    pub fn maybe_run(kind: Kind, message: impl Into<String>) -> Self {
        Refusal {
            problem: Problem::maybe_run(kind, message),
            retry_after: None,
            closes_connection: false,
        }
    }

    /// The same refusal with a time to come back.
    pub fn with_retry_after(mut self, pause: Duration) -> Self {
        self.problem.retry_after_ms = Some(pause.as_millis() as u64);
        self.retry_after = Some(pause);
        self
    }

    /// The same refusal, after which the connection closes.
    pub fn closing_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Its status.
    pub fn status(&self) -> u16 {
        self.problem.kind.status()
    }

    /// The answer, for a request id.
    pub fn into_answer(self, id: &str) -> Answer {
        let status = self.status();
        let body = self.problem.with_request(id).to_json();
        let mut answer = Response::new(AnswerBody::whole(HeldBytes::uncounted(body.into())));
        *answer.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let fields = answer.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(pause) = self.retry_after {
            let seconds = format!("{:.3}", pause.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                fields.insert(RETRY_AFTER, value);
            }
        }
        if self.closes_connection {
            fields.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}
