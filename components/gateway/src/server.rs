//! Listening to callers, and to those who ask whether this gateway takes them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use telemetry::Metrics;
use tokio::net::{TcpListener, TcpStream};

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
/// A head that is not whole by then ends its connection.
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
    let most = descriptors.saturating_sub(KEPT_DESCRIPTORS).max(64) / 2;
    let open = Rc::new(Cell::new(0_usize));
    while !traffic.freshness.is_closed(traffic.clock.now()) {
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
        if open.get() >= most {
            warn!(traffic.log, "connection refused"; "open" => open.get());
            continue;
        }
        open.set(open.get() + 1);
        let (traffic, open) = (Rc::clone(&traffic), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            serve_connection(traffic, stream).await;
            open.set(open.get() - 1);
        });
    }
}

struct Activity {
    running: Cell<u32>,
    since: Cell<Duration>,
}

async fn serve_connection<D: Dialect + 'static>(traffic: Rc<Traffic<D>>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let activity = Rc::new(Activity {
        running: Cell::new(0),
        since: Cell::new(traffic.clock.now()),
    });
    let service = service_fn(|request: Request<Incoming>| {
        let (traffic, activity) = (Rc::clone(&traffic), Rc::clone(&activity));
        async move {
            let guard = Busy::new(Rc::clone(&traffic), activity);
            let mut answer = Rc::clone(&traffic).answer(request).await;
            if traffic.freshness.is_stopping() {
                let close = http::HeaderValue::from_static("close");
                answer.headers_mut().insert(http::header::CONNECTION, close);
            }
            answer.body_mut().hold(guard);
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(head_bytes(&traffic));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut look = tokio::time::interval(REST_LOOK);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = look.tick() => {
                if rests_too_long(&traffic, &activity) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

// Counts a request as running until its answer is over.
struct Busy<D> {
    traffic: Rc<Traffic<D>>,
    activity: Rc<Activity>,
}

impl<D> Busy<D> {
    fn new(traffic: Rc<Traffic<D>>, activity: Rc<Activity>) -> Self {
        activity.running.set(activity.running.get() + 1);
        traffic.in_flight.set(traffic.in_flight.get() + 1);
        Busy { traffic, activity }
    }
}

impl<D> Drop for Busy<D> {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        self.activity.running.set(self.activity.running.get() - 1);
        self.activity.since.set(now);
        self.traffic.in_flight.set(self.traffic.in_flight.get() - 1);
    }
}

fn rests_too_long<D>(traffic: &Traffic<D>, activity: &Activity) -> bool {
    if activity.running.get() > 0 {
        return false;
    }
    let now = traffic.clock.now();
    let rest = now.saturating_sub(activity.since.get());
    traffic.freshness.is_closed(now) || rest > idle_time(traffic)
}

fn idle_time<D>(traffic: &Traffic<D>) -> Duration {
    let state = traffic.state.borrow();
    let directory = state.directory.as_ref();
    directory.map_or(HEAD_TIME, |d| d.configuration().bounds.idle_time)
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
