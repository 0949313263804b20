//! Start and planned stop of a gateway.

use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use schema::settings::GatewaySettings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slog::{info, warn, Logger};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use transport::Dialer;

use crate::clock::Clock;
use crate::control::{Control, ControlParts, PeerSockets};
use crate::coordinator_contact::CoordinatorContact;
use crate::freshness::Freshness;
use crate::ports::{Dialect, Orders, Store};
use crate::relay::serve_tunnels;
use crate::server::{bind, bind_std, serve_callers, serve_metrics, serve_readiness};
use crate::traffic::{Traffic, TrafficParts};
use crate::turns::measure_turns;
use crate::update::Update;

/// Capacity of the channel for tallies. While it is full, counts are added to the next tally.
const MAX_QUEUED_TALLIES: usize = 256;
/// Interval at which a requested stop and its completion are checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
const NOT_BOUND: &str = "an address could not be bound; free it or change it in the settings";

/// A gateway that could not start; attachments give the cause.
#[derive(Debug)]
pub struct GatewayError(pub &'static str);

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for GatewayError {}

/// Reads the settings again; `None` if they cannot be read.
pub type ReadSettings = Box<dyn Fn() -> Option<GatewaySettings> + Send>;

/// What [`Gateway::start`] needs.
pub struct Parts<D, S, O> {
    pub settings: GatewaySettings,
    pub read_settings: ReadSettings,
    /// Parses and writes the heads of requests and answers.
    pub dialect: D,
    /// Creates the client of the store, in the control thread.
    pub store: Box<dyn FnOnce() -> S + Send>,
    /// Creates the client of the service that takes orders, in the control thread.
    pub orders: Box<dyn FnOnce() -> O + Send>,
    /// Opens connections to endpoints.
    pub dialer: Dialer,
    /// Clock of the gateway.
    pub clock: Clock,
    pub log: Logger,
}

/// Flags set by signals.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// The gateway has to stop.
    pub stop: Arc<AtomicBool>,
    /// The settings have to be read again.
    pub reload: Arc<AtomicBool>,
}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Listening {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
}

/// A running gateway.
pub struct Gateway {
    listening: Listening,
    peer_address: SocketAddr,
    tunnel_address: SocketAddr,
    signals: Signals,
    metrics: Arc<Metrics>,
    traffic: JoinHandle<()>,
}

impl Gateway {
    /// Starts the threads and binds the addresses.
    pub fn start<D, S, O>(parts: Parts<D, S, O>) -> Result<Self, Report<GatewayError>>
    where
        D: Dialect + Send + 'static,
        S: Store + 'static,
        O: Orders + 'static,
    {
        let clock = parts.clock;
        let settings = Arc::new(parts.settings);
        let freshness = Arc::new(Freshness::default());
        let alone = Arc::new(CoordinatorContact::default());
        let metrics =
            Metrics::new(None).change_context(GatewayError("the metrics could not be created"))?;
        let metrics = Arc::new(metrics);
        let (tallies, queued_tallies) = flume::bounded(MAX_QUEUED_TALLIES);
        let (updates, queued_updates) = flume::unbounded();
        let signals = Signals::default();
        let sockets = peer_sockets(&settings.peers)?;
        let peer_address = sockets.address;
        let decisions = bind_decisions(&settings.decisions)?;
        let tunnel_address = decisions.address;
        let decisions_port = tunnel_address.port();
        info!(parts.log, "start"; "gateway" => &settings.name, "zone" => &settings.zone,
            "callers" => &settings.callers);
        let control = Control::new(ControlParts {
            sockets,
            settings: Arc::clone(&settings),
            read_settings: parts.read_settings,
            signals: signals.clone(),
            clock,
            freshness: Arc::clone(&freshness),
            alone: Arc::clone(&alone),
            metrics: Arc::clone(&metrics),
            log: parts.log.clone(),
            updates,
            tallies: queued_tallies,
            decisions_port,
        });
        let (store, orders) = (parts.store, parts.orders);
        spawn("control", move || control.run(store, orders))?;
        let shared_metrics = Arc::clone(&metrics);
        let traffic = TrafficParts {
            dialect: parts.dialect,
            clock,
            freshness,
            alone,
            metrics,
            log: parts.log,
            settings,
            dialer: parts.dialer,
            own_ip: tunnel_address.ip(),
            tallies,
        };
        let (bound, listening) = flume::bounded(1);
        let traffic = spawn("traffic", move || {
            run_traffic(traffic, decisions, queued_updates, &bound)
        })?;
        let listening = listening
            .recv()
            .change_context(GatewayError("the traffic thread ended before it listened"))??;
        Ok(Gateway {
            listening,
            peer_address,
            tunnel_address,
            signals,
            metrics: shared_metrics,
            traffic,
        })
    }

    /// Addresses on which it listens.
    pub fn listening(&self) -> Listening {
        self.listening
    }

    /// Address at which other gateways reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address at which it opens connections to endpoints for other gateways.
    pub fn tunnel_address(&self) -> SocketAddr {
        self.tunnel_address
    }

    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Flags set by signals.
    pub fn signals(&self) -> &Signals {
        &self.signals
    }

    /// Waits until a stop has been requested and is complete.
    pub fn join(self) {
        let _ = self.traffic.join();
    }
}

/// Runs a gateway until SIGTERM or SIGINT, then stops it as planned.
pub fn run<D, S, O>(parts: Parts<D, S, O>) -> Result<(), Report<GatewayError>>
where
    D: Dialect + Send + 'static,
    S: Store + 'static,
    O: Orders + 'static,
{
    let gateway = Gateway::start(parts)?;
    let signals = gateway.signals();
    for (signal, flag) in [
        (SIGTERM, &signals.stop),
        (SIGINT, &signals.stop),
        (SIGHUP, &signals.reload),
    ] {
        signal_hook::flag::register(signal, Arc::clone(flag))
            .change_context(GatewayError("a signal handler could not be registered"))?;
    }
    gateway.join();
    Ok(())
}

fn spawn(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, Report<GatewayError>> {
    std::thread::Builder::new()
        .name(name.into())
        .spawn(body)
        .change_context(GatewayError("a thread could not start"))
}

// Sockets of the traffic thread for other gateways, on one port.
struct DecisionSockets {
    /// Placement queries.
    queries: UdpSocket,
    /// Tunnels to endpoints.
    tunnels: std::net::TcpListener,
    address: SocketAddr,
}

fn peer_sockets(address: &str) -> Result<PeerSockets, Report<GatewayError>> {
    let (gossip, rows, address) = bind_both(address)?;
    Ok(PeerSockets {
        gossip,
        rows,
        address,
    })
}

fn bind_decisions(address: &str) -> Result<DecisionSockets, Report<GatewayError>> {
    let (queries, tunnels, address) = bind_both(address)?;
    Ok(DecisionSockets {
        queries,
        tunnels,
        address,
    })
}

// Binds one port for both UDP and TCP. If the settings leave the port open, tries several free ones.
fn bind_both(
    address: &str,
) -> Result<(UdpSocket, std::net::TcpListener, SocketAddr), Report<GatewayError>> {
    const TRIES: usize = 20;
    let address = parse(address)?;
    let mut bound = try_bind_both(address);
    for _ in 1..TRIES {
        if bound.is_ok() || address.port() != 0 {
            break;
        }
        bound = try_bind_both(address);
    }
    bound
        .change_context(GatewayError(NOT_BOUND))
        .attach_with(|| address.to_string())
}

fn try_bind_both(
    address: SocketAddr,
) -> std::io::Result<(UdpSocket, std::net::TcpListener, SocketAddr)> {
    let datagrams = UdpSocket::bind(address)?;
    datagrams.set_nonblocking(true)?;
    let address = datagrams.local_addr()?;
    Ok((datagrams, bind_std(address)?, address))
}

type Bound = flume::Sender<Result<Listening, Report<GatewayError>>>;

fn run_traffic<D: Dialect + 'static>(
    parts: TrafficParts<D>,
    decisions: DecisionSockets,
    updates: flume::Receiver<Update>,
    bound: &Bound,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let report = Report::new(error);
            let _ = bound.send(Err(
                report.change_context(GatewayError("the async runtime could not be created"))
            ));
            return;
        }
    };
    let traffic = Rc::new(Traffic::new(parts));
    let (metrics, log) = (Arc::clone(&traffic.metrics), traffic.log.clone());
    let local = LocalSet::new();
    let tasks = local.run_until(serve(traffic, decisions, updates, bound));
    runtime.block_on(measure_turns(tasks, &metrics, &log));
}

struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
}

fn listen_all(settings: &GatewaySettings) -> Result<(Listeners, Listening), Report<GatewayError>> {
    let callers = listen(&settings.callers)?;
    let readiness = listen(&settings.readiness)?;
    let metrics = match settings.metrics.is_empty() {
        true => None,
        false => Some(listen(&settings.metrics)?),
    };
    let listening = Listening {
        callers: address_of(&callers)?,
        readiness: address_of(&readiness)?,
    };
    let listeners = Listeners {
        callers,
        readiness,
        metrics,
    };
    Ok((listeners, listening))
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, Report<GatewayError>> {
    listener
        .local_addr()
        .change_context(GatewayError("a bound address could not be read"))
}

async fn serve<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    decisions: DecisionSockets,
    updates: flume::Receiver<Update>,
    bound: &Bound,
) {
    let settings = Arc::clone(&traffic.state.borrow().settings);
    let listeners = match listen_all(&settings) {
        Ok((listeners, listening)) => {
            let _ = bound.send(Ok(listening));
            listeners
        }
        Err(report) => {
            let _ = bound.send(Err(report));
            return;
        }
    };
    let descriptors = settings.descriptors.max(0) as usize;
    let serving = serve_callers(Rc::clone(&traffic), listeners.callers, descriptors);
    tokio::task::spawn_local(serving);
    let answering = serve_readiness(Rc::clone(&traffic), listeners.readiness);
    tokio::task::spawn_local(answering);
    if let Some(listener) = listeners.metrics {
        let metrics = Arc::clone(&traffic.metrics);
        tokio::task::spawn_local(serve_metrics(metrics, listener));
    }
    match TcpListener::from_std(decisions.tunnels) {
        Ok(listener) => {
            tokio::task::spawn_local(serve_tunnels(Rc::clone(&traffic), listener));
        }
        Err(error) => {
            warn!(traffic.log, "cannot open connections for other gateways; raise the limit of file descriptors";
            "cause" => %error)
        }
    }
    match tokio::net::UdpSocket::from_std(decisions.queries) {
        Ok(socket) => {
            tokio::task::spawn_local(Rc::clone(&traffic).serve_decisions(socket));
        }
        Err(error) => {
            warn!(traffic.log, "cannot serve decisions to other gateways; raise the limit of file descriptors";
            "cause" => %error)
        }
    }
    let following = Rc::clone(&traffic);
    tokio::task::spawn_local(following.apply_updates(updates));
    while !traffic.freshness.is_stopping() {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    drain(&traffic).await;
}

async fn drain<D: Dialect + 'static>(traffic: &Traffic<D>) {
    info!(traffic.log, "stop asked for"; "in_flight" => traffic.in_flight.get());
    loop {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        let now = traffic.clock.now();
        let is_idle = traffic.in_flight.get() == 0 && traffic.open_tunnels.get() == 0;
        let is_drained = is_idle && traffic.freshness.is_closed(now);
        let is_over = traffic
            .drain_deadline()
            .is_some_and(|deadline| now >= deadline);
        if is_drained || is_over {
            break;
        }
    }
    // Requests without an answer get one while the process still runs.
    traffic.drain_ended.notify_waiters();
    traffic.send_tally();
    tokio::time::sleep(STOP_POLL_INTERVAL).await;
    info!(traffic.log, "stop"; "in_flight" => traffic.in_flight.get());
}

fn listen(address: &str) -> Result<TcpListener, Report<GatewayError>> {
    let parsed = parse(address)?;
    bind(parsed)
        .change_context(GatewayError(NOT_BOUND))
        .attach_with(|| address.to_string())
}

fn parse(address: &str) -> Result<SocketAddr, Report<GatewayError>> {
    address
        .parse()
        .change_context(GatewayError(NOT_BOUND))
        .attach_with(|| address.to_string())
}
