//! Listening to callers, and to those who ask whether this gateway takes them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
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

use crate::caller::{Caller, ProgressStream};
use crate::plain;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Descriptors kept for endpoints, the store and files, out of all of the process.
const KEPT_DESCRIPTORS: usize = 400;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause between looks at whether a connection rests for too long.
const REST_LOOK: Duration = Duration::from_millis(500);
/// Pause between looks at whether callers are still taken.
const STOP_LOOK: Duration = Duration::from_millis(250);
/// Size of the buffers that the kernel has for a caller's connection, in bytes each way, where memory is bounded.
const SOCKET_BUFFER: usize = 64 << 10;
/// A connection that waits for a head for so long ends, whatever the configuration says; while none is known, its bound.
const HEAD_TIME: Duration = Duration::from_secs(60);

/// Binds a listener.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::from_std(bind_std(address)?)
}

/// Binds a listener that no runtime watches yet.
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

/// Accepts callers until the gateway stops; the listener is closed then.
pub(crate) async fn serve_callers<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    listener: TcpListener,
    descriptors: usize,
) {
    if traffic.room.is_bounded() {
        bound_buffers(&traffic, &listener);
    }
    let most = descriptors.saturating_sub(KEPT_DESCRIPTORS).max(64) / 2;
    let open = Rc::new(Cell::new(0_usize));
    while !traffic.freshness.is_closed(traffic.clock.now()) {
        if !traffic.can_accept() {
            // Those that connect wait in the kernel meanwhile.
            let _ = tokio::time::timeout(STOP_LOOK, traffic.room.wait_for_release()).await;
            continue;
        }
        let accepted = tokio::time::timeout(STOP_LOOK, listener.accept()).await;
        let Ok(accepted) = accepted else {
            continue;
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(traffic.log, "accept failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let caller = match open.get() < most {
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
        // In a box of its own it takes nothing while the connection rests.
        Box::pin(async move {
            let guard = Busy::new(Rc::clone(&traffic), Rc::clone(&caller));
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
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(head_bytes(&traffic));
    let watched = ProgressStream {
        stream,
        caller: Rc::clone(&caller),
    };
    let connection = builder.serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    let mut look = tokio::time::interval(REST_LOOK);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = caller.close_requested.notified() => return,
            _ = look.tick() => match due_end(&traffic, &caller) {
                None => {}
                Some(DueEnd::AtRest) => connection.as_mut().graceful_shutdown(),
                Some(DueEnd::Now) => return,
            },
        }
    }
}

// What the kernel holds for a caller is out of sight of the ledger, so it is kept small; at the 3 ms to callers that the
// deployments name it carries 20 MB/s. What is too small for a network only makes it slower. Accepted connections inherit
// the sizes.
fn bound_buffers<D>(traffic: &Traffic<D>, listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let set = socket
        .set_send_buffer_size(SOCKET_BUFFER)
        .and_then(|()| socket.set_recv_buffer_size(SOCKET_BUFFER));
    if let Err(error) = set {
        warn!(traffic.log, "callers' buffers are not bounded"; "cause" => %error);
    }
}

// How a connection is to end.
enum DueEnd {
    // Once nothing is under way.
    AtRest,
    // As it is.
    Now,
}

fn due_end<D>(traffic: &Traffic<D>, caller: &Caller) -> Option<DueEnd> {
    let now = traffic.clock.now();
    let bounds = bounds(traffic);
    let (head_time, idle_time) = (bounds.head_time, bounds.idle_time);
    if let Some(time) = caller
        .head_receive_time(now)
        .filter(|time| *time > head_time)
    {
        traffic.metrics.count(Counter::SlowHeads);
        info!(traffic.log, "connection ended"; "cause" => "the head comes too slowly",
            "ms" => time.as_millis() as u64);
        return Some(DueEnd::Now);
    }
    if caller.is_stalled_past_deadline(now, idle_time) {
        let delivery = caller.delivery(now);
        traffic.metrics.count(Counter::UntakenAnswers);
        info!(traffic.log, "answer cut off"; "id" => caller.request_id(),
            "cause" => "the caller takes nothing and its time is over", "held" => delivery.held,
            "stalled_ms" => delivery.stalled.as_millis() as u64);
        return Some(DueEnd::Now);
    }
    let rest = caller.idle_time(now)?;
    (traffic.freshness.is_closed(now) || rest > idle_time).then_some(DueEnd::AtRest)
}

// Counts a request as running until its answer is over.
struct Busy<D> {
    traffic: Rc<Traffic<D>>,
    caller: Rc<Caller>,
}

impl<D> Busy<D> {
    fn new(traffic: Rc<Traffic<D>>, caller: Rc<Caller>) -> Self {
        caller.start_request();
        traffic.in_flight.set(traffic.in_flight.get() + 1);
        Busy { traffic, caller }
    }
}

impl<D> Drop for Busy<D> {
    fn drop(&mut self) {
        self.caller.finish_request();
        self.traffic.in_flight.set(self.traffic.in_flight.get() - 1);
    }
}

// The bounds in force; before there are any, a connection has the time of the first head.
fn bounds<D>(traffic: &Traffic<D>) -> CallerBounds {
    let state = traffic.state.borrow();
    let directory = state.directory.as_ref();
    match directory {
        Some(directory) => directory.configuration().bounds.clone(),
        None => CallerBounds {
            head_time: HEAD_TIME,
            idle_time: HEAD_TIME,
            ..CallerBounds::default()
        },
    }
}

fn head_bytes<D>(traffic: &Traffic<D>) -> usize {
    const LEAST: usize = 8192;
    const DEFAULT: usize = 16 << 10;
    let state = traffic.state.borrow();
    let directory = state.directory.as_ref();
    let bytes = directory.map_or(DEFAULT, |d| d.configuration().bounds.head_bytes);
    bytes.max(LEAST)
}

/// Answers whether this gateway takes callers.
pub(crate) async fn serve_readiness<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    listener: TcpListener,
) {
    let was_ready = Cell::new(false);
    plain::serve(listener, move |_| {
        let ready = traffic.is_ready();
        if was_ready.replace(ready) != ready {
            info!(traffic.log, "readiness changed"; "ready" => ready);
        }
        let status = match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(plain::answer(status, Bytes::new()))
    })
    .await;
}

/// Shows the metrics as text.
pub(crate) async fn serve_metrics(metrics: Arc<Metrics>, listener: TcpListener) {
    plain::serve(listener, move |_| {
        let text = metrics.text();
        std::future::ready(plain::answer(StatusCode::OK, text.into()))
    })
    .await;
}
