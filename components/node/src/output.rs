//! Where the parts of an answer go: a stream that opens with its first event, or one whole body.

use errors::Problem;
use tiny_http::Request;

use crate::reply::{send_json, send_problem, Completion, EventStream};

/// The caller's side of a chat completion.
pub enum Output {
    /// Nothing was sent: an error can still be a plain answer.
    Waiting(Request),
    /// Events are being sent.
    Streaming(EventStream),
    /// The whole answer is being collected.
    Collecting(Request, String),
    /// The caller is gone, or was answered.
    Gone,
}

impl Output {
    /// Sends events; `false` says that the caller is gone.
    pub fn send(&mut self, id: &str, events: &str) -> bool {
        self.open(id)
            .is_some_and(|stream| stream.send(events).is_ok())
    }

    /// Shows that the stream is alive; `false` says that the caller is gone.
    pub fn heartbeat(&mut self, id: &str) -> bool {
        self.open(id)
            .is_some_and(|stream| stream.heartbeat().is_ok())
    }

    /// Adds to a whole answer.
    pub fn collect(&mut self, text: &str) -> bool {
        *self = match std::mem::replace(self, Output::Gone) {
            Output::Waiting(request) => Output::Collecting(request, text.to_string()),
            Output::Collecting(request, whole) => Output::Collecting(request, whole + text),
            other => other,
        };
        true
    }

    /// Ends a whole answer.
    pub fn finish(mut self, completion: &Completion, total: u64, stream: bool) {
        if stream {
            self.send(&completion.id, &completion.end_event(total));
            return;
        }
        match self {
            Output::Collecting(request, whole) => {
                send_json(request, 200, completion.whole(&whole, total));
            }
            Output::Waiting(request) => send_json(request, 200, completion.whole("", total)),
            Output::Streaming(_) | Output::Gone => {}
        }
    }

    /// Ends with an error.
    pub fn fail(self, id: &str, problem: Problem) {
        let problem = problem.with_request_id(id);
        match self {
            Output::Waiting(request) | Output::Collecting(request, _) => {
                send_problem(request, &problem);
            }
            Output::Streaming(mut stream) => {
                let _ = stream.send(&format!("data: {}\n\n", problem.to_json()));
            }
            Output::Gone => {}
        }
    }

    fn open(&mut self, id: &str) -> Option<&mut EventStream> {
        if let Output::Waiting(_) = self {
            let Output::Waiting(request) = std::mem::replace(self, Output::Gone) else {
                return None;
            };
            *self = EventStream::open(request, id).map_or(Output::Gone, Output::Streaming);
        }
        match self {
            Output::Streaming(stream) => Some(stream),
            _ => None,
        }
    }
}
