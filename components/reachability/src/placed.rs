//! Endpoints that a gateway knows only from the placements of its requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An endpoint is known for this time after a request was placed there.
const KNOWN_TIME: Duration = Duration::from_secs(60);
/// Maximum number of endpoints. Each takes about 100 bytes.
const MAX_ENDPOINTS: usize = 4096;

#[derive(Debug)]
struct Placed {
    hall: String,
    at: Duration,
}

/// Endpoints on which requests of a gateway were placed lately by others, and their data halls.
#[derive(Debug, Default)]
pub struct PlacedEndpoints {
    placed: HashMap<SocketAddr, Placed>,
}

impl PlacedEndpoints {
    /// Records that a request is placed on an endpoint in a hall.
    pub fn record(&mut self, now: Duration, hall: &str, endpoint: SocketAddr) {
        if let Some(placed) = self.placed.get_mut(&endpoint) {
            placed.at = now;
            return;
        }
        if self.placed.len() >= MAX_ENDPOINTS {
            self.placed.retain(|_, placed| placed.is_known(now));
        }
        if self.placed.len() < MAX_ENDPOINTS {
            let hall = hall.to_string();
            self.placed.insert(endpoint, Placed { hall, at: now });
        }
    }

    /// Data hall of an endpoint, if a request was placed there lately.
    pub fn hall_at(&self, now: Duration, endpoint: SocketAddr) -> Option<&str> {
        let placed = self.placed.get(&endpoint)?;
        placed.is_known(now).then_some(placed.hall.as_str())
    }
}

impl Placed {
    fn is_known(&self, now: Duration) -> bool {
        now < self.at + KNOWN_TIME
    }
}
