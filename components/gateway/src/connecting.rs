//! The connection that an attempt goes over: one that rested, or a new one.

use std::time::Duration;

use routing::placement::{HealthSignal, Placement};
use slog::{info, warn};
use telemetry::Counter;
use transport::Connection;

use crate::attempt::SendOptions;
use crate::connection_pool::ReserveError;
use crate::endpoint_run::EndpointRun;
use crate::job::Job;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Longest time that a new connection may take.
const CONNECT_TIME: Duration = Duration::from_millis(400);

enum Reserved {
    /// A connection that rested.
    Rested(Connection),
    /// One may be opened.
    New,
    /// None may be opened now.
    Full,
}

impl<D: Dialect + 'static> Traffic<D> {
    /// Gives a run its connection; says whether there is one.
    pub async fn connect(
        &self,
        job: &Job,
        placement: &Placement,
        options: SendOptions,
        run: &mut EndpointRun<D>,
    ) -> bool {
        match self.reserve(job, placement, options) {
            Reserved::Rested(connection) => {
                run.connection = Some(connection);
                run.reserved = true;
                return true;
            }
            Reserved::Full => {
                run.set_health(HealthSignal::Inconclusive);
                return false;
            }
            Reserved::New => run.reserved = true,
        }
        match Connection::open(placement.address, CONNECT_TIME).await {
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

    fn reserve(&self, job: &Job, placement: &Placement, options: SendOptions) -> Reserved {
        let now = self.clock.now();
        let most = self.most_connections(job);
        let mut state = self.state.borrow_mut();
        if options.after_unresponsive {
            state.pool.drop_idle(&placement.endpoint);
        }
        if let Some(connection) = state.pool.take_idle(now, &placement.endpoint) {
            return Reserved::Rested(connection);
        }
        let Err(cause) = state.pool.reserve(&placement.endpoint, most) else {
            return Reserved::New;
        };
        drop(state);
        if cause == ReserveError::NoMemory {
            let ledger = self.room.ledger();
            self.metrics.count(Counter::MemoryRefused);
            warn!(self.log, "no connection to an endpoint for want of memory"; "id" => &job.head.id,
                "endpoint" => &placement.endpoint, "held_in_all" => ledger.total(),
                "budget" => ledger.budget().most);
        }
        Reserved::Full
    }
}
