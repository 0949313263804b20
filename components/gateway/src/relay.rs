//! Opens connections to endpoints for other gateways that have lost their own paths to them.
//!
//! The other gateway keeps the request and all decisions about it; this one only passes bytes. It connects to endpoints
//! that it knows, for gateways that it knows, and only over its own path: a tunnel never leads to a third gateway.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use memory::{Kind, Reservation};
use slog::{info, warn};
use telemetry::Counter;
use tokio::net::{TcpListener, TcpStream};
use transport::{pass_bytes, CountedAt, TunnelBytes, TUNNEL_BUFFER_BYTES};

use crate::simple_http::{self, ACCEPT_RETRY_DELAY};
use crate::traffic::Traffic;

/// Time for the connect to an endpoint: two round trips between regions. The gateway that asked tries another relay
/// after that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for receiving the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections from other gateways.
const MAX_TUNNELS: usize = 1024;
/// Of its part of an endpoint's connections, a gateway keeps one in so many for its own callers.
const KEPT_FRACTION: u32 = 4;
/// Memory of a tunnel: a buffer for each direction, and both connections.
const TUNNEL_BYTES: u64 = 2 * TUNNEL_BUFFER_BYTES as u64 + (8 << 10);

// What a tunnel holds while it is open: its memory, and the connection that it was lent.
type TunnelHold<D> = (Reservation, Option<LentConnection<D>>);

// Counts a connection of this gateway's part that another gateway uses.
struct LentConnection<D> {
    traffic: Rc<Traffic<D>>,
    endpoint: String,
}

impl<D> Drop for LentConnection<D> {
    fn drop(&mut self) {
        let mut state = self.traffic.state.borrow_mut();
        state.pool.record_closed(&self.endpoint);
    }
}

// Counts a connection from another gateway while it is open.
struct OpenTunnel(Rc<Cell<usize>>);

impl OpenTunnel {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        OpenTunnel(Rc::clone(count))
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves tunnels to other gateways until the runtime ends.
pub(crate) async fn serve_tunnels<D: 'static>(traffic: Rc<Traffic<D>>, listener: TcpListener) {
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(traffic.log, "accept failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if traffic.open_tunnels.get() >= MAX_TUNNELS {
            warn!(traffic.log, "connection refused"; "from" => %from, "open" => MAX_TUNNELS);
            continue;
        }
        let counted = OpenTunnel::new(&traffic.open_tunnels);
        let traffic = Rc::clone(&traffic);
        tokio::task::spawn_local(serve_connection(traffic, stream, from, counted));
    }
}

async fn serve_connection<D: 'static>(
    traffic: Rc<Traffic<D>>,
    stream: TcpStream,
    from: SocketAddr,
    counted: OpenTunnel,
) {
    let counted = Rc::new(counted);
    let service = service_fn(|request| {
        let (traffic, counted) = (Rc::clone(&traffic), Rc::clone(&counted));
        async move { Ok::<_, Infallible>(traffic.answer_connect(request, from, counted).await) }
    });
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .keep_alive(false);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serving.with_upgrades().await {
        info!(traffic.log, "relay request failed"; "from" => %from, "cause" => %error);
    }
}

impl<D: 'static> Traffic<D> {
    async fn answer_connect(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
        counted: Rc<OpenTunnel>,
    ) -> Response<Full<Bytes>> {
        let endpoint = request.uri().authority();
        let endpoint = endpoint.and_then(|authority| authority.as_str().parse().ok());
        let opened = match endpoint {
            Some(endpoint) if request.method() == Method::CONNECT => {
                let counted_at = CountedAt::of(request.headers());
                self.open_for_other(from, endpoint, counted_at).await
            }
            _ => Err(StatusCode::BAD_REQUEST),
        };
        let (stream, held, endpoint) = match opened {
            Ok(opened) => opened,
            Err(status) => {
                self.metrics.count(Counter::TunnelsRefused);
                info!(self.log, "tunnel refused"; "from" => %from, "to" => request.uri().to_string(),
                    "status" => status.as_u16());
                return simple_http::answer(status, Bytes::new());
            }
        };
        self.metrics.count(Counter::TunnelsOpened);
        tokio::task::spawn_local(async move {
            let started = self.clock.now();
            let passed = TunnelBytes::default();
            let ended = run_tunnel(request, stream, &passed).await;
            drop((held, counted));
            let elapsed = self.clock.now().saturating_sub(started);
            info!(self.log, "tunnel ended"; "from" => %from, "to" => %endpoint,
                "ms" => elapsed.as_millis() as u64, "sent" => passed.sent.get(),
                "received" => passed.received.get(),
                "cause" => ended.err().map(|error| error.to_string()));
        });
        simple_http::answer(StatusCode::OK, Bytes::new())
    }

    async fn open_for_other(
        self: &Rc<Self>,
        from: SocketAddr,
        endpoint: SocketAddr,
        counted_at: CountedAt,
    ) -> Result<(TcpStream, TunnelHold<D>, SocketAddr), StatusCode> {
        let now = self.clock.now();
        let hall = {
            let state = self.state.borrow();
            if !state.fleet.known.contains(&from.ip()) {
                return Err(StatusCode::FORBIDDEN);
            }
            let known = state.balancer.endpoint_at(endpoint);
            let hall = known.map(|known| known.zone.as_str());
            // A gateway that is no coordinator knows the endpoints on which its own requests were placed.
            let hall = hall.or_else(|| state.placed_endpoints.hall_at(now, endpoint));
            let hall = hall.map(str::to_string).ok_or(StatusCode::NOT_FOUND)?;
            if self.freshness.is_stopping() {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            if state.paths.is_doubted(now, endpoint) || state.paths.are_all_lost(now) {
                drop(state);
                tokio::task::spawn_local(Rc::clone(self).probe(hall, endpoint));
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            hall
        };
        let mut memory = self
            .room
            .ledger()
            .open_account()
            .reservation(Kind::Connection);
        if !memory.grow(TUNNEL_BYTES) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let lent = match counted_at {
            CountedAt::Asker => None,
            CountedAt::Relay => Some(self.lend_connection(endpoint)?),
        };
        match self.dial_own_path(&hall, endpoint, CONNECT_TIMEOUT).await {
            Ok(stream) => Ok((stream, (memory, lent), endpoint)),
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                Err(StatusCode::GATEWAY_TIMEOUT)
            }
            Err(_) => Err(StatusCode::BAD_GATEWAY),
        }
    }
}

impl<D: 'static> Traffic<D> {
    // Counts a connection to an endpoint for another gateway, unless this one may need what is left of its part.
    fn lend_connection(
        self: &Rc<Self>,
        address: SocketAddr,
    ) -> Result<LentConnection<D>, StatusCode> {
        let (endpoint, max_connections) = {
            let state = self.state.borrow();
            let known = state.balancer.endpoint_at(address);
            let known = known.ok_or(StatusCode::NOT_FOUND)?;
            let services = state
                .directory
                .as_ref()
                .map(|d| &d.configuration().services);
            let service = services.and_then(|services| services.get(&known.service));
            let service = service.ok_or(StatusCode::NOT_FOUND)?;
            (known.id.clone(), service.max_connections)
        };
        let part = self.connection_part(max_connections);
        let max_lent = part - part.div_ceil(KEPT_FRACTION);
        let reserved = self.state.borrow_mut().pool.reserve(&endpoint, max_lent);
        reserved.map_err(|_| StatusCode::TOO_MANY_REQUESTS)?;
        Ok(LentConnection {
            traffic: Rc::clone(self),
            endpoint,
        })
    }
}

async fn run_tunnel(
    request: Request<Incoming>,
    endpoint: TcpStream,
    passed: &TunnelBytes,
) -> std::io::Result<()> {
    let upgraded = hyper::upgrade::on(request).await;
    let upgraded = upgraded.map_err(std::io::Error::other)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_| std::io::Error::other("the stream has another type"))?;
    // The gateway may have sent its request before this side left HTTP.
    pass_bytes(parts.read_buf, parts.io.into_inner(), endpoint, passed).await
}
