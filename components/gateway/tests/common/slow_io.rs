//! Callers and endpoints that read slowly, behind windows of a few KB.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::endpoint::Exchange;
use super::{parse_answer, Answer, PATIENCE};

/// Size of the buffers of a slow side, in bytes; the kernel doubles it.
const WINDOW: usize = 4 << 10;

/// Bytes that a stand-in writes at once; it makes no more of an answer at a time.
const PIECE: usize = 16 << 10;

/// Opens a connection with a small window and sends bytes.
pub fn open_narrow(address: SocketAddr, request: &[u8]) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(WINDOW).unwrap();
    socket.set_send_buffer_size(WINDOW).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(request).unwrap();
    stream
}

/// Reads an answer in small pieces with a pause after each, until the connection closes.
pub fn read_slowly(stream: &mut TcpStream, piece: usize, pause: Duration) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; piece];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..read]);
        std::thread::sleep(pause);
    }
    parse_answer(&bytes)
}

impl Exchange {
    /// Gives this end small buffers.
    pub fn narrow(&self) {
        let socket = SockRef::from(self.stream());
        socket.set_send_buffer_size(WINDOW).unwrap();
    }

    /// Writes a stream of events of so many bytes each, and cuts it off once nothing is read for `patience`. Says whether
    /// all was written.
    pub fn stream_within(&mut self, events: u64, bytes: usize, patience: Duration) -> bool {
        self.narrow();
        self.begin_stream();
        let filling = "x".repeat(bytes);
        (1..=events).all(|n| {
            let event = format!("id: {n}\ndata: {filling}\n\n");
            self.write_within(&format!("{:x}\r\n{event}\r\n", event.len()), patience)
        }) && self.write_within("0\r\n\r\n", patience)
    }

    /// Answers with a body, and cuts it off once nothing is read for `patience`. Says whether all was written.
    pub fn answer_within(&mut self, bytes: usize, patience: Duration) -> bool {
        self.narrow();
        let id = self.field("x-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: {bytes}\r\n\r\n"
        );
        let piece = "x".repeat(PIECE);
        self.write_within(&head, patience)
            && (0..bytes).step_by(PIECE).all(|at| {
                let length = PIECE.min(bytes - at);
                self.write_within(&piece[..length], patience)
            })
    }

    /// Reads the body of its request in pieces of so many bytes with a pause after each. Returns how many came.
    pub fn read_body_slowly(&mut self, piece: usize, pause: Duration) -> usize {
        let length = self.field("content-length").and_then(|n| n.parse().ok());
        let length: usize = length.unwrap_or(0);
        let mut buffer = vec![0; piece];
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

    fn write_within(&mut self, text: &str, patience: Duration) -> bool {
        self.stream().set_write_timeout(Some(patience)).unwrap();
        let written = self.stream().write_all(text.as_bytes()).is_ok();
        if !written {
            self.close();
        }
        written
    }
}
