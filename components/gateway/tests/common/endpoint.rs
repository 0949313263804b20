//! A fake endpoint whose answers are written byte by byte by the test.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 4096;

/// A received request and the connection for its answer.
pub struct Exchange {
    pub head: String,
    stream: TcpStream,
    is_abandoned: bool,
}

impl Exchange {
    /// Value of a request header.
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines();
        lines.find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_string())
        })
    }

    /// Writes raw bytes, ignoring errors.
    pub fn write(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Sends a signed answer to the request.
    pub fn answer(&mut self, status: u16, body: &str) {
        let id = self.header("x-id").unwrap_or_default();
        self.answer_with_id(&id, status, body);
    }

    /// Sends an answer that names `id` as its request.
    pub fn answer_with_id(&mut self, id: &str, status: u16, body: &str) {
        self.write(&format!(
            "HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Sends a successful answer with the header that says that the endpoint is leaving.
    pub fn answer_leaving(&mut self) {
        let id = self.header("x-id").unwrap_or_default();
        self.write(&format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\nx"
        ));
    }

    /// Sends a successful answer that names a rate limit, in requests a second of all gateways together.
    pub fn answer_with_limit(&mut self, limit: &str) {
        let id = self.header("x-id").unwrap_or_default();
        self.write(&format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-signature: s\r\nx-limit: {limit}\r\ncontent-length: 1\r\n\r\nx"
        ));
    }

    /// Sends a successful answer that reports a slowdown in percent, where 100 is the normal speed.
    pub fn answer_with_slowdown(&mut self, slowdown: u32) {
        let id = self.header("x-id").unwrap_or_default();
        self.write(&format!(
            "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-signature: s\r\nx-load: 0\r\nx-slowdown: {slowdown}\r\ncontent-length: 1\r\n\r\nx"
        ));
    }

    /// Refuses the request, and says that it was not run.
    pub fn decline(&mut self) {
        self.decline_with_header("");
    }

    /// Refuses the request like [`Exchange::decline`], and asks for a pause.
    pub fn decline_with_pause(&mut self, pause: Duration) {
        self.decline_with_header(&format!("x-pause-ms: {}\r\n", pause.as_millis()));
    }

    fn decline_with_header(&mut self, header: &str) {
        let id = self.header("x-id").unwrap_or_default();
        self.write(&format!(
            "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\n{header}content-length: 0\r\n\r\n"
        ));
    }

    /// Begins a stream.
    pub fn begin_stream(&mut self) {
        self.begin_stream_with_header("");
    }

    /// Begins a stream with the header that says that the endpoint is leaving.
    pub fn begin_leaving_stream(&mut self) {
        self.begin_stream_with_header("x-leaving: 1\r\n");
    }

    fn begin_stream_with_header(&mut self, header: &str) {
        let id = self.header("x-id").unwrap_or_default();
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\n\
             {header}transfer-encoding: chunked\r\n\r\n"
        ));
    }

    /// Sends the event with this id.
    pub fn event(&mut self, number: u64) {
        let event = format!("id: {number}\ndata: e{number}\n\n");
        self.chunk(&event);
    }

    /// Sends one chunk.
    pub fn chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Sends the last chunk, which marks the stream as complete.
    pub fn end_stream(&mut self) {
        self.write("0\r\n\r\n");
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Drops the connection, which closes it as its socket options say.
    pub fn abandon(&mut self) {
        self.is_abandoned = true;
    }

    /// Closes the connection in both directions.
    pub fn close(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Waits until the gateway closes the connection.
    pub fn wait_closed(&mut self) {
        let mut byte = [0];
        while matches!(self.stream.read(&mut byte), Ok(1)) {}
    }
}

/// A running fake endpoint that records the heads of its requests.
#[derive(Clone)]
pub struct FakeEndpoint {
    pub address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
}

impl FakeEndpoint {
    /// Serves each request with `serve`, which gets the index of the request, counted from 0 over all connections.
    pub fn start(serve: impl Fn(usize, &mut Exchange) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // The standard library's queue of 128 overflows when a test opens hundreds of connections at once.
        SockRef::from(&listener).listen(LISTEN_BACKLOG).unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (seen, serve) = (Arc::clone(&heads), Arc::new(serve));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, serve) = (Arc::clone(&seen), Arc::clone(&serve));
                thread::spawn(move || serve_connection(stream, &seen, &*serve));
            }
        });
        FakeEndpoint { address, heads }
    }

    /// Heads of all requests received so far.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }
}

fn serve_connection(
    stream: TcpStream,
    seen: &Mutex<Vec<String>>,
    serve: &dyn Fn(usize, &mut Exchange),
) {
    let _ = stream.set_nodelay(true);
    let mut stream = stream;
    while let Some(head) = read_head(&mut stream) {
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.push(head.clone());
            seen.len() - 1
        };
        let Ok(writing) = stream.try_clone() else {
            return;
        };
        let mut exchange = Exchange {
            head,
            stream: writing,
            is_abandoned: false,
        };
        serve(number, &mut exchange);
        if exchange.is_abandoned {
            return;
        }
    }
}

// The requests of these tests have no bodies.
pub(super) fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(bytes).ok()
}
