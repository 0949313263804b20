//! Blocking HTTP calls, each over a connection of its own, for threads without a runtime.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONNECTION, HOST};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::answer::{begins_with_chunk, Answer, BodyEnd};
use crate::connection::{Connection, ConnectionError, FullBody, UNACKNOWLEDGED_TIMEOUT};

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Timeout of the whole call; without one it lasts as long as the server is reachable.
    pub timeout: Option<Duration>,
    /// Maximum size of the answer's body, in bytes.
    pub max_body_bytes: usize,
}

impl CallLimits {
    fn connect_timeout(&self) -> Duration {
        self.timeout.unwrap_or(UNACKNOWLEDGED_TIMEOUT)
    }
}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why a call has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The server refused the connection, or there are no resources for one; nothing was sent.
    NotSent(String),
    /// The request may have been sent, and the server may have executed it.
    Failed(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(cause) => write!(f, "not sent: {cause}"),
            CallError::Failed(cause) => write!(f, "no whole answer: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}

fn failed(cause: impl fmt::Display) -> CallError {
    CallError::Failed(cause.to_string())
}

/// Sends a request to a server at `HOST:PORT` and reads the whole answer. The server is asked to close the connection.
pub fn call(
    address: &str,
    request: Request<FullBody>,
    limits: CallLimits,
) -> Result<WholeAnswer, CallError> {
    let exchange = exchange(address, request, limits);
    block_on(async {
        match limits.timeout {
            Some(timeout) => {
                let exchanged = tokio::time::timeout(timeout, exchange).await;
                exchanged.unwrap_or_else(|late| Err(failed(late)))
            }
            None => exchange.await,
        }
    })
}

/// Runs `work` on the calling thread, in a runtime of its own.
pub(crate) fn block_on<T>(
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CallError::NotSent(error.to_string()))?;
    LocalSet::new().block_on(&runtime, work)
}

async fn exchange(
    address: &str,
    request: Request<FullBody>,
    limits: CallLimits,
) -> Result<WholeAnswer, CallError> {
    let (connection, answer) = send(address, request, limits.connect_timeout()).await?;
    let Answer {
        head,
        body,
        body_end,
    } = answer;
    let limited = Limited::new(body, limits.max_body_bytes);
    let body = limited.collect().await.map_err(failed)?.to_bytes();
    let is_whole = match body_end {
        BodyEnd::Length => !connection.has_stray_bytes(),
        BodyEnd::LastChunk => true,
        // The end of the server's process closes the connection as well.
        BodyEnd::Close => !begins_with_chunk(&body) && accepts_connections(address, limits),
    };
    match is_whole {
        true => Ok(WholeAnswer {
            status: head.status,
            headers: head.headers,
            body,
        }),
        false => Err(failed("the end of the answer is not certain")),
    }
}

/// Sends a request over a new connection, which the server is asked to close, and returns the answer with a valid head.
pub(crate) async fn send(
    address: &str,
    mut request: Request<FullBody>,
    connect_timeout: Duration,
) -> Result<(Connection, Answer), CallError> {
    let host = HeaderValue::from_str(address);
    let host = host.map_err(|error| CallError::NotSent(error.to_string()))?;
    request.headers_mut().insert(HOST, host);
    request
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    let address = resolve(address).map_err(|error| CallError::NotSent(error.to_string()))?;
    let opened = Connection::open(address, connect_timeout).await;
    let mut connection = opened.map_err(open_error)?;
    let answer = connection.send(request).await.map_err(failed)?;
    Ok((connection, answer))
}

// Only a refused connection shows that nothing was sent: over a lossy path the server may see one that the caller gave up.
fn open_error(error: ConnectionError) -> CallError {
    match &error {
        ConnectionError::Unreachable(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            CallError::NotSent(error.to_string())
        }
        _ => failed(error),
    }
}

fn resolve(address: &str) -> io::Result<SocketAddr> {
    let found = address.to_socket_addrs()?.next();
    found.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
}

fn accepts_connections(address: &str, limits: CallLimits) -> bool {
    let timeout = limits.connect_timeout();
    let address = resolve(address);
    address.is_ok_and(|address| TcpStream::connect_timeout(&address, timeout).is_ok())
}
