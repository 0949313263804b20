//! Kept connections to endpoints.

use std::collections::HashMap;
use std::time::Duration;

use transport::Connection;

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
#[derive(Debug, Default)]
pub(crate) struct Pool {
    resting: HashMap<String, Vec<Resting>>,
    open: HashMap<String, u32>,
}

impl Pool {
    /// Takes a connection that rests and can still be used.
    pub fn take(&mut self, now: Duration, endpoint: &str) -> Option<Connection> {
        let resting = self.resting.get_mut(endpoint)?;
        while let Some(rest) = resting.pop() {
            if now < rest.until && rest.connection.is_open() && rest.connection.is_free() {
                return Some(rest.connection);
            }
            drop(rest);
            release(&mut self.open, endpoint);
        }
        None
    }

    /// Counts a connection that is about to be opened, unless `most` are open.
    pub fn reserve(&mut self, endpoint: &str, most: u32) -> bool {
        let open = self.open.entry(endpoint.to_string()).or_default();
        if *open >= most {
            return false;
        }
        *open += 1;
        true
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
        release(&mut self.open, endpoint);
    }

    /// Drops the resting connections of an endpoint.
    pub fn forget(&mut self, endpoint: &str) {
        let resting = self.resting.remove(endpoint).unwrap_or_default();
        for rest in resting {
            drop(rest);
            release(&mut self.open, endpoint);
        }
    }

    /// Drops connections that rested for too long or were closed.
    pub fn sweep(&mut self, now: Duration) {
        let open = &mut self.open;
        for (endpoint, resting) in &mut self.resting {
            let before = resting.len();
            resting.retain(|rest| now < rest.until && rest.connection.is_open());
            for _ in resting.len()..before {
                release(open, endpoint);
            }
        }
        self.resting.retain(|_, resting| !resting.is_empty());
    }
}

fn release(open: &mut HashMap<String, u32>, endpoint: &str) {
    if let Some(count) = open.get_mut(endpoint) {
        *count -= 1;
        if *count == 0 {
            open.remove(endpoint);
        }
    }
}
