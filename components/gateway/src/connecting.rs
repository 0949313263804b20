//! Gets the connection of an attempt: an idle one or a new one.

use std::net::SocketAddr;
use std::time::Duration;

use routing::placement::{HealthSignal, Placement};
use slog::{info, warn};
use telemetry::Counter;
use transport::{Connection, ConnectionError};

use crate::attempt::SendOptions;
use crate::connection_pool::{ReserveError, ReusedConnection};
use crate::endpoint_run::EndpointRun;
use crate::job::Job;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

enum ConnectionSource {
    /// An idle connection of the pool.
    Idle(ReusedConnection),
    /// A connection can be opened.
    New,
    /// No connection can be opened now.
    Full,
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
                run.is_counted = true;
                return true;
            }
            ConnectionSource::Full => {
                run.set_health(HealthSignal::Inconclusive);
                return false;
            }
            ConnectionSource::New => run.is_counted = true,
        }
        let opened = self.open_connection(placement.address).await;
        match opened {
            Ok(connection) => {
                run.connection = Some(connection);
                true
            }
            Err(error) => {
                run.set_health(HealthSignal::Unresponsive);
                info!(self.log, "endpoint unreachable"; "id" => &job.head.id,
                    "endpoint" => &placement.endpoint, "cause" => %error);
                false
            }
        }
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        let dialed = self.dialer.dial(address, CONNECT_TIMEOUT).await;
        Connection::over(dialed.map_err(ConnectionError::Unreachable)?).await
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
        if options.after_unresponsive {
            state.pool.drop_idle(&placement.endpoint);
        }
        if let Some(reused) = state.pool.take_idle(now, &placement.endpoint) {
            return ConnectionSource::Idle(reused);
        }
        let Err(cause) = state.pool.reserve(&placement.endpoint, max) else {
            return ConnectionSource::New;
        };
        drop(state);
        if cause == ReserveError::NoMemory {
            let ledger = self.room.ledger();
            self.metrics.count(Counter::MemoryRefused);
            warn!(self.log, "no connection to an endpoint for want of memory"; "id" => &job.head.id,
                "endpoint" => &placement.endpoint, "held_in_all" => ledger.total(),
                "budget" => ledger.budget().max_bytes);
        }
        ConnectionSource::Full
    }
}
