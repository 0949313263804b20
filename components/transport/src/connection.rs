//! One kept HTTP/1.1 connection to a server, on the runtime of the calling thread.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Body of a request that is known as a whole.
pub type FullBody = Full<Bytes>;

/// Largest head of an answer, in bytes; also the size up to which the read buffer grows.
const MAX_BUFFER: usize = 64 << 10;
/// Unacknowledged bytes end a connection after this time.
const PEER_SILENCE: Duration = Duration::from_secs(4);
/// Pause before, and between, the probes of a silent connection.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug)]
pub enum ConnectionError {
    /// The server could not be reached; nothing was sent.
    Unreachable(std::io::Error),
    /// The connection had ended before anything of the request was written.
    NotSent,
    /// The connection ended or broke after the request was sent.
    Broken(hyper::Error),
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Unreachable(error) => write!(f, "cannot be reached: {error}"),
            ConnectionError::NotSent => write!(f, "ended before the request was written"),
            ConnectionError::Broken(error) => write!(f, "broke after sending: {error}"),
        }
    }
}

impl std::error::Error for ConnectionError {}

/// A connection. Dropping it closes the socket at once, whatever is under way.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<FullBody>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects within `timeout`. Must be called inside a `LocalSet`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectionError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(connected) => connected.map_err(ConnectionError::Unreachable)?,
            Err(_) => {
                let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
                return Err(ConnectionError::Unreachable(error));
            }
        };
        watch_peer(&stream);
        let handshake = Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(ConnectionError::Broken)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Connection { sender, driver })
    }

    /// Whether the connection can take a request, as far as is known here.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Whether the last answer is over and nothing stands in the way of a request.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection takes a request.
    pub async fn ready(&mut self) -> Result<(), ConnectionError> {
        let ready = self.sender.ready().await;
        ready.map_err(|_| ConnectionError::NotSent)
    }

    /// Sends a request and returns the answer's head; keep the connection while its body is read.
    pub async fn send(
        &mut self,
        request: Request<FullBody>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.ready().await?;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => ConnectionError::NotSent,
            None => ConnectionError::Broken(error.into_error()),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

// A machine without power says nothing: without these a connection to it would hang.
fn watch_peer(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(PEER_SILENCE));
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE);
    let _ = socket.set_tcp_keepalive(&probes);
}
