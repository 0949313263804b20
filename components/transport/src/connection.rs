//! A persistent HTTP/1.1 client connection, driven by the Tokio runtime of the calling thread.

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::{self, Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::answer::{Answer, AnswerFault};
use crate::head_lines::CheckedStream;
use crate::tcp::{Dialer, SharedStream, TcpStatus};

/// A request body that is held in memory as a whole.
pub type FullBody = Full<Bytes>;

/// Maximum size of the read buffer, and of the head of an answer together with the informational answers before it.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Beginning of every answer.
const ANSWER_START: &[u8] = b"HTTP/1.";
/// A connection is closed once sent bytes stay unacknowledged for this long.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug)]
pub enum ConnectionError {
    /// The server could not be reached; nothing was sent.
    Unreachable(std::io::Error),
    /// The connection closed before any part of the request was written.
    NotSent,
    /// The HTTP handshake failed, or the connection failed when the request may have been sent.
    Broken(hyper::Error),
    /// The request was answered, and the answer is invalid.
    Invalid(AnswerFault),
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Unreachable(error) => write!(f, "cannot be reached: {error}"),
            ConnectionError::NotSent => write!(f, "ended before the request was written"),
            ConnectionError::Broken(error) => write!(f, "broke after sending: {error}"),
            ConnectionError::Invalid(fault) => write!(f, "got an invalid answer: {fault}"),
        }
    }
}

impl std::error::Error for ConnectionError {}

/// An open connection. Dropping it resets the socket at once, even while a request is in progress.
#[derive(Debug)]
pub struct Connection {
    stream: SharedStream,
    checked: CheckedStream,
    sender: SendRequest<FullBody>,
    driver: JoinHandle<()>,
    unread: UnreadBytes,
}

// What had arrived and was not read as part of an answer when the connection ended.
type UnreadBytes = Rc<RefCell<Bytes>>;

// Drives the connection to its end. Not an async function, whose future would hold the connection twice.
struct Driver {
    connection: Option<http1::Connection<TokioIo<CheckedStream>, FullBody>>,
    unread: UnreadBytes,
}

impl Future for Driver {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let Some(connection) = self.connection.as_mut() else {
            return Poll::Ready(());
        };
        let ended = ready!(connection.poll_without_shutdown(context));
        if let Some(connection) = self.connection.take() {
            let parts = connection.into_parts();
            self.unread.replace(parts.read_buf);
            if ended.is_ok() {
                // Shutting down a TCP stream doesn't wait. The other end may have closed it already.
                let _ = Pin::new(&mut parts.io.into_inner()).poll_shutdown(context);
            }
        }
        Poll::Ready(())
    }
}

impl Connection {
    /// Connects to `address`; `timeout` limits the TCP connect. Must be called inside a `LocalSet`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectionError> {
        let dialed = Dialer::default().dial(address, timeout).await;
        Self::over(dialed.map_err(ConnectionError::Unreachable)?).await
    }

    /// Uses a stream that is connected. Must be called inside a `LocalSet`.
    pub async fn over(stream: TcpStream) -> Result<Self, ConnectionError> {
        set_dead_peer_detection(&stream);
        discard_unsent_bytes_on_close(&stream);
        let stream = SharedStream::new(stream);
        let checked = CheckedStream::new(stream.clone());
        let handshake = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(checked.clone()))
            .await;
        let (sender, connection) = handshake.map_err(ConnectionError::Broken)?;
        let unread = UnreadBytes::default();
        let driver = tokio::task::spawn_local(Driver {
            connection: Some(connection),
            unread: Rc::clone(&unread),
        });
        Ok(Connection {
            stream,
            checked,
            sender,
            driver,
            unread,
        })
    }

    /// What the kernel reports of the connection, where the platform supports that.
    pub fn tcp_status(&self) -> Option<TcpStatus> {
        self.stream.status()
    }

    /// A handle for inspecting the connection while a request is sent on it.
    pub fn watch(&self) -> WatchedConnection {
        WatchedConnection(self.stream.clone())
    }

    /// Whether the connection is open, as far as this side has noticed.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Whether the last answer has been read and the connection is ready for a request.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection is ready for a request.
    pub async fn ready(&mut self) -> Result<(), ConnectionError> {
        let ready = self.sender.ready().await;
        ready.map_err(|_| ConnectionError::NotSent)
    }

    /// Whether bytes have arrived behind the last answer, whose body has been read, that begin no other answer. Then its
    /// length may have been wrong. Bytes that arrive later don't count.
    pub fn has_stray_bytes(&self) -> bool {
        let unread = self.unread.borrow();
        let compared = unread.len().min(ANSWER_START.len());
        unread[..compared] != ANSWER_START[..compared]
    }

    /// Sends a request and returns the answer, whose head is checked. Dropping the connection before the body is read cuts
    /// the body off.
    pub async fn send(&mut self, request: Request<FullBody>) -> Result<Answer, ConnectionError> {
        self.ready().await?;
        self.checked.expect_answer();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ConnectionError::NotSent,
            None => ConnectionError::Broken(error.into_error()),
        })?;
        Answer::from_response(response).map_err(ConnectionError::Invalid)
    }
}

/// A handle for inspecting a connection, which it keeps open.
#[derive(Clone, Debug)]
pub struct WatchedConnection(SharedStream);

impl WatchedConnection {
    /// What the kernel reports of the connection, where the platform supports that.
    pub fn tcp_status(&self) -> Option<TcpStatus> {
        self.0.status()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

// Without this, the kernel goes on sending what a closed connection had not delivered, so an abandoned request could arrive
// after its retry.
fn discard_unsent_bytes_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

// A machine that loses power does not close its connections: without the timeout and the keep-alive
// probes, a connection to it would hang.
pub(crate) fn set_dead_peer_detection(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
