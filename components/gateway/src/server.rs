//! Listeners for callers, readiness checks and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use directory::CallerBounds;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use telemetry::{Counter, Metrics};
use tokio::net::{TcpListener, TcpStream};
use transport::SharedStream;

use crate::caller::{wait_for_close, Caller, ProgressStream};
use crate::ports::Dialect;
use crate::simple_http;
use crate::traffic::Traffic;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// File descriptors of the process that are reserved for endpoints, the store and files.
const RESERVED_DESCRIPTORS: usize = 400;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of the checks whether a connection has timed out.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the checks whether the gateway still accepts callers.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Size of the kernel's buffer for a caller's connection, in bytes per direction, if memory has a limit.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// Maximum time for reading the head of a request, whatever the configuration says. Also the head and idle timeout while
/// no configuration is known.
const MAX_HEAD_TIME: Duration = Duration::from_secs(60);

/// Binds a listener on the current runtime.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::from_std(bind_std(address)?)
}

/// Binds a listener that is not registered with a runtime yet.
pub(crate) fn bind_std(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts callers until the gateway stops, then closes the listener.
pub(crate) async fn serve_callers<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    listener: TcpListener,
    descriptors: usize,
) {
    if traffic.room.is_bounded() {
        limit_socket_buffers(&traffic, &listener);
    }
    let max_open = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64) / 2;
    let open = Rc::new(Cell::new(0_usize));
    while !traffic.freshness.is_closed(traffic.clock.now()) {
        if !traffic.can_accept() {
            // New connections wait in the kernel's backlog.
            let _ =
                tokio::time::timeout(STOP_CHECK_INTERVAL, traffic.room.wait_for_release()).await;
            continue;
        }
        let accepted = tokio::time::timeout(STOP_CHECK_INTERVAL, listener.accept()).await;
        let Ok(accepted) = accepted else {
            continue;
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(traffic.log, "accept failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let caller = match open.get() < max_open {
            true => traffic.room.open_caller(),
            false => None,
        };
        let Some(caller) = caller else {
            warn!(traffic.log, "connection refused"; "open" => open.get());
            continue;
        };
        open.set(open.get() + 1);
        let (traffic, open) = (Rc::clone(&traffic), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            serve_connection(traffic, stream, caller).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    stream: TcpStream,
    caller: Rc<Caller>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let (traffic, caller) = (Rc::clone(&traffic), Rc::clone(&caller));
        // Boxed, so that it takes no memory while the connection is idle.
        Box::pin(async move {
            let guard = InFlightGuard::new(Rc::clone(&traffic), Rc::clone(&caller));
            let mut answer = Rc::clone(&traffic).answer(request, caller).await;
            if traffic.freshness.is_stopping() {
                let close = http::HeaderValue::from_static("close");
                answer.headers_mut().insert(http::header::CONNECTION, close);
            }
            answer.body_mut().set_guard(guard);
            Ok::<_, Infallible>(answer)
        })
    });
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_HEAD_TIME)
        .max_buf_size(max_head_bytes(&traffic));
    let stream = SharedStream::new(stream);
    caller.set_stream(stream.downgrade());
    let progress_stream = ProgressStream {
        stream: stream.clone(),
        caller: Rc::clone(&caller),
    };
    let connection = builder.serve_connection(TokioIo::new(progress_stream), service);
    tokio::pin!(connection);
    let mut closed = pin!(wait_for_close(&stream));
    let mut check = tokio::time::interval(CONNECTION_CHECK_INTERVAL);
    check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = closed.as_mut() => return log_abandoned(&traffic, &caller),
            () = caller.close_requested.notified() => return,
            _ = check.tick() => match due_connection_end(&traffic, &caller) {
                None => {}
                Some(ConnectionEnd::WhenIdle) => connection.as_mut().graceful_shutdown(),
                Some(ConnectionEnd::Immediate) => return,
            },
        }
    }
}

// Ending the connection aborts the request on it.
fn log_abandoned<D>(traffic: &Traffic<D>, caller: &Caller) {
    if caller.idle_time(traffic.clock.now()).is_none() {
        traffic.metrics.count(Counter::Abandoned);
        info!(traffic.log, "caller left"; "id" => caller.request_id());
    }
}

// The ledger doesn't count the kernel's buffers, so they are kept small. At the 3 ms to callers that the deployments state
// they carry 20 MB/s; on a network with more latency they only reduce the rate. Accepted connections inherit the sizes.
fn limit_socket_buffers<D>(traffic: &Traffic<D>, listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let set = socket
        .set_send_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(error) = set {
        warn!(traffic.log, "cannot limit the socket buffers of callers"; "cause" => %error);
    }
}

// How a connection ends.
enum ConnectionEnd {
    // Graceful shutdown: once no request is in flight.
    WhenIdle,
    // At once.
    Immediate,
}

fn due_connection_end<D>(traffic: &Traffic<D>, caller: &Caller) -> Option<ConnectionEnd> {
    let now = traffic.clock.now();
    let bounds = caller_bounds(traffic);
    let (head_timeout, idle_timeout) = (bounds.head_timeout, bounds.idle_timeout);
    if let Some(time) = caller
        .head_receive_time(now)
        .filter(|time| *time > head_timeout)
    {
        traffic.metrics.count(Counter::SlowHeads);
        info!(traffic.log, "connection ended"; "cause" => "the head comes too slowly",
            "ms" => time.as_millis() as u64);
        return Some(ConnectionEnd::Immediate);
    }
    if caller.is_stalled_past_deadline(now, idle_timeout) {
        let delivery = caller.delivery(now);
        traffic.metrics.count(Counter::UnreadAnswers);
        info!(traffic.log, "answer cut off"; "id" => caller.request_id(),
            "cause" => "the caller takes nothing and its time is over", "held" => delivery.held,
            "stalled_ms" => delivery.stalled.as_millis() as u64);
        return Some(ConnectionEnd::Immediate);
    }
    let idle_for = caller.idle_time(now)?;
    (traffic.freshness.is_closed(now) || idle_for > idle_timeout).then_some(ConnectionEnd::WhenIdle)
}

// Counts a request as in flight until its answer is written or dropped.
struct InFlightGuard<D> {
    traffic: Rc<Traffic<D>>,
    caller: Rc<Caller>,
}

impl<D> InFlightGuard<D> {
    fn new(traffic: Rc<Traffic<D>>, caller: Rc<Caller>) -> Self {
        caller.start_request();
        traffic.in_flight.set(traffic.in_flight.get() + 1);
        InFlightGuard { traffic, caller }
    }
}

impl<D> Drop for InFlightGuard<D> {
    fn drop(&mut self) {
        self.caller.finish_request();
        self.traffic.in_flight.set(self.traffic.in_flight.get() - 1);
    }
}

// The configured bounds, or defaults while no configuration is known.
fn caller_bounds<D>(traffic: &Traffic<D>) -> CallerBounds {
    let state = traffic.state.borrow();
    let directory = state.directory.as_ref();
    match directory {
        Some(directory) => directory.configuration().bounds.clone(),
        None => CallerBounds {
            head_timeout: MAX_HEAD_TIME,
            idle_timeout: MAX_HEAD_TIME,
            ..CallerBounds::default()
        },
    }
}

fn max_head_bytes<D>(traffic: &Traffic<D>) -> usize {
    const MIN: usize = 8192;
    const DEFAULT: usize = 16 << 10;
    let state = traffic.state.borrow();
    let directory = state.directory.as_ref();
    let bytes = directory.map_or(DEFAULT, |d| d.configuration().bounds.max_head_bytes);
    bytes.max(MIN)
}

/// Serves the readiness check: whether this gateway accepts callers.
pub(crate) async fn serve_readiness<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    listener: TcpListener,
) {
    let was_ready = Cell::new(false);
    simple_http::serve(listener, move |_| {
        let ready = traffic.is_ready();
        if was_ready.replace(ready) != ready {
            info!(traffic.log, "readiness changed"; "ready" => ready);
        }
        let status = match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(simple_http::answer(status, Bytes::new()))
    })
    .await;
}

/// Serves the metrics as text.
pub(crate) async fn serve_metrics(metrics: Arc<Metrics>, listener: TcpListener) {
    simple_http::serve(listener, move |_| {
        let text = metrics.to_text();
        std::future::ready(simple_http::answer(StatusCode::OK, text.into()))
    })
    .await;
}
