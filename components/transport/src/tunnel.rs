//! Tunnels: TCP connections that another gateway opens, by HTTP's CONNECT method (RFC 9110, section 9.3.6).

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

use crate::connection::set_dead_peer_detection;

const COUNTED_AT: http::HeaderName = http::HeaderName::from_static("counted-at");
const RELAY: &str = "relay";

/// Size of the buffer for the bytes that pass in one direction.
pub const TUNNEL_BUFFER_BYTES: usize = 16 << 10;

/// Why there is no tunnel.
#[derive(Debug)]
pub enum TunnelError {
    /// The relay could not be reached, or broke off.
    Relay(io::Error),
    /// The relay opened no connection and answered with this status.
    Refused(StatusCode),
}

impl fmt::Display for TunnelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TunnelError::Relay(error) => write!(f, "relay cannot be used: {error}"),
            TunnelError::Refused(status) => write!(f, "relay opened no connection: {status}"),
        }
    }
}

impl std::error::Error for TunnelError {}

/// Which gateway's part of an endpoint's connections a tunnel counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedAt {
    /// The gateway that asks for it.
    Asker,
    /// The relay, which lends a connection.
    Relay,
}

impl CountedAt {
    /// Reads it from the head of a request for a tunnel. Earlier builds send and know no such header.
    pub fn of(headers: &http::HeaderMap) -> Self {
        match headers.get(COUNTED_AT).is_some_and(|at| at == RELAY) {
            true => CountedAt::Relay,
            false => CountedAt::Asker,
        }
    }
}

/// Connects to `relay` from `own`, by which the relay knows this gateway, and asks it to connect to `address`. Returns a
/// stream whose other end is at `address`. Must be called inside a `LocalSet`; `timeout` limits the connect to the relay.
pub async fn open_tunnel(
    own: IpAddr,
    relay: SocketAddr,
    address: SocketAddr,
    counted_at: CountedAt,
    timeout: Duration,
) -> Result<TcpStream, TunnelError> {
    let connected = tokio::time::timeout(timeout, connect_from(own, relay)).await;
    let connected = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut));
    let stream = connected
        .and_then(|connected| connected)
        .map_err(TunnelError::Relay)?;
    set_dead_peer_detection(&stream);
    let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(broken)?;
    tokio::task::spawn_local(connection.with_upgrades());
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.method_mut() = Method::CONNECT;
    let authority = address.to_string();
    *request.uri_mut() = authority.parse().map_err(broken)?;
    let host = authority.parse().map_err(broken)?;
    request.headers_mut().insert(http::header::HOST, host);
    if counted_at == CountedAt::Relay {
        let value = http::HeaderValue::from_static(RELAY);
        request.headers_mut().insert(COUNTED_AT, value);
    }
    let answer = sender.send_request(request).await.map_err(broken)?;
    if !answer.status().is_success() {
        return Err(TunnelError::Refused(answer.status()));
    }
    let upgraded = hyper::upgrade::on(answer).await.map_err(broken)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_| broken("the stream has another type"))?;
    // Endpoints send nothing before they have received a request.
    match parts.read_buf.is_empty() {
        true => Ok(parts.io.into_inner()),
        false => Err(broken("bytes before the first request")),
    }
}

async fn connect_from(own: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if !own.is_unspecified() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(to).await
}

fn broken(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> TunnelError {
    TunnelError::Relay(io::Error::other(error))
}

/// Numbers of bytes that passed a tunnel, counted while it is open.
#[derive(Clone, Debug, Default)]
pub struct TunnelBytes {
    /// From the gateway to the endpoint.
    pub sent: Rc<Cell<u64>>,
    /// From the endpoint to the gateway.
    pub received: Rc<Cell<u64>>,
}

// A stream that counts the bytes read from it.
struct CountedStream {
    stream: TcpStream,
    count: Rc<Cell<u64>>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.count.set(self.count.get() + read as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Passes bytes between a gateway and an endpoint until both have finished, or either connection fails, and counts them.
/// `received` was read from the gateway before.
///
/// A failed connection resets the other one: an answer that was cut off must not look complete. So does a call that is
/// dropped.
pub async fn pass_bytes(
    received: Bytes,
    gateway: TcpStream,
    endpoint: TcpStream,
    passed: &TunnelBytes,
) -> io::Result<()> {
    for stream in [&gateway, &endpoint] {
        set_dead_peer_detection(stream);
        SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    }
    let mut gateway = CountedStream {
        stream: gateway,
        count: Rc::clone(&passed.sent),
    };
    let mut endpoint = CountedStream {
        stream: endpoint,
        count: Rc::clone(&passed.received),
    };
    endpoint.write_all(&received).await?;
    passed.sent.set(received.len() as u64);
    tokio::io::copy_bidirectional_with_sizes(
        &mut gateway,
        &mut endpoint,
        TUNNEL_BUFFER_BYTES,
        TUNNEL_BUFFER_BYTES,
    )
    .await?;
    // Both sides have finished: what the kernel still holds is to be delivered.
    for counted in [&gateway, &endpoint] {
        SockRef::from(&counted.stream).set_linger(None)?;
    }
    Ok(())
}
