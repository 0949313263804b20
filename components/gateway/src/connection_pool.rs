//! Pool of keep-alive connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use memory::{Kind, Ledger, Reservation};
use transport::Connection;

use crate::connecting::OpenedConnection;
use crate::memory_manager::ENDPOINT_CONNECTION_BYTES;

/// An idle connection is dropped this long before its endpoint would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle time of a connection, also if the endpoint states a longer one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    relay: Option<SocketAddr>,
    idle_since: Duration,
    expires_at: Duration,
}

/// An idle connection that was taken from the pool.
#[derive(Debug)]
pub(crate) struct ReusedConnection {
    pub connection: Connection,
    /// Gateway through which it goes; `None` for the gateway's own path.
    pub relay: Option<SocketAddr>,
    /// Time for which it was idle.
    pub idle_time: Duration,
}

/// Idle connections and number of open connections, by endpoint.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: HashMap<String, Vec<IdleConnection>>,
    open: OpenConnections,
}

/// Why no further connection can be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveError {
    /// The maximum number is open.
    Full,
    /// There is no memory for another connection.
    NoMemory,
}

// Number of open connections by endpoint, and the memory of all of them.
#[derive(Debug)]
struct OpenConnections {
    counts: HashMap<String, u32>,
    reservation: Reservation,
}

impl OpenConnections {
    fn add(&mut self, endpoint: &str, max: u32) -> Result<(), ReserveError> {
        let count = self.counts.get(endpoint).copied().unwrap_or_default();
        if count >= max {
            return Err(ReserveError::Full);
        }
        if !self.reservation.grow(ENDPOINT_CONNECTION_BYTES) {
            return Err(ReserveError::NoMemory);
        }
        self.counts.insert(endpoint.to_string(), count + 1);
        Ok(())
    }

    fn release(&mut self, endpoint: &str) {
        let Some(count) = self.counts.get_mut(endpoint) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(endpoint);
        }
        self.reservation.shrink(ENDPOINT_CONNECTION_BYTES);
    }
}

impl ConnectionPool {
    /// Creates an empty pool whose connections are accounted for in a ledger.
    pub fn new(ledger: &Ledger) -> Self {
        ConnectionPool {
            idle: HashMap::new(),
            open: OpenConnections {
                counts: HashMap::new(),
                reservation: ledger.open_account().reservation(Kind::Connection),
            },
        }
    }

    /// Removes and returns an idle connection that is still usable. `can_reuse` decides by the gateway through which the
    /// connection goes, if any, and by its idle time; connections that it rejects are dropped.
    pub fn take_idle(
        &mut self,
        now: Duration,
        endpoint: &str,
        can_reuse: impl Fn(Option<SocketAddr>, Duration) -> bool,
    ) -> Option<ReusedConnection> {
        let idle = self.idle.get_mut(endpoint)?;
        while let Some(entry) = idle.pop() {
            let idle_time = now.saturating_sub(entry.idle_since);
            let is_usable =
                now < entry.expires_at && entry.connection.is_open() && entry.connection.is_idle();
            if is_usable && can_reuse(entry.relay, idle_time) {
                return Some(ReusedConnection {
                    connection: entry.connection,
                    relay: entry.relay,
                    idle_time,
                });
            }
            drop(entry);
            self.open.release(endpoint);
        }
        None
    }

    /// Counts a connection that is about to be opened. Fails if `max` are open or there is no memory for it.
    pub fn reserve(&mut self, endpoint: &str, max: u32) -> Result<(), ReserveError> {
        self.open.add(endpoint, max)
    }

    /// Returns a connection to the pool. `keep_alive` is the idle time that the endpoint states.
    pub fn put_idle(
        &mut self,
        now: Duration,
        endpoint: &str,
        OpenedConnection { connection, relay }: OpenedConnection,
        keep_alive: Option<Duration>,
    ) {
        let idle_time = keep_alive.map_or(MAX_IDLE_TIME, |k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        if idle_time.is_zero() || !connection.is_open() {
            drop(connection);
            return self.record_closed(endpoint);
        }
        let idle = self.idle.entry(endpoint.to_string()).or_default();
        idle.push(IdleConnection {
            connection,
            relay,
            idle_since: now,
            expires_at: now + idle_time.min(MAX_IDLE_TIME),
        });
    }

    /// Records that a connection that was taken or reserved is closed.
    pub fn record_closed(&mut self, endpoint: &str) {
        self.open.release(endpoint);
    }

    /// Drops the idle connections of an endpoint.
    pub fn drop_idle(&mut self, endpoint: &str) {
        let idle = self.idle.remove(endpoint).unwrap_or_default();
        for entry in idle {
            drop(entry);
            self.open.release(endpoint);
        }
    }

    /// Drops the idle connections of an endpoint that don't go through another gateway.
    pub fn drop_idle_of_own_path(&mut self, endpoint: &str) {
        self.retain_idle(|of, entry| of != endpoint || entry.relay.is_some());
    }

    /// Drops the idle connections that go through gateways for which `is_usable` is false.
    pub fn drop_idle_of_relays(&mut self, is_usable: impl Fn(SocketAddr) -> bool) {
        self.retain_idle(|_, entry| entry.relay.is_none_or(&is_usable));
    }

    /// Drops idle connections that have expired or were closed.
    pub fn drop_expired(&mut self, now: Duration) {
        self.retain_idle(|_, entry| now < entry.expires_at && entry.connection.is_open());
    }

    fn retain_idle(&mut self, should_keep: impl Fn(&str, &IdleConnection) -> bool) {
        let open = &mut self.open;
        for (endpoint, idle) in &mut self.idle {
            let before = idle.len();
            idle.retain(|entry| should_keep(endpoint, entry));
            for _ in idle.len()..before {
                open.release(endpoint);
            }
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
