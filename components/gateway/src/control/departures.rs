//! Draining and dropped endpoints, tracked across store restores: the restored copy may list them as ready.

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{Endpoint, EndpointState};
use replica::Change;

use crate::control::{Known, Shared};
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
    // When the rows of endpoints in an unknown state are evaluated again.
    rechecks: BTreeMap<String, Duration>,
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
            self.rechecks.insert(endpoint.id.clone(), recheck_at);
        }
        Endpoint {
            state: EndpointState::Draining { leaves_in: None },
            ..endpoint
        }
    }

    /// Defers dropping an endpoint whose row a restored store lacks, since it may be running and rewrite the row.
    pub fn defer_drop(&mut self, now: Duration, id: &str) {
        let recheck_at = now + ROW_REWRITE_TIMEOUT;
        self.rechecks.insert(id.to_string(), recheck_at);
    }

    /// Removes expired departures and returns the endpoints whose rows are due for evaluation.
    fn take_due(&mut self, now: Duration) -> Vec<String> {
        self.departed
            .retain(|_, departure| now < departure.recorded_at + DEPARTURE_RETENTION);
        let due = self.rechecks.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.rechecks.remove(id);
            self.departed
                .retain(|other, d| other != id || !d.is_dropped);
        }
        due
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Takes the rows of endpoints again whose state was unknown after a restore of the store.
    pub fn recheck_endpoints(&self, now: Duration) {
        let rows: Vec<Change> = {
            let mut known = self.known.borrow_mut();
            let due = known.departures.take_due(now);
            due.iter().filter_map(|id| known.endpoint_row(id)).collect()
        };
        for row in &rows {
            self.take_endpoint(row);
        }
    }
}

impl Known {
    // The row of an endpoint; a dropped one if the table no longer remembers it.
    fn endpoint_row(&self, id: &str) -> Option<Change> {
        let table = &self.followed.get(&Topic::Endpoints)?.table;
        let dropped = || Change {
            key: id.to_string(),
            value: None,
            revision: table.known_to().unwrap_or_default(),
        };
        Some(table.row(id).cloned().unwrap_or_else(dropped))
    }
}
