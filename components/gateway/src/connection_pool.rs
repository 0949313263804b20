//! Kept connections to endpoints.

use std::collections::HashMap;
use std::time::Duration;

use memory::{Hold, Kind, Ledger};
use transport::Connection;

use crate::memory_manager::ENDPOINT_CONNECTION;

/// A resting connection is dropped so long before its endpoint would close it.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Longest rest where the endpoint does not name its own bound.
const LONGEST_REST: Duration = Duration::from_secs(8);

#[derive(Debug)]
struct Resting {
    connection: Connection,
    until: Duration,
}

/// Resting connections by endpoint, and how many are open.
#[derive(Debug)]
pub(crate) struct Pool {
    resting: HashMap<String, Vec<Resting>>,
    open: Open,
}

/// Why no further connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unopened {
    /// As many are open as may be.
    Full,
    /// There is no memory for one.
    NoMemory,
}

// Open connections by endpoint, and the memory that all of them hold.
#[derive(Debug)]
struct Open {
    counts: HashMap<String, u32>,
    hold: Hold,
}

impl Open {
    fn add(&mut self, endpoint: &str, most: u32) -> Result<(), Unopened> {
        let count = self.counts.get(endpoint).copied().unwrap_or_default();
        if count >= most {
            return Err(Unopened::Full);
        }
        if !self.hold.grow(ENDPOINT_CONNECTION) {
            return Err(Unopened::NoMemory);
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

impl Pool {
    /// No connection yet; what they cost is held in a ledger.
    pub fn new(ledger: &Ledger) -> Self {
        Pool {
            resting: HashMap::new(),
            open: Open {
                counts: HashMap::new(),
                hold: ledger.open().hold(Kind::Connection),
            },
        }
    }

    /// Takes a connection that rests and can still be used.
    pub fn take(&mut self, now: Duration, endpoint: &str) -> Option<Connection> {
        let resting = self.resting.get_mut(endpoint)?;
        while let Some(rest) = resting.pop() {
            if now < rest.until && rest.connection.is_open() && rest.connection.is_free() {
                return Some(rest.connection);
            }
            drop(rest);
            self.open.release(endpoint);
        }
        None
    }

    /// Counts a connection that is about to be opened, unless `most` are open or there is no memory for it.
    pub fn reserve(&mut self, endpoint: &str, most: u32) -> Result<(), Unopened> {
        self.open.add(endpoint, most)
    }

    /// Lets a connection rest.
    pub fn rest(
        &mut self,
        now: Duration,
        endpoint: &str,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let rest = keep_alive.map_or(LONGEST_REST, |k| k.saturating_sub(CLOSE_MARGIN));
        if rest.is_zero() || !connection.is_open() {
            drop(connection);
            return self.closed(endpoint);
        }
        let resting = self.resting.entry(endpoint.to_string()).or_default();
        resting.push(Resting {
            connection,
            until: now + rest.min(LONGEST_REST),
        });
    }

    /// A connection that was taken or reserved is closed.
    pub fn closed(&mut self, endpoint: &str) {
        self.open.release(endpoint);
    }

    /// Drops the resting connections of an endpoint.
    pub fn forget(&mut self, endpoint: &str) {
        let resting = self.resting.remove(endpoint).unwrap_or_default();
        for rest in resting {
            drop(rest);
            self.open.release(endpoint);
        }
    }

    /// Drops connections that rested for too long or were closed.
    pub fn sweep(&mut self, now: Duration) {
        let open = &mut self.open;
        for (endpoint, resting) in &mut self.resting {
            let before = resting.len();
            resting.retain(|rest| now < rest.until && rest.connection.is_open());
            for _ in resting.len()..before {
                open.release(endpoint);
            }
        }
        self.resting.retain(|_, resting| !resting.is_empty());
    }
}
