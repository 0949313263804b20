//! Kept connections to endpoints.

use std::collections::HashMap;
use std::time::Duration;

use memory::{Hold, Kind, Ledger};
use transport::Connection;

use crate::memory_manager::ENDPOINT_CONNECTION;

/// An idle connection is dropped so long before its endpoint would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Longest rest where the endpoint does not name its own bound.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Duration,
}

/// Idle connections by endpoint, and how many are open.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: HashMap<String, Vec<IdleConnection>>,
    open: OpenConnections,
}

/// Why no further connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveError {
    /// As many are open as may be.
    Full,
    /// There is no memory for one.
    NoMemory,
}

// Open connections by endpoint, and the memory that all of them hold.
#[derive(Debug)]
struct OpenConnections {
    counts: HashMap<String, u32>,
    hold: Hold,
}

impl OpenConnections {
    fn add(&mut self, endpoint: &str, max: u32) -> Result<(), ReserveError> {
        let count = self.counts.get(endpoint).copied().unwrap_or_default();
        if count >= max {
            return Err(ReserveError::Full);
        }
        if !self.hold.grow(ENDPOINT_CONNECTION) {
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
        self.hold.shrink(ENDPOINT_CONNECTION);
    }
}

impl ConnectionPool {
    /// No connection yet; what they cost is held in a ledger.
    pub fn new(ledger: &Ledger) -> Self {
        ConnectionPool {
            idle: HashMap::new(),
            open: OpenConnections {
                counts: HashMap::new(),
                hold: ledger.open().hold(Kind::Connection),
            },
        }
    }

    /// Takes a connection that rests and can still be used.
    pub fn take_idle(&mut self, now: Duration, endpoint: &str) -> Option<Connection> {
        let idle = self.idle.get_mut(endpoint)?;
        while let Some(rest) = idle.pop() {
            if now < rest.until && rest.connection.is_open() && rest.connection.is_free() {
                return Some(rest.connection);
            }
            drop(rest);
            self.open.release(endpoint);
        }
        None
    }

    /// Counts a connection that is about to be opened, unless `max` are open or there is no memory for it.
    pub fn reserve(&mut self, endpoint: &str, max: u32) -> Result<(), ReserveError> {
        self.open.add(endpoint, max)
    }

    /// Lets a connection rest.
    pub fn put_idle(
        &mut self,
        now: Duration,
        endpoint: &str,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let rest = keep_alive.map_or(MAX_IDLE_TIME, |k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        if rest.is_zero() || !connection.is_open() {
            drop(connection);
            return self.record_closed(endpoint);
        }
        let idle = self.idle.entry(endpoint.to_string()).or_default();
        idle.push(IdleConnection {
            connection,
            until: now + rest.min(MAX_IDLE_TIME),
        });
    }

    /// A connection that was taken or reserved is closed.
    pub fn record_closed(&mut self, endpoint: &str) {
        self.open.release(endpoint);
    }

    /// Drops the idle connections of an endpoint.
    pub fn drop_idle(&mut self, endpoint: &str) {
        let idle = self.idle.remove(endpoint).unwrap_or_default();
        for rest in idle {
            drop(rest);
            self.open.release(endpoint);
        }
    }

    /// Drops connections that rested for too long or were closed.
    pub fn drop_expired(&mut self, now: Duration) {
        let open = &mut self.open;
        for (endpoint, idle) in &mut self.idle {
            let before = idle.len();
            idle.retain(|rest| now < rest.until && rest.connection.is_open());
            for _ in idle.len()..before {
                open.release(endpoint);
            }
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
