//! Answers to callers: errors, whole completions, and event streams.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use errors::Problem;
use serde_json::json;
use tiny_http::{Header, Request, Response};

/// Sends an error in the documented shape.
pub fn send_problem(request: Request, problem: &Problem) {
    let mut response = json_response(problem.kind.status(), problem.to_json());
    if let Some(ms) = problem.retry_after_ms {
        response.add_header(named("Retry-After", &ms.div_ceil(1000).max(1).to_string()));
    }
    // The body may be unread: the connection cannot be used again.
    response.add_header(named("Connection", "close"));
    let _ = request.respond(response);
}

/// Sends a JSON body.
pub fn send_json(request: Request, status: u16, body: String) {
    let _ = request.respond(json_response(status, body));
}

/// Sends a plain text body.
pub fn send_text(request: Request, status: u16, body: &str) {
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}

/// Sends a service's answer with its own headers.
pub fn send_reply(request: Request, id: &str, reply: transport::ServiceReply) {
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    for (name, value) in &reply.headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    response.add_header(named("X-Request-Id", id));
    let _ = request.respond(response);
}

fn json_response(status: u16, body: String) -> Response<io::Cursor<Vec<u8>>> {
    Response::from_string(body)
        .with_status_code(status)
        .with_header(named("Content-Type", "application/json"))
}

// Names and values given here are ASCII, which is all that a header needs.
fn named(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("an ASCII header")
}

/// What every event of a stream says of its completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Id of the request.
    pub id: String,
    /// Model.
    pub model: String,
}

impl Completion {
    /// One token as a server-sent event, with the token to resume after it.
    pub fn event(&self, offset: u64, text: &str, resume: &str) -> String {
        let body = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
            "croftpond": { "offset": offset, "resume": resume },
        });
        format!("data: {body}\n\n")
    }

    /// The end of a whole stream.
    pub fn end_event(&self, total: u64) -> String {
        let body = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "croftpond": { "total": total },
        });
        format!("data: {body}\n\ndata: [DONE]\n\n")
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, tokens: u64) -> String {
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": { "completion_tokens": tokens },
        });
        body.to_string()
    }
}

/// Hands every write on at once. The encoder writes a chunk, and at its end the terminator, in one
/// write each, but never flushes the buffer that tiny_http keeps below it.
struct Unbuffered(Box<dyn Write + Send + 'static>);

impl Write for Unbuffered {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A stream of server-sent events to a caller; dropping it ends the answer.
pub struct EventStream {
    encoder: Encoder<Unbuffered>,
}

impl EventStream {
    /// Sends the head of the answer.
    pub fn open(request: Request, id: &str) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\r\n"
        )?;
        writer.flush()?;
        let encoder = Encoder::with_flush_after_write(Unbuffered(writer));
        Ok(EventStream { encoder })
    }

    /// Sends events at once.
    pub fn send(&mut self, events: &str) -> io::Result<()> {
        self.encoder.write_all(events.as_bytes())
    }

    /// Shows that the stream is alive, and finds out whether the caller is.
    pub fn heartbeat(&mut self) -> io::Result<()> {
        self.send(": waiting\n\n")
    }
}
