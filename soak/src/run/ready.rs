//! Who takes new connections, as the platform finds out.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::standins::client::Shared;

/// Pause between questions whether a gateway is ready; the platform asks each second.
const READY_ASK: Duration = Duration::from_millis(500);
/// Longest answer to such a question.
const READY_WAIT: Duration = Duration::from_millis(400);
/// Questions without a good answer after which a gateway gets no new connections.
const READY_MISSES: u32 = 2;

/// Asks a gateway again and again whether it is ready, as the platform does.
pub(super) fn ask_ready(shared: &Shared, index: usize, address: SocketAddr) {
    let mut misses = READY_MISSES;
    while !shared.over.load(Ordering::Relaxed) {
        match is_ready(address) {
            Some(true) => misses = 0,
            _ => misses += 1,
        }
        let mut ready = shared.ready.lock().unwrap_or_else(PoisonError::into_inner);
        ready[index] = misses < READY_MISSES;
        drop(ready);
        thread::sleep(READY_ASK);
    }
}

fn is_ready(address: SocketAddr) -> Option<bool> {
    let stream = TcpStream::connect_timeout(&address, READY_WAIT).ok()?;
    stream.set_read_timeout(Some(READY_WAIT)).ok()?;
    let mut connection = Connection::new(stream);
    let request = b"GET /v1/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    connection.send(request).ok()?;
    Some(connection.head().ok()?.word(1) == "200")
}
