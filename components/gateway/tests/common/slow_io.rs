//! Callers and fake endpoints that read slowly, with socket buffers of a few KB.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::endpoint::Exchange;
use super::{parse_answer, Answer, MAX_WAIT};

/// Requested size of the socket buffers of a slow peer. The kernel doubles it.
const SOCKET_BUFFER_BYTES: usize = 4 << 10;

/// Largest part of a body that a fake endpoint generates and writes at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Opens a connection with small socket buffers and sends the request.
pub fn open_with_small_buffers(address: SocketAddr, request: &[u8]) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream.write_all(request).unwrap();
    stream
}

/// Reads an answer with a buffer of `buffer_bytes` and a pause after each read, until the connection closes.
pub fn read_slowly(stream: &mut TcpStream, buffer_bytes: usize, pause: Duration) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; buffer_bytes];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..read]);
        std::thread::sleep(pause);
    }
    parse_answer(&bytes)
}

impl Exchange {
    /// Sets a small send buffer on the connection.
    pub fn shrink_send_buffer(&self) {
        let socket = SockRef::from(self.stream());
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    }

    /// Writes a stream of events with `bytes` of data each, and closes the connection if a write makes no progress for
    /// `timeout`. Returns whether everything was written.
    pub fn stream_with_timeout(&mut self, events: u64, bytes: usize, timeout: Duration) -> bool {
        self.shrink_send_buffer();
        self.begin_stream();
        let data = "x".repeat(bytes);
        (1..=events).all(|n| {
            let event = format!("id: {n}\ndata: {data}\n\n");
            self.write_with_timeout(&format!("{:x}\r\n{event}\r\n", event.len()), timeout)
        }) && self.write_with_timeout("0\r\n\r\n", timeout)
    }

    /// Answers with a body of `bytes`, and closes the connection if a write makes no progress for `timeout`. Returns whether
    /// everything was written.
    pub fn answer_with_timeout(&mut self, bytes: usize, timeout: Duration) -> bool {
        self.shrink_send_buffer();
        let id = self.header("x-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: {bytes}\r\n\r\n"
        );
        let chunk = "x".repeat(CHUNK_BYTES);
        self.write_with_timeout(&head, timeout)
            && (0..bytes).step_by(CHUNK_BYTES).all(|at| {
                let length = CHUNK_BYTES.min(bytes - at);
                self.write_with_timeout(&chunk[..length], timeout)
            })
    }

    /// Reads the request body with a buffer of `buffer_bytes` and a pause after each read. Returns the bytes read.
    pub fn read_body_slowly(&mut self, buffer_bytes: usize, pause: Duration) -> usize {
        let length = self.header("content-length").and_then(|n| n.parse().ok());
        let length: usize = length.unwrap_or(0);
        let mut buffer = vec![0; buffer_bytes];
        let mut read = 0;
        while read < length {
            match self.stream().read(&mut buffer) {
                Ok(more @ 1..) => read += more,
                _ => break,
            }
            std::thread::sleep(pause);
        }
        read
    }

    fn write_with_timeout(&mut self, text: &str, timeout: Duration) -> bool {
        self.stream().set_write_timeout(Some(timeout)).unwrap();
        let written = self.stream().write_all(text.as_bytes()).is_ok();
        if !written {
            self.close();
        }
        written
    }
}
