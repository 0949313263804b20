//! Callers and endpoints that read slowly, behind windows of a few KB.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::endpoint::Exchange;
use super::{parse_answer, Answer, MAX_WAIT};

/// Size of the buffers of a slow side, in bytes; the kernel doubles it.
const SOCKET_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that a stand-in writes at once; it makes no more of an answer at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Opens a connection with a small window and sends bytes.
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

/// Reads an answer in small pieces with a pause after each, until the connection closes.
pub fn read_slowly(stream: &mut TcpStream, chunk: usize, pause: Duration) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; chunk];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..read]);
        std::thread::sleep(pause);
    }
    parse_answer(&bytes)
}

impl Exchange {
    /// Gives this end small buffers.
    pub fn shrink_send_buffer(&self) {
        let socket = SockRef::from(self.stream());
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    }

    /// Writes a stream of events of so many bytes each, and cuts it off once nothing is read for `timeout`. Says whether
    /// all was written.
    pub fn stream_with_timeout(&mut self, events: u64, bytes: usize, timeout: Duration) -> bool {
        self.shrink_send_buffer();
        self.begin_stream();
        let filling = "x".repeat(bytes);
        (1..=events).all(|n| {
            let event = format!("id: {n}\ndata: {filling}\n\n");
            self.write_with_timeout(&format!("{:x}\r\n{event}\r\n", event.len()), timeout)
        }) && self.write_with_timeout("0\r\n\r\n", timeout)
    }

    /// Answers with a body, and cuts it off once nothing is read for `timeout`. Says whether all was written.
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

    /// Reads the body of its request in pieces of so many bytes with a pause after each. Returns how many came.
    pub fn read_body_slowly(&mut self, chunk: usize, pause: Duration) -> usize {
        let length = self.header("content-length").and_then(|n| n.parse().ok());
        let length: usize = length.unwrap_or(0);
        let mut buffer = vec![0; chunk];
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
