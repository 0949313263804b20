//! The HTTP listener and its bounds in time and memory.
//!
//! tiny_http sets no read timeout. The timeouts are put on the listening socket instead: sockets
//! accepted from it inherit them, so a sender that pauses is cut off.

use std::fmt;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::Request;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct SocketTimeouts {
    /// Longest pause of a sender.
    pub read_timeout: Duration,
    /// Longest wait for a receiver that does not read.
    pub write_timeout: Duration,
}

/// Binds a listening socket; port 0 picks a free one.
pub fn bind_http(
    address: SocketAddr,
    timeouts: SocketTimeouts,
) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(timeouts.read_timeout))?;
    socket.set_write_timeout(Some(timeouts.write_timeout))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// The sender paused too long or broke off.
    Stalled,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLarge => "the body is too large",
            BodyError::Stalled => "the sender paused too long",
        })
    }
}

impl std::error::Error for BodyError {}

/// Reads a body of at most `most` bytes.
pub fn read_body(request: &mut Request, most: usize) -> Result<Vec<u8>, BodyError> {
    if request.body_length().is_some_and(|length| length > most) {
        return Err(BodyError::TooLarge);
    }
    let expected = request.body_length();
    let mut body = Vec::new();
    let mut limited = request.as_reader().take(most as u64 + 1);
    limited
        .read_to_end(&mut body)
        .map_err(|_| BodyError::Stalled)?;
    if body.len() > most {
        return Err(BodyError::TooLarge);
    }
    if expected.is_some_and(|length| body.len() < length) {
        return Err(BodyError::Stalled);
    }
    Ok(body)
}
