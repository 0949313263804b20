//! The HTTP listener, with socket timeouts and a limit on the size of request bodies.
//!
//! tiny_http sets no read timeout. The timeouts are set on the listening socket instead: accepted
//! sockets inherit them, so that reads from a stalled sender time out.

use std::fmt;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::Request;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Read and write timeouts of the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub struct SocketTimeouts {
    /// Longest wait for a sender that sends nothing.
    pub read_timeout: Duration,
    /// Longest wait for a receiver that does not read.
    pub write_timeout: Duration,
}

/// Binds a listening socket whose connections inherit `timeouts`; port 0 picks a free port.
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
    /// It exceeds the size limit.
    TooLarge,
    /// The read timed out or failed, or the connection ended before the whole body arrived.
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

/// Reads a request body of at most `max_bytes` bytes.
pub fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, BodyError> {
    if request
        .body_length()
        .is_some_and(|length| length > max_bytes)
    {
        return Err(BodyError::TooLarge);
    }
    let expected = request.body_length();
    let mut body = Vec::new();
    let mut limited = request.as_reader().take(max_bytes as u64 + 1);
    limited
        .read_to_end(&mut body)
        .map_err(|_| BodyError::Stalled)?;
    if body.len() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    if expected.is_some_and(|length| body.len() < length) {
        return Err(BodyError::Stalled);
    }
    Ok(body)
}
