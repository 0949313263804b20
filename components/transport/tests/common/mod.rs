//! A server that writes the same raw bytes as the answer to each request, once or without end.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A running server. Dropping it ends it.
pub struct RawServer {
    address: SocketAddr,
    answer: Arc<Mutex<Vec<u8>>>,
    has_ended: Arc<AtomicBool>,
}

impl RawServer {
    /// Serves until it is dropped; each connection closes after its answer.
    pub fn start(answer: &[u8]) -> Self {
        Self::start_with(answer, usize::MAX)
    }

    /// Writes `start` and then `repeated` without end, until the caller closes the connection.
    pub fn start_without_end(start: &str, repeated: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to listen");
        let address = listener.local_addr().expect("the listener has no address");
        let block = repeated.repeat((16 << 10) / repeated.len() + 1);
        let start = start.to_string();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("no connection");
            if read_request(&mut stream).is_some() && stream.write_all(start.as_bytes()).is_ok() {
                while stream.write_all(block.as_bytes()).is_ok() {}
            }
        });
        RawServer {
            address,
            answer: Arc::default(),
            has_ended: Arc::default(),
        }
    }

    /// Answers one request and ends: further connections are refused.
    pub fn start_and_end(answer: &[u8]) -> Self {
        Self::start_with(answer, 1)
    }

    fn start_with(answer: &[u8], connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to listen");
        let address = listener.local_addr().expect("the listener has no address");
        let has_ended = Arc::new(AtomicBool::new(false));
        let answer = Arc::new(Mutex::new(answer.to_vec()));
        let (shared, ended) = (Arc::clone(&answer), Arc::clone(&has_ended));
        let current = move || shared.lock().unwrap().clone();
        thread::spawn(move || {
            let mut last = None;
            for stream in listener.incoming().flatten().take(connections) {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                last = Some(stream);
                if connections > 1 {
                    serve(last.take(), &current());
                }
            }
            drop(listener);
            serve(last, &current());
        });
        RawServer {
            address,
            answer,
            has_ended,
        }
    }

    /// Writes other bytes as the answer to each further request.
    pub fn set_answer(&self, answer: &[u8]) {
        *self.answer.lock().unwrap() = answer.to_vec();
    }

    /// Address as `IP:PORT`.
    pub fn address(&self) -> String {
        self.address.to_string()
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(stream: Option<TcpStream>, answer: &[u8]) {
    let Some(mut stream) = stream else {
        return;
    };
    if read_request(&mut stream).is_none() {
        return;
    }
    let _ = stream.write_all(answer);
    let _ = stream.shutdown(Shutdown::Write);
    // Closing with unread bytes would reset the connection.
    let _ = stream.read_to_end(&mut Vec::new());
}

fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?.to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.split('\r').next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()
}
