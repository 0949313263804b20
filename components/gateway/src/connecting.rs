//! Gets the connection of an attempt: an idle one or a new one.
//!
//! A new connection is opened over the gateway's own path or, if that fails or takes longer than usual, through another
//! gateway; the first way that works is used (as in RFC 8305, "Happy Eyeballs"). So no request depends on a conclusion
//! about whose fault it is.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use memory::Kind;
use routing::placement::{HealthSignal, Placement};
use slog::{info, warn};
use telemetry::{Counter, Gauge};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use transport::{open_tunnel, Connection, CountedAt, TunnelError};

use crate::attempt::SendOptions;
use crate::connection_pool::{ReserveError, ReusedConnection};
use crate::endpoint_run::EndpointRun;
use crate::job::Job;
use crate::memory_manager::ENDPOINT_CONNECTION_BYTES;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Time for opening a connection, whichever way.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that one way has before the next one is tried as well, without the round trip to another region.
const HEAD_START: Duration = Duration::from_millis(80);

enum ConnectionSource {
    /// An idle connection of the pool.
    Idle(ReusedConnection),
    /// A connection can be opened.
    New,
    /// This gateway's part of the endpoint's connections is in use.
    Full,
    /// There is no memory for a connection.
    NoMemory,
}

/// A way to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// The gateway's own path.
    Own,
    /// A tunnel through the gateway with this address for placement queries.
    Relay(SocketAddr),
}

#[derive(Debug)]
enum WayError {
    Own(io::Error),
    Relay(TunnelError),
}

impl WayError {
    // Whether another gateway tried to connect to the endpoint, and could not.
    fn is_unreachable_from_relay(&self) -> bool {
        use http::StatusCode;
        match self {
            WayError::Relay(TunnelError::Refused(status)) => {
                [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT].contains(status)
            }
            WayError::Relay(TunnelError::Relay(_)) | WayError::Own(_) => false,
        }
    }
}

/// A new connection to an endpoint.
#[derive(Debug)]
pub(crate) struct OpenedConnection {
    pub connection: Connection,
    /// Gateway through which it goes.
    pub relay: Option<SocketAddr>,
}

/// Why no connection to an endpoint could be opened.
#[derive(Clone, Debug)]
pub(crate) struct Unreachable {
    /// The error on the gateway's own path.
    pub cause: String,
    /// Whether the endpoint is at fault, as far as known: another gateway doesn't reach it either, or this gateway
    /// reaches others.
    pub is_endpoint_fault: bool,
}

impl<D: Dialect + 'static> Traffic<D> {
    /// Gives a run its connection. Returns whether it got one.
    pub async fn connect(
        &self,
        job: &Job,
        placement: &Placement,
        options: &SendOptions,
        run: &mut EndpointRun<D>,
    ) -> bool {
        match self.connection_source(job, placement, options) {
            ConnectionSource::Idle(reused) => {
                run.connection = Some(reused.connection);
                run.idle_time = Some(reused.idle_time);
                run.relay = reused.relay;
                run.is_counted = true;
                return true;
            }
            ConnectionSource::Full => {
                run.set_health(HealthSignal::Inconclusive);
                return Box::pin(self.borrow_connection(&job.head.id, placement, run)).await;
            }
            ConnectionSource::NoMemory => {
                run.set_health(HealthSignal::Inconclusive);
                return false;
            }
            ConnectionSource::New => run.is_counted = true,
        }
        // Boxed, so that a running request holds no memory for this future.
        match Box::pin(self.open_connection(&job.head.id, placement)).await {
            Ok(opened) => {
                run.connection = Some(opened.connection);
                run.relay = opened.relay;
                true
            }
            Err(unreachable) => {
                run.set_health(match unreachable.is_endpoint_fault {
                    true => HealthSignal::Unresponsive,
                    false => HealthSignal::Inconclusive,
                });
                info!(self.log, "endpoint unreachable"; "id" => &job.head.id,
                    "endpoint" => &placement.endpoint, "cause" => unreachable.cause,
                    "endpoint_fault" => unreachable.is_endpoint_fault);
                false
            }
        }
    }

    fn connection_source(
        &self,
        job: &Job,
        placement: &Placement,
        options: &SendOptions,
    ) -> ConnectionSource {
        let now = self.clock.now();
        let max = self.max_endpoint_connections(job);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if options.after_unresponsive {
            state.pool.drop_idle(&placement.endpoint);
        }
        let (paths, relays) = (&state.paths, &state.relays);
        let is_doubted = paths.is_doubted(now, placement.address);
        let can_reuse = |relay: Option<SocketAddr>, idle_time| match relay {
            Some(relay) => is_doubted && relays.can_reuse(now, relay),
            None => paths.can_reuse(now, &placement.hall, placement.address, idle_time),
        };
        if let Some(reused) = state.pool.take_idle(now, &placement.endpoint, can_reuse) {
            if reused.relay.is_some() {
                state.paths.record_relayed(now, placement.address);
            }
            return ConnectionSource::Idle(reused);
        }
        let Err(cause) = state.pool.reserve(&placement.endpoint, max) else {
            return ConnectionSource::New;
        };
        if cause == ReserveError::NoMemory {
            let ledger = self.room.ledger();
            self.metrics.count(Counter::MemoryRefused);
            warn!(self.log, "no connection to an endpoint for want of memory"; "id" => &job.head.id,
                "endpoint" => &placement.endpoint, "held_in_all" => ledger.total(),
                "budget" => ledger.budget().max_bytes);
            return ConnectionSource::NoMemory;
        }
        ConnectionSource::Full
    }

    // Opens a connection through another gateway that has a part of the endpoint's connections left, and counts it there.
    // Returns whether one lent a connection.
    async fn borrow_connection(
        &self,
        id: &str,
        placement: &Placement,
        run: &mut EndpointRun<D>,
    ) -> bool {
        let account = self.room.ledger().open_account();
        let mut memory = account.reservation(Kind::Connection);
        if !memory.grow(ENDPOINT_CONNECTION_BYTES) {
            return false;
        }
        let turn = self
            .lender_turn
            .replace(self.lender_turn.get().wrapping_add(1));
        let lenders = self.state.borrow().relays.lenders(turn);
        let deadline = self.clock.now() + CONNECT_TIMEOUT;
        for lender in lenders {
            let tunnel = open_tunnel(
                self.own_ip,
                lender,
                placement.address,
                CountedAt::Relay,
                CONNECT_TIMEOUT,
            );
            let Ok(opened) = self.clock.timeout_at(deadline, tunnel).await else {
                return false;
            };
            let Ok(stream) = opened else {
                continue;
            };
            let Ok(connection) = Connection::over(stream).await else {
                continue;
            };
            self.metrics.count(Counter::BorrowedConnections);
            info!(self.log, "connection borrowed"; "id" => id, "endpoint" => &placement.endpoint, "relay" => %lender);
            run.connection = Some(connection);
            run.relay = Some(lender);
            run.borrowed = Some(memory);
            return true;
        }
        false
    }

    /// Whether another gateway opens a connection to an endpoint for this one; it is closed at once.
    pub async fn try_tunnel(&self, relay: SocketAddr, address: SocketAddr) -> bool {
        let tunnel = open_tunnel(
            self.own_ip,
            relay,
            address,
            CountedAt::Asker,
            CONNECT_TIMEOUT,
        );
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, tunnel).await;
        matches!(opened, Ok(Ok(_)))
    }

    /// Opens a connection to an endpoint, over the gateway's own path or through another gateway.
    pub async fn open_connection(
        &self,
        id: &str,
        placement: &Placement,
    ) -> Result<OpenedConnection, Unreachable> {
        let started = self.clock.now();
        let (way, stream) = self.open_first(placement).await?;
        let relay = match way {
            Way::Own => None,
            Way::Relay(relay) => Some(relay),
        };
        if let Some(relay) = relay {
            self.metrics.count(Counter::RelayedConnections);
            info!(self.log, "connected through another gateway"; "id" => id,
                "endpoint" => &placement.endpoint, "relay" => %relay,
                "ms" => self.clock.now().saturating_sub(started).as_millis() as u64);
        }
        let connection = Connection::over(stream).await;
        let connection = connection.map_err(|error| Unreachable {
            cause: error.to_string(),
            is_endpoint_fault: true,
        })?;
        Ok(OpenedConnection { connection, relay })
    }

    // Tries the ways to an endpoint, each some time after the one before or when that failed, and returns the first that
    // works.
    async fn open_first(&self, placement: &Placement) -> Result<(Way, TcpStream), Unreachable> {
        let started = self.clock.now();
        let (mut waiting, is_doubted) = self.ways(placement);
        let head_start = HEAD_START + self.region_round_trip(placement);
        let mut deadline = started + CONNECT_TIMEOUT;
        let mut tried = JoinSet::new();
        let mut own_error = None;
        let mut is_unreachable_from_relay = false;
        loop {
            if let Some(way) = waiting.pop_front() {
                self.spawn_way(&mut tried, way, placement.address);
                // On a doubted path the own connect is only a probe, which the request doesn't wait for.
                if is_doubted && waiting.front() == Some(&Way::Own) {
                    continue;
                }
            } else if is_doubted {
                deadline = deadline.min(self.clock.now() + head_start);
            }
            let next_at = match waiting.is_empty() {
                true => deadline,
                false => deadline.min(self.clock.now() + head_start),
            };
            let ended = match self.clock.timeout_at(next_at, tried.join_next()).await {
                Ok(Some(Ok(ended))) => ended,
                Ok(Some(Err(_))) => continue,
                Ok(None) if !waiting.is_empty() => continue,
                Err(_) if !waiting.is_empty() && self.clock.now() < deadline => continue,
                Ok(None) | Err(_) => break,
            };
            match ended {
                (way, Ok(stream)) => {
                    self.record_way(placement, way, true);
                    return Ok((way, stream));
                }
                (way, Err(error)) => {
                    self.record_way(placement, way, false);
                    is_unreachable_from_relay |= error.is_unreachable_from_relay();
                    if let WayError::Own(error) = error {
                        own_error = Some(error);
                    }
                }
            }
        }
        self.record_way(placement, Way::Own, false);
        let cause = own_error.unwrap_or_else(|| io::ErrorKind::TimedOut.into());
        let are_all_lost = self.state.borrow().paths.are_all_lost(self.clock.now());
        Err(Unreachable {
            cause: format!("cannot be reached: {cause}"),
            is_endpoint_fault: is_unreachable_from_relay || !are_all_lost,
        })
    }

    // The ways to an endpoint in order, and whether the own path is doubted; then it is tried beside the first relay.
    fn ways(&self, placement: &Placement) -> (VecDeque<Way>, bool) {
        let now = self.clock.now();
        let state = self.state.borrow();
        let relays = state.relays.order(now).into_iter().map(Way::Relay);
        let mut ways: VecDeque<Way> = relays.collect();
        let is_doubted =
            state.paths.is_doubted(now, placement.address) || state.paths.are_all_lost(now);
        let own_position = usize::from(is_doubted).min(ways.len());
        ways.insert(own_position, Way::Own);
        (ways, is_doubted)
    }

    fn spawn_way(
        &self,
        tried: &mut JoinSet<(Way, Result<TcpStream, WayError>)>,
        way: Way,
        address: SocketAddr,
    ) {
        let (dialer, own) = (self.dialer.clone(), self.own_ip);
        tried.spawn_local(async move {
            let opened = match way {
                Way::Own => dialer
                    .dial(address, CONNECT_TIMEOUT)
                    .await
                    .map_err(WayError::Own),
                Way::Relay(relay) => {
                    open_tunnel(own, relay, address, CountedAt::Asker, CONNECT_TIMEOUT)
                        .await
                        .map_err(WayError::Relay)
                }
            };
            (way, opened)
        });
    }

    fn record_way(&self, placement: &Placement, way: Way, has_opened: bool) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match (way, has_opened) {
            (Way::Own, true) => {
                let (hall, address) = (&placement.hall, placement.address);
                state.paths.record_connected(now, hall, address);
            }
            (Way::Own, false) => {
                let (hall, address) = (&placement.hall, placement.address);
                state.paths.record_failed(now, hall, address);
                state.pool.drop_idle_of_own_path(&placement.endpoint);
            }
            (Way::Relay(relay), true) => {
                let (hall, address) = (&placement.hall, placement.address);
                state.relays.record_opened(relay);
                state.paths.record_failed(now, hall, address);
                state.paths.record_relayed(now, address);
                state.pool.drop_idle_of_own_path(&placement.endpoint);
            }
            (Way::Relay(relay), false) => state.relays.record_failed(now, relay),
        }
        drop(state);
        self.note_lost_paths(now);
    }

    pub fn region_round_trip(&self, placement: &Placement) -> Duration {
        let state = self.state.borrow();
        let costs = state.balancer.network_costs();
        Duration::from_secs_f64(costs.region_round_trip_ms(&placement.hall) / 1000.0)
    }
}

impl<D: 'static> Traffic<D> {
    /// Connects to an endpoint over the gateway's own path.
    pub async fn dial_own_path(
        &self,
        hall: &str,
        endpoint: SocketAddr,
        timeout: Duration,
    ) -> io::Result<TcpStream> {
        let dialed = self.dialer.dial(endpoint, timeout).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match dialed {
            Ok(_) => state.paths.record_connected(now, hall, endpoint),
            Err(_) => state.paths.record_failed(now, hall, endpoint),
        }
        drop(state);
        self.note_lost_paths(now);
        dialed
    }

    /// Probes at most one doubted path that is due.
    pub fn probe_doubted_path(self: &Rc<Self>) {
        let now = self.clock.now();
        let due = self.state.borrow_mut().paths.next_probe(now);
        if let Some((hall, endpoint)) = due {
            tokio::task::spawn_local(Rc::clone(self).probe(hall, endpoint));
        }
    }

    /// Finds out whether this gateway reaches an endpoint.
    pub async fn probe(self: Rc<Self>, hall: String, endpoint: SocketAddr) {
        let dialed = self.dial_own_path(&hall, endpoint, CONNECT_TIMEOUT).await;
        info!(self.log, "path probed"; "address" => %endpoint,
            "cause" => dialed.err().map(|error| error.to_string()));
    }

    /// Logs when the paths to all endpoints are lost, and when they are back.
    pub fn note_lost_paths(&self, now: Duration) {
        let are_lost = self.state.borrow().paths.are_all_lost(now);
        if self.had_lost_paths.replace(are_lost) == are_lost {
            return;
        }
        self.metrics.set(Gauge::PathsLost, u64::from(are_lost));
        match are_lost {
            true => warn!(
                self.log,
                "paths to endpoints lost; connections go through other gateways"
            ),
            false => info!(self.log, "paths to endpoints are back"),
        }
    }
}
