//! Draining and dropped endpoints, tracked across store restores: the restored copy may list them as ready.

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{Endpoint, EndpointState};
use replica::Change;

use crate::control::{ControlState, Shared};
use crate::ports::{Orders, Store, Topic};

/// Retention of departures; exceeds the age of the copy that a store is restored from.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);
/// Time within which a row expires if its endpoint stops writing it.
const ROW_EXPIRY: Duration = Duration::from_secs(5);
/// Time within which a running endpoint rewrites a lost row.
const ROW_REWRITE_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Departure {
    endpoint: Endpoint,
    // Era in which the store reported the departure.
    era: u64,
    recorded_at: Duration,
    is_dropped: bool,
}

/// Endpoints that left, and those whose state is unknown after a restore of the store.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    departed: BTreeMap<String, Departure>,
    // When rows in an unknown state are evaluated again.
    rechecks: BTreeMap<(Topic, String), Duration>,
}

impl Departures {
    /// Records that the store reported an endpoint as draining.
    pub fn record_draining(&mut self, now: Duration, endpoint: &Endpoint, era: u64) {
        self.insert(now, endpoint, era, false);
    }

    /// Records that the store dropped the row of an endpoint.
    pub fn record_dropped(&mut self, now: Duration, endpoint: &Endpoint, era: u64) {
        let departed = self.departed.get_mut(&endpoint.id);
        let draining = departed.filter(|d| !d.is_dropped && d.endpoint.is_same_start(endpoint));
        match draining {
            Some(departure) => departure.recorded_at = now,
            None => self.insert(now, endpoint, era, true),
        }
    }

    fn insert(&mut self, now: Duration, endpoint: &Endpoint, era: u64, is_dropped: bool) {
        let departure = Departure {
            endpoint: endpoint.clone(),
            era,
            recorded_at: now,
            is_dropped,
        };
        self.departed.insert(endpoint.id.clone(), departure);
    }

    /// Returns the endpoint of a row, as draining if it left in an earlier era. `is_from_restored_list` is set if the
    /// row may predate the restore.
    pub fn apply_departure(
        &mut self,
        now: Duration,
        endpoint: Endpoint,
        era: u64,
        is_from_restored_list: bool,
    ) -> Endpoint {
        let departed = self.departed.get_mut(&endpoint.id);
        let departed = departed.filter(|d| d.era < era && d.endpoint.is_same_start(&endpoint));
        let Some(departure) = departed.filter(|_| endpoint.is_ready()) else {
            return endpoint;
        };
        departure.recorded_at = now;
        if departure.is_dropped && !is_from_restored_list {
            // The endpoint has written its row since the restore, so it is running.
            self.departed.remove(&endpoint.id);
            return endpoint;
        }
        if departure.is_dropped {
            let recheck_at = now + ROW_EXPIRY;
            let row_key = (Topic::Endpoints, endpoint.id.clone());
            self.rechecks.insert(row_key, recheck_at);
        }
        Endpoint {
            state: EndpointState::Draining { leaves_in: None },
            ..endpoint
        }
    }

    /// Defers taking a row that a restored store lacks or has an older value of, as its writer may rewrite it.
    pub fn defer_row(&mut self, now: Duration, topic: Topic, key: &str) {
        let recheck_at = now + ROW_REWRITE_TIMEOUT;
        self.rechecks.insert((topic, key.to_string()), recheck_at);
    }

    /// Removes expired departures and returns the keys of the rows that are due for evaluation.
    fn take_due(&mut self, now: Duration) -> Vec<(Topic, String)> {
        self.departed
            .retain(|_, departure| now < departure.recorded_at + DEPARTURE_RETENTION);
        let due = self.rechecks.iter().filter(|(_, at)| now >= **at);
        let due: Vec<(Topic, String)> = due.map(|(row_key, _)| row_key.clone()).collect();
        for row_key in &due {
            self.rechecks.remove(row_key);
            let (topic, key) = row_key;
            let is_dropped = self.departed.get(key).is_some_and(|d| d.is_dropped);
            if *topic == Topic::Endpoints && is_dropped {
                self.departed.remove(key);
            }
        }
        due
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Evaluates rows again whose state was unknown after a restore of the store.
    pub fn recheck_rows(&self, now: Duration) {
        let due = self.state.borrow_mut().departures.take_due(now);
        for (topic, key) in due {
            let Some((row, stamp)) = self.state.borrow().row(topic, &key) else {
                continue;
            };
            match topic {
                Topic::Endpoints => self.apply_endpoint(&row),
                _ => self.apply_operator_row(&row, stamp, false),
            }
        }
    }
}

impl ControlState {
    // Returns a row, as dropped if it is not in the table, and the time at which its topic was last confirmed.
    fn row(&self, topic: Topic, key: &str) -> Option<(Change, Duration)> {
        let followed = self.followed.get(&topic)?;
        let dropped = || Change {
            key: key.to_string(),
            value: None,
            revision: followed.table.known_to().unwrap_or_default(),
        };
        let row = followed.table.row(key).cloned();
        Some((row.unwrap_or_else(dropped), followed.confirmed))
    }
}
